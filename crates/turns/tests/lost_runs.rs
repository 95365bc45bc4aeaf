//! Runs under way at gateways that are lost, and reports of runs after a restart of the store.

use luglink_fleet::{BackendId, Incarnation, StoreName};
use luglink_quota::Tolerance;
use luglink_storage::{CrashDamage, Disk, MemoryDisk, WalConfig};
use luglink_turns::{
    CrashRequest, CrashResponse, Replication, RequestFingerprint, RunId, RunReport, RunState,
    RunUpdate, SESSION_TIMEOUT, StoreConfig, StoreNode,
};
use luglink_types::Timestamp;
use std::time::Duration;

const REQUEST: RequestFingerprint = RequestFingerprint(1, 2);

const SESSION: u64 = 7;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn start(disk: MemoryDisk, epoch: u64, now: Timestamp) -> StoreNode<MemoryDisk> {
    let config = StoreConfig {
        name: StoreName("a".to_owned()),
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
    StoreNode::start(config, disk, epoch, now).expect("the store starts")
}

fn run(number: u64, state: RunState) -> RunReport {
    RunReport {
        request: REQUEST,
        run: RunId(number),
        replica: BackendId(format!("r{number}")),
        incarnation: Incarnation(5),
        known_crashes: 0,
        lease_ms: 6_000,
        state,
    }
}

fn update(begun: &[u64], ended: &[u64]) -> CrashRequest {
    CrashRequest::Update(RunUpdate {
        session: SESSION,
        begun: begun
            .iter()
            .map(|number| run(*number, RunState::Started))
            .collect(),
        ended: ended.iter().copied().map(RunId).collect(),
    })
}

fn handle(
    store: &mut StoreNode<MemoryDisk>,
    request: &CrashRequest,
    now: Timestamp,
) -> CrashResponse {
    let response = store.handle_crash_request(None, request, now);
    store.sync_reports().expect("the reports are on disk");
    response.expect("the store answers")
}

fn find(store: &mut StoreNode<MemoryDisk>, now: Timestamp) -> CrashResponse {
    handle(store, &CrashRequest::Find(REQUEST), now)
}

fn doubts(response: &CrashResponse) -> Vec<u64> {
    response.doubts.iter().map(|(_, run)| run.0).collect()
}

#[test]
fn runs_of_a_gateway_whose_connection_ends_are_in_doubt() {
    let mut store = start(MemoryDisk::new(), 1, at(0));
    handle(&mut store, &update(&[1, 2], &[]), at(0));
    handle(&mut store, &update(&[3], &[2]), at(1));
    assert_eq!(find(&mut store, at(1)).reports, []);
    store.end_session(SESSION, at(2));
    assert_eq!(doubts(&find(&mut store, at(2))), [1, 3]);
    assert_eq!(store.run_count(), 0);
    assert_eq!(store.take_run_events().lost_runs, 2);
}

#[test]
fn runs_of_a_silent_gateway_are_in_doubt_and_those_of_others_are_not() {
    let mut store = start(MemoryDisk::new(), 1, at(0));
    handle(&mut store, &update(&[1], &[]), at(0));
    let timeout = u64::try_from(SESSION_TIMEOUT.as_millis()).unwrap();
    handle(&mut store, &update(&[], &[]), at(timeout - 1));
    store.tick(at(timeout));
    assert_eq!(doubts(&find(&mut store, at(timeout))), [0_u64; 0]);
    store.tick(at(2 * timeout));
    assert_eq!(doubts(&find(&mut store, at(2 * timeout))), [1]);
}

#[test]
fn a_session_that_is_not_known_is_told_so() {
    let mut store = start(MemoryDisk::new(), 1, at(0));
    let first = handle(&mut store, &update(&[1], &[]), at(0));
    let second = handle(&mut store, &update(&[2], &[]), at(0));
    assert!(first.is_new_session && !second.is_new_session);
}

#[test]
fn a_store_that_restarts_knows_reports_and_runs_under_way() {
    let mut store = start(MemoryDisk::new(), 1, at(0));
    handle(
        &mut store,
        &CrashRequest::Record(run(1, RunState::Crashed)),
        at(0),
    );
    let doubt = CrashRequest::RecordDoubt(run(2, RunState::Started));
    handle(&mut store, &doubt, at(0));
    handle(&mut store, &update(&[3, 4], &[4]), at(0));
    let mut store = start(store.into_disk(), 2, at(100));
    assert!(!store.has_complete_crash_reports());
    let found = find(&mut store, at(100));
    let runs: Vec<u64> = found.reports.iter().map(|report| report.run.0).collect();
    assert_eq!((runs, doubts(&found)), (vec![1, 2, 3], vec![2, 3]));
    let timeout = u64::try_from(SESSION_TIMEOUT.as_millis()).unwrap();
    store.tick(at(100 + timeout));
    assert!(store.has_complete_crash_reports());
}

#[test]
fn crashes_survive_a_loss_of_power() {
    let mut store = start(MemoryDisk::new(), 1, at(0));
    handle(
        &mut store,
        &CrashRequest::Record(run(1, RunState::Crashed)),
        at(0),
    );
    handle(&mut store, &update(&[2], &[]), at(0));
    let mut disk = store.into_disk();
    disk.crash(CrashDamage::LoseUnsynced);
    let mut store = start(disk, 2, at(100));
    assert_eq!(
        find(&mut store, at(100)).reports,
        [run(1, RunState::Crashed)]
    );
}

#[test]
fn a_damaged_end_of_the_file_loses_nothing_before_it() {
    let mut store = start(MemoryDisk::new(), 1, at(0));
    handle(
        &mut store,
        &CrashRequest::Record(run(1, RunState::Crashed)),
        at(0),
    );
    let mut disk = store.into_disk();
    disk.append("run-reports", &[0, 0, 0, 9, 1, 2]).unwrap();
    let mut store = start(disk, 2, at(100));
    handle(
        &mut store,
        &CrashRequest::Record(run(2, RunState::Crashed)),
        at(100),
    );
    let mut store = start(store.into_disk(), 3, at(200));
    assert_eq!(find(&mut store, at(200)).reports.len(), 2);
}

#[test]
fn the_file_stays_short() {
    let mut store = start(MemoryDisk::new(), 1, at(0));
    for number in 0..40_000 {
        handle(&mut store, &update(&[number], &[number]), at(0));
        if number % 100 == 0 {
            store.tick(at(0));
        }
    }
    assert!(store.into_disk().bytes() < 2 << 20);
}
