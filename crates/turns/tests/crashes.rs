//! Reports of replicas that ended while they ran a request, and messages about them between builds.

use luglink_fleet::{BackendId, Incarnation};
use luglink_turns::{
    CRASH_RETENTION, Chain, CrashLog, CrashRequest, CrashResponse, CrashTable, LogPosition,
    OriginRequest, RequestFingerprint, RunId, RunReport, RunState, RunUpdate, StoreResponse,
};
use luglink_types::Timestamp;
use luglink_wire::{Parts, decode_body, decode_with_parts, encode_body, encode_with_parts};
use proptest::prelude::*;

const LEASE_SECONDS: u64 = 6;

const REQUEST: RequestFingerprint = RequestFingerprint(1, 2);

const OTHER_REQUEST: RequestFingerprint = RequestFingerprint(3, 4);

fn report(run: u64, replica: &str, known_crashes: u32, state: RunState) -> RunReport {
    RunReport {
        request: REQUEST,
        run: RunId(run),
        replica: BackendId(replica.to_owned()),
        incarnation: Incarnation(5),
        known_crashes,
        lease_ms: LEASE_SECONDS * 1_000,
        state,
    }
}

fn crash(run: u64, replica: &str, known_crashes: u32) -> RunReport {
    report(run, replica, known_crashes, RunState::Crashed)
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + seconds * 1_000)
}

fn table(reports: &[RunReport]) -> CrashTable {
    let mut table = CrashTable::new(8);
    for report in reports {
        table.merge(report, at(0));
    }
    table
}

#[test]
fn every_replica_that_ended_counts_once_however_many_runs_saw_it() {
    let table = table(&[crash(1, "a", 0), crash(2, "a", 0), crash(3, "b", 0)]);
    assert_eq!(table.crashes(REQUEST, at(0)), 2);
    assert_eq!(table.crashes(OTHER_REQUEST, at(0)), 0);
}

#[test]
fn a_replica_that_restarts_under_its_identifier_counts_again() {
    let table = table(&[crash(1, "a", 0), crash(2, "a", 1), crash(3, "a", 2)]);
    assert_eq!(table.crashes(REQUEST, at(0)), 3);
}

#[test]
fn a_run_that_was_announced_may_still_crash_until_it_is_cleared() {
    let mut table = table(&[crash(1, "a", 0), report(2, "b", 1, RunState::Started)]);
    assert_eq!(table.crashes(REQUEST, at(0)), 1);
    assert_eq!(table.possible_crashes(REQUEST, None), 2);
    assert_eq!(table.possible_crashes(REQUEST, Some(RunId(2))), 1);
    assert!(table.merge(&report(2, "b", 1, RunState::Cleared), at(1)));
    assert_eq!(table.possible_crashes(REQUEST, None), 1);
}

#[test]
fn a_run_whose_gateway_was_lost_counts_as_a_crash_after_its_lease() {
    let table = table(&[report(1, "a", 0, RunState::Started)]);
    assert_eq!(table.crashes(REQUEST, at(LEASE_SECONDS - 1)), 0);
    assert_eq!(table.crashes(REQUEST, at(LEASE_SECONDS)), 1);
}

#[test]
fn a_run_without_an_outcome_may_be_settled_by_anybody_after_its_lease() {
    let table = table(&[report(1, "a", 0, RunState::Started), crash(2, "b", 0)]);
    let unsettled = |seconds| {
        let runs = table.unsettled(REQUEST, at(seconds));
        runs.map(|run| run.run).collect::<Vec<_>>()
    };
    assert_eq!(unsettled(LEASE_SECONDS - 1), []);
    assert_eq!(unsettled(LEASE_SECONDS), [RunId(1)]);
}

#[test]
fn reports_expire_after_the_latest_one() {
    let mut table = table(&[crash(1, "a", 0)]);
    table.merge(&crash(2, "b", 1), at(60));
    let end = CRASH_RETENTION.as_secs();
    table.expire(at(end));
    assert_eq!(table.crashes(REQUEST, at(end)), 2);
    assert_eq!(table.expires_at(REQUEST), Some(at(end + 60)));
    table.expire(at(end + 60));
    assert!(table.is_empty());
}

#[test]
fn a_full_table_drops_the_request_that_expires_first() {
    let mut table = CrashTable::new(2);
    for number in 0..3 {
        let request = RequestFingerprint(number, 0);
        let report = RunReport {
            request,
            ..crash(1, "a", 0)
        };
        table.merge(&report, at(number));
    }
    assert_eq!(table.len(), 2);
    assert_eq!(table.crashes(RequestFingerprint(0, 0), at(3)), 0);
    assert_eq!(table.crashes(RequestFingerprint(2, 0), at(3)), 1);
}

#[test]
fn cleared_runs_make_room_for_new_ones_and_crashes_stay() {
    let mut table = table(&[crash(0, "a", 0), crash(1, "b", 1)]);
    for run in 2..500 {
        table.merge(&report(run, "c", 2, RunState::Started), at(1));
        table.merge(&report(run, "c", 2, RunState::Cleared), at(1));
    }
    assert_eq!(table.crashes(REQUEST, at(1)), 2);
    assert!(table.reports(REQUEST).count() <= 32);
}

#[test]
fn ends_are_counted_among_many_runs_under_way() {
    let started = |run| report(run, "same", 0, RunState::Started);
    let mut table = table(&(0..20).map(started).collect::<Vec<_>>());
    for run in 17..20 {
        table.merge(&crash(run, &format!("r{run}"), 0), at(1));
    }
    assert_eq!(table.crashes(REQUEST, at(1)), 3);
}

#[test]
fn ends_are_counted_among_many_runs_that_saw_the_same_end() {
    let mut table = table(&(0..20).map(|run| crash(run, "same", 0)).collect::<Vec<_>>());
    for run in 20..22 {
        table.merge(&crash(run, &format!("r{run}"), 0), at(1));
    }
    assert_eq!(table.crashes(REQUEST, at(1)), 3);
}

#[test]
fn a_run_that_was_cleared_before_its_end_is_told_from_one_that_was_cleared_after() {
    let run = report(1, "a", 0, RunState::Started);
    let cleared = report(1, "a", 0, RunState::Cleared);
    let early = table(&[run.clone(), cleared.clone()]);
    assert!(early.is_cleared_early(&run));
    let late = table(&[run.clone(), crash(1, "a", 0), cleared]);
    assert!(!late.is_cleared_early(&run));
}

#[test]
fn runs_at_the_same_replica_see_the_same_end() {
    let cleared = report(1, "a", 0, RunState::Cleared);
    let mut table = table(&[cleared.clone(), crash(2, "b", 1)]);
    assert_eq!(table.known_crashes_beside(&cleared), None);
    table.merge(&report(3, "a", 1, RunState::Started), at(0));
    assert_eq!(table.known_crashes_beside(&cleared), Some(1));
}

#[test]
fn a_run_in_doubt_stays_so_until_its_outcome_is_known() {
    let run = report(1, "a", 0, RunState::Started);
    let mut table = table(std::slice::from_ref(&run));
    assert_eq!(table.suspected_crashes(REQUEST), 0);
    assert!(table.mark_in_doubt(REQUEST, RunId(1)));
    assert!(!table.mark_in_doubt(REQUEST, RunId(1)));
    assert_eq!(table.suspected_crashes(REQUEST), 1);
    table.merge(&report(1, "a", 0, RunState::Cleared), at(1));
    assert_eq!(table.suspected_crashes(REQUEST), 0);
    assert!(!table.is_in_doubt(&run));
}

#[test]
fn only_runs_of_other_requests_that_may_be_under_way_are_kept_apart() {
    let mut table = table(&[report(1, "own", 1, RunState::Started)]);
    let other = |run, replica, state| RunReport {
        request: OTHER_REQUEST,
        ..report(run, replica, 1, state)
    };
    table.merge(&other(2, "running", RunState::Started), at(0));
    table.merge(&other(3, "ended", RunState::Crashed), at(0));
    let replicas: Vec<&BackendId> = table.replicas_with_other_suspects(REQUEST).collect();
    assert_eq!(replicas, [&BackendId("running".to_owned())]);
}

#[test]
fn a_follower_gets_the_reports_after_its_position() {
    let mut log = CrashLog::new(7);
    let start = log.position();
    assert!(log.record(&crash(1, "a", 0), at(0)));
    let after_first = log.position();
    assert!(!log.record(&crash(1, "a", 0), at(0)));
    assert_eq!(log.position(), after_first);
    assert!(log.record(&crash(2, "b", 1), at(0)));
    assert_eq!(log.reports_from(start).len(), 2);
    assert_eq!(log.reports_from(after_first), [crash(2, "b", 1)]);
    assert_eq!(log.reports_from(log.position()), []);
}

#[test]
fn a_follower_of_an_earlier_run_of_the_store_or_far_behind_gets_all_reports() {
    let mut log = CrashLog::new(7);
    for run in 0..5_000 {
        let request = RequestFingerprint(run, 0);
        let report = RunReport {
            request,
            ..crash(run, "a", 0)
        };
        log.record(&report, at(0));
    }
    let earlier_run = LogPosition { epoch: 6, next: 3 };
    assert_eq!(log.reports_from(earlier_run).len(), 5_000);
    let far_behind = LogPosition { epoch: 7, next: 3 };
    assert_eq!(log.reports_from(far_behind).len(), 5_000);
}

#[test]
fn messages_about_crash_reports_survive_the_wire() {
    let requests = [
        CrashRequest::Record(crash(1, "a", 0)),
        CrashRequest::RecordDoubt(report(2, "b", 1, RunState::Started)),
        CrashRequest::Update(RunUpdate {
            session: 3,
            begun: vec![report(4, "b", 1, RunState::Started)],
            ended: vec![RunId(5)],
        }),
        CrashRequest::Find(REQUEST),
        CrashRequest::Follow(LogPosition { epoch: 7, next: 9 }),
        CrashRequest::FollowLeased(LogPosition { epoch: 7, next: 9 }),
    ];
    for request in requests {
        let body = encode_with_parts(&OriginRequest::message(), &request.encode().unwrap());
        let (_, parts) = decode_with_parts::<luglink_turns::StoreRequest>(&body.unwrap()).unwrap();
        assert_eq!(OriginRequest::decode(&parts).unwrap(), None);
        assert_eq!(CrashRequest::decode(&parts).unwrap(), Some(request));
    }
    let response = CrashResponse {
        position: LogPosition { epoch: 7, next: 9 },
        reports: vec![crash(1, "a", 0)],
        doubts: vec![(REQUEST, RunId(1))],
        is_new_session: true,
        has_lease: true,
    };
    let parts = response.encode().unwrap();
    assert_eq!(CrashResponse::decode(&parts).unwrap(), Some(response));
}

#[test]
fn builds_without_crash_reports_exchange_lookups_of_no_turn() {
    let request = CrashRequest::Find(REQUEST).encode().unwrap();
    let body = encode_with_parts(&OriginRequest::message(), &request).unwrap();
    let read: luglink_turns::StoreRequest = decode_body(&body).unwrap();
    assert_eq!(read, OriginRequest::message());
    let answer = StoreResponse::Chain(Chain::Absent { incarnation: 3 });
    let (_, parts) = decode_with_parts::<StoreResponse>(&encode_body(&answer).unwrap()).unwrap();
    assert_eq!(parts, Parts::default());
    assert_eq!(CrashResponse::decode(&parts).unwrap(), None);
}

fn any_report() -> impl Strategy<Value = RunReport> {
    let states = [RunState::Started, RunState::Crashed, RunState::Cleared];
    (0..6_u64, 0..3_usize)
        .prop_map(move |(run, state)| report(run, &format!("r{}", run % 4), 0, states[state]))
}

proptest! {
    #[test]
    fn copies_agree_in_whatever_order_reports_arrive(
        reports in proptest::collection::vec(any_report(), 0..40)
    ) {
        let forward = table(&reports);
        let reversed: Vec<RunReport> = reports.iter().rev().cloned().collect();
        let backward = table(&reversed);
        prop_assert_eq!(forward.crashes(REQUEST, at(0)), backward.crashes(REQUEST, at(0)));
        prop_assert_eq!(
            forward.possible_crashes(REQUEST, None),
            backward.possible_crashes(REQUEST, None)
        );
    }
}

#[test]
fn runs_that_would_see_one_end_make_room_before_one_that_would_see_another() {
    let mut table = CrashTable::new(4);
    let other = report(1, "other", 0, RunState::Started);
    table.merge(&other, at(0));
    for run in 2..17 {
        table.merge(&report(run, "shared", 0, RunState::Started), at(0));
    }
    table.merge(&crash(17, "ended", 0), at(1));
    assert_eq!(table.possible_crashes(REQUEST, None), 3);
    assert!(table.counts(&other));
}

#[test]
fn runs_that_were_dropped_and_are_told_again_do_not_make_reports_expire_later() {
    let seen: Vec<RunReport> = (1..=24).map(|run| crash(run, "shared", 0)).collect();
    let mut table = table(&seen);
    for report in &seen {
        table.merge(report, at(300));
    }
    table.expire(at(CRASH_RETENTION.as_secs()));
    assert!(table.is_empty());
}

#[test]
fn a_cleared_run_that_was_dropped_does_not_count_when_it_is_told_again() {
    let cleared = |run| report(run, "shared", 0, RunState::Cleared);
    let reports: Vec<RunReport> = (1..=40).map(cleared).collect();
    let mut table = table(&reports);
    for run in 1..=40 {
        table.merge(&report(run, "shared", 0, RunState::Started), at(1));
        table.merge(&crash(run, "shared", 0), at(1));
    }
    assert_eq!(table.possible_crashes(REQUEST, None), 0);
}
