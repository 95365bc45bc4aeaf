//! Whose answers about crash reports count: stores with lost disks, changed owners and full disks, and
//! control members that have just joined.

use luglink_fleet::{BackendId, Incarnation, StoreCommand, StoreName, StoreRegistry, StoreView};
use luglink_quota::Tolerance;
use luglink_storage::{CrashDamage, MemoryDisk, WalConfig};
use luglink_turns::{
    CRASH_RETENTION, ClientView, CountedReport, CrashRequest, CrashResponse, LEASE_DURATION,
    LogPosition, Refusal, Replication, ReportBatch, ReportHolder, RequestFingerprint, RunId,
    RunReport, RunState, RunUpdate, StoreConfig, StoreNode,
};
use luglink_types::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST: RequestFingerprint = RequestFingerprint(1, 2);

const MEMBERSHIP: u64 = 4;

fn name(text: &str) -> StoreName {
    StoreName(text.to_owned())
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap()
}

fn start(text: &str, disk: MemoryDisk, incarnation: u64) -> StoreNode<MemoryDisk> {
    let config = StoreConfig {
        name: name(text),
        replication: Replication::surviving(1),
        wal: WalConfig {
            segment_bytes: 1 << 20,
        },
        quota_tolerance: Tolerance {
            window: Duration::from_secs(5),
            overage: 0.0,
            slack: 0.0,
        },
    };
    StoreNode::start(config, disk, incarnation, at(0)).expect("the store starts")
}

fn join(text: &str, incarnation: u64, founding: bool) -> StoreCommand {
    StoreCommand::Join {
        name: name(text),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z".to_owned(),
        incarnation,
        founding,
    }
}

fn founders() -> StoreRegistry {
    let mut registry = StoreRegistry::default();
    for (text, incarnation) in [("a", 1), ("b", 2), ("c", 3)] {
        registry.apply(&join(text, incarnation, true));
    }
    registry
}

fn crash(run: u64) -> RunReport {
    RunReport {
        request: REQUEST,
        run: RunId(run),
        replica: BackendId(format!("r{run}")),
        incarnation: Incarnation(5),
        known_crashes: 0,
        lease_ms: 6_000,
        state: RunState::Crashed,
    }
}

fn refusal(handled: Result<CrashResponse, Refusal>) -> Option<Refusal> {
    handled.err()
}

/// Handles a request up to the time at which its response may be sent.
fn acknowledge(
    store: &mut StoreNode<MemoryDisk>,
    request: &CrashRequest,
    now: Timestamp,
) -> Option<CrashResponse> {
    let response = store.handle_crash_request(None, request, now).ok()?;
    store.sync_reports().ok()?;
    Some(response)
}

fn requests() -> [CrashRequest; 4] {
    [
        CrashRequest::Record(crash(1)),
        CrashRequest::RecordDoubt(crash(1)),
        CrashRequest::Find(REQUEST),
        CrashRequest::FollowLeased(LogPosition::default()),
    ]
}

#[test]
fn a_store_whose_disk_was_lost_answers_for_no_report_that_it_never_had() {
    let mut registry = founders();
    let before = registry.view().clone();
    registry.apply(&join("b", 9, false));
    let mut store = start("b", MemoryDisk::default(), 9);
    store.set_view(registry.view().clone(), at(0));
    let client_view = ClientView {
        epoch: before.epoch,
        incarnation: 2,
    };
    for request in requests() {
        let handled = store.handle_crash_request(Some(client_view), &request, at(1));
        assert_eq!(
            refusal(handled),
            Some(Refusal::UnexpectedDisk),
            "{request:?}"
        );
    }
}

#[test]
fn a_store_answers_about_crash_reports_under_no_view_with_other_owners() {
    let mut registry = founders();
    let mut store = start("a", MemoryDisk::default(), 1);
    store.set_view(registry.view().clone(), at(0));
    let client_view = ClientView {
        epoch: registry.view().epoch,
        incarnation: 1,
    };
    for request in requests() {
        let handled = store.handle_crash_request(Some(client_view), &request, at(1));
        assert!(handled.is_ok(), "{request:?}");
    }
    // Every request has other owners once only two stores are left.
    let retirement = StoreCommand::Retire {
        name: name("b"),
        minimum: 2,
    };
    registry.apply(&retirement);
    store.set_view(registry.view().clone(), at(2));
    for request in requests() {
        let handled = store.handle_crash_request(Some(client_view), &request, at(3));
        assert_eq!(refusal(handled), Some(Refusal::OutdatedView), "{request:?}");
    }
}

/// Returns a store with a report, and a later view in which another store has a new disk.
fn with_report_to_hand_over() -> (StoreNode<MemoryDisk>, StoreView) {
    let mut registry = founders();
    let mut store = start("a", MemoryDisk::default(), 1);
    store.set_view(registry.view().clone(), at(0));
    let record = CrashRequest::Record(crash(1));
    acknowledge(&mut store, &record, at(0)).unwrap();
    registry.apply(&join("b", 9, false));
    (store, registry.view().clone())
}

fn due(store: &mut StoreNode<MemoryDisk>, now: Timestamp) -> ReportBatch {
    let mut due = store.due_reports(now);
    assert_eq!(due.len(), 1);
    due.remove(0)
}

#[test]
fn a_hand_over_is_complete_once_a_new_disk_has_the_crash_reports() {
    let (mut store, view) = with_report_to_hand_over();
    store.set_view(view.clone(), at(10));
    let batch = due(&mut store, at(10));
    let report = CountedReport {
        report: crash(1),
        is_in_doubt: false,
    };
    assert_eq!((&batch.to, batch.reports), (&name("b"), vec![report]));
    store.flush();
    assert!(store.handed_over_epoch() < view.epoch);
    // An acknowledgement of an earlier message does not count.
    store.on_reports_acknowledged(&name("b"), batch.number + 1);
    store.flush();
    assert!(store.handed_over_epoch() < view.epoch);
    store.on_reports_acknowledged(&name("b"), batch.number);
    store.flush();
    assert_eq!(store.handed_over_epoch(), view.epoch);
}

#[test]
fn crash_reports_that_are_not_acknowledged_are_handed_over_again() {
    let (mut store, view) = with_report_to_hand_over();
    store.set_view(view, at(10));
    let first = due(&mut store, at(10));
    assert!(store.due_reports(at(20)).is_empty());
    let again = due(&mut store, at(5_000));
    assert_eq!(first.reports, again.reports);
    assert_ne!(first.number, again.number);
}

/// A gateway with a lease under the earlier view trusts that it knows all reports.
#[test]
fn a_hand_over_is_complete_once_no_lease_under_an_earlier_view_lasts() {
    let (mut store, view) = with_report_to_hand_over();
    let follow = CrashRequest::FollowLeased(LogPosition::default());
    store.handle_crash_request(None, &follow, at(10)).unwrap();
    store.set_view(view.clone(), at(11));
    let batch = due(&mut store, at(11));
    store.on_reports_acknowledged(&name("b"), batch.number);
    store.tick(at(12));
    store.flush();
    assert!(store.handed_over_epoch() < view.epoch);
    store.tick(at(10 + millis(LEASE_DURATION)));
    store.flush();
    assert_eq!(store.handed_over_epoch(), view.epoch);
}

#[test]
fn a_store_takes_over_crash_reports() {
    let mut store = start("b", MemoryDisk::default(), 9);
    let doubtful = CountedReport {
        report: RunReport {
            state: RunState::Started,
            ..crash(2)
        },
        is_in_doubt: true,
    };
    let certain = CountedReport {
        report: crash(1),
        is_in_doubt: false,
    };
    let take_over = CrashRequest::TakeOver(vec![certain.clone(), doubtful.clone()]);
    acknowledge(&mut store, &take_over, at(1)).unwrap();
    let mut disk = store.into_disk();
    disk.crash(CrashDamage::LoseUnsynced);
    let mut store = start("b", disk, 10);
    let find = CrashRequest::Find(REQUEST);
    let found = store.handle_crash_request(None, &find, at(2)).unwrap();
    assert_eq!(found.reports, vec![certain.report, doubtful.report]);
    assert_eq!(found.doubts, vec![(REQUEST, RunId(2))]);
}

#[test]
fn a_report_counts_once_it_is_on_disk() {
    let mut store = start("a", MemoryDisk::default(), 1);
    let record = CrashRequest::Record(crash(1));
    store.disk_mut().set_full(true);
    for attempt in 1..4 {
        let acknowledged = acknowledge(&mut store, &record, at(attempt));
        assert_eq!(acknowledged, None, "{attempt}");
    }
    store.disk_mut().set_full(false);
    acknowledge(&mut store, &record, at(5)).unwrap();
    let mut disk = store.into_disk();
    disk.crash(CrashDamage::LoseUnsynced);
    let mut store = start("a", disk, 2);
    let find = CrashRequest::Find(REQUEST);
    let found = store.handle_crash_request(None, &find, at(6)).unwrap();
    assert_eq!(found.reports, vec![crash(1)]);
}

const REPORTS: u64 = 400;

#[test]
fn reports_that_arrive_together_cost_a_store_one_sync() {
    let mut store = start("a", MemoryDisk::default(), 1);
    acknowledge(&mut store, &CrashRequest::Record(crash(0)), at(0)).unwrap();
    let before = store.disk_mut().syncs();
    for run in 1..REPORTS {
        let record = CrashRequest::RecordDoubt(crash_of(RequestFingerprint(run, run)));
        store.handle_crash_request(None, &record, at(1)).unwrap();
    }
    store.sync_reports().unwrap();
    assert_eq!(store.disk_mut().syncs() - before, 1);
    store.sync_reports().unwrap();
    assert_eq!(
        store.disk_mut().syncs() - before,
        1,
        "nothing is left to sync"
    );
}

#[test]
fn a_report_that_is_sent_twice_is_acknowledged_once_it_is_synced() {
    let mut store = start("a", MemoryDisk::default(), 1);
    let record = CrashRequest::Record(crash(1));
    store.handle_crash_request(None, &record, at(0)).unwrap();
    // The second one changes nothing and has nothing of its own to sync.
    store.handle_crash_request(None, &record, at(0)).unwrap();
    store.disk_mut().set_sync_fails(true);
    assert!(store.sync_reports().is_err());
    assert_eq!(acknowledge(&mut store, &record, at(1)), None);
    store.disk_mut().set_sync_fails(false);
    acknowledge(&mut store, &record, at(2)).unwrap();
    let mut disk = store.into_disk();
    disk.crash(CrashDamage::LoseUnsynced);
    let mut store = start("a", disk, 2);
    let find = CrashRequest::Find(REQUEST);
    let found = store.handle_crash_request(None, &find, at(3)).unwrap();
    assert_eq!(found.reports, vec![crash(1)]);
}

#[test]
fn only_responses_that_acknowledge_reports_wait_for_the_disk() {
    let cleared = RunReport {
        state: RunState::Cleared,
        ..crash(1)
    };
    let needs_sync = [
        CrashRequest::Record(crash(1)),
        CrashRequest::Record(started(1)),
        CrashRequest::RecordDoubt(crash(1)),
        CrashRequest::TakeOver(Vec::new()),
    ];
    let needs_none = [
        CrashRequest::Record(cleared),
        CrashRequest::Find(REQUEST),
        CrashRequest::FollowLeased(LogPosition::default()),
        CrashRequest::Update(RunUpdate::default()),
    ];
    assert!(needs_sync.iter().all(CrashRequest::needs_sync));
    assert!(!needs_none.iter().any(CrashRequest::needs_sync));
}

#[test]
fn sessions_that_end_together_cost_a_member_one_sync() {
    let mut holder = open(MemoryDisk::default(), true, at(0));
    for session in 1..=26 {
        let update = CrashRequest::Update(RunUpdate {
            session,
            begun: (0..10).map(|run| started(session * 100 + run)).collect(),
            ended: Vec::new(),
        });
        holder
            .handle(Some(MEMBERSHIP), MEMBERSHIP, &update, at(0))
            .unwrap();
    }
    for session in 1..=26 {
        holder.end_session(session, at(1));
    }
    assert!(holder.awaits_sync());
    holder.sync().unwrap();
    assert!(!holder.awaits_sync());
    let mut disk = holder.into_disk();
    assert_eq!(disk.syncs(), 2, "one for the file of a complete member");
    disk.crash(CrashDamage::LoseUnsynced);
    let mut holder = open(disk, false, at(2));
    let find = CrashRequest::Find(REQUEST);
    let found = holder.handle(Some(MEMBERSHIP), MEMBERSHIP, &find, at(2));
    assert!(!found.unwrap().doubts.is_empty());
}

fn crash_of(request: RequestFingerprint) -> RunReport {
    RunReport {
        request,
        ..crash(request.0)
    }
}

fn started(run: u64) -> RunReport {
    RunReport {
        state: RunState::Started,
        ..crash(run)
    }
}

fn open(disk: MemoryDisk, is_first_start: bool, now: Timestamp) -> ReportHolder<MemoryDisk> {
    ReportHolder::open(disk, 1, is_first_start, now).expect("the reports are read")
}

fn find(holder: &mut ReportHolder<MemoryDisk>, now: Timestamp) -> Option<Refusal> {
    let find = CrashRequest::Find(REQUEST);
    refusal(holder.handle(Some(MEMBERSHIP), MEMBERSHIP, &find, now))
}

#[test]
fn a_member_that_joins_does_not_count_until_earlier_reports_have_expired() {
    let mut holder = open(MemoryDisk::default(), false, at(0));
    let retention = millis(CRASH_RETENTION);
    assert_eq!(find(&mut holder, at(1)), Some(Refusal::Incomplete));
    holder.tick(at(retention - 1)).unwrap();
    assert_eq!(
        find(&mut holder, at(retention - 1)),
        Some(Refusal::Incomplete)
    );
    holder.tick(at(retention)).unwrap();
    assert_eq!(find(&mut holder, at(retention)), None);
}

#[test]
fn founding_members_count_at_once() {
    let mut holder = open(MemoryDisk::default(), true, at(0));
    assert_eq!(find(&mut holder, at(1)), None);
}

#[test]
fn a_member_answers_only_under_the_membership_that_it_knows() {
    let mut holder = open(MemoryDisk::default(), true, at(0));
    for request in requests() {
        let handled = holder.handle(Some(MEMBERSHIP + 1), MEMBERSHIP, &request, at(1));
        assert_eq!(
            refusal(handled),
            Some(Refusal::OtherMembership),
            "{request:?}"
        );
        let handled = holder.handle(None, MEMBERSHIP, &request, at(1));
        assert_eq!(
            refusal(handled),
            Some(Refusal::OtherMembership),
            "{request:?}"
        );
    }
}
