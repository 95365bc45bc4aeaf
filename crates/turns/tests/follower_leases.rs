//! Acknowledgement of crash reports while gateways have leases.

use luglink_turns::{
    CrashResponse, FollowerLeases, LEASE_DURATION, LEASE_HOLD, LEASE_TRUST, LogPosition,
    RequestToken,
};
use luglink_types::Timestamp;
use std::time::Duration;

const EPOCH: u64 = 7;

const REPORTER: u64 = 1;

const FOLLOWER: u64 = 2;

const OTHER_FOLLOWER: u64 = 3;

fn position(next: u64) -> LogPosition {
    LogPosition { epoch: EPOCH, next }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + millis)
}

fn response(next: u64) -> CrashResponse {
    CrashResponse {
        position: position(next),
        ..CrashResponse::default()
    }
}

fn token(client: u64) -> RequestToken {
    RequestToken { client, request: 9 }
}

fn acknowledged(leases: &mut FollowerLeases, now: Timestamp) -> usize {
    leases.take_due(now).len()
}

#[test]
fn a_report_is_acknowledged_at_once_if_nobody_has_a_lease() {
    let mut leases = FollowerLeases::default();
    leases.hold(token(REPORTER), response(1));
    assert_eq!(acknowledged(&mut leases, at(0)), 1);
}

#[test]
fn the_reporter_need_not_fetch_its_own_report() {
    let mut leases = FollowerLeases::default();
    leases.grant(REPORTER, position(0), position(0), at(0));
    leases.hold(token(REPORTER), response(1));
    assert_eq!(acknowledged(&mut leases, at(1)), 1);
}

#[test]
fn a_report_is_acknowledged_once_all_gateways_with_a_lease_have_it() {
    let mut leases = FollowerLeases::default();
    leases.grant(FOLLOWER, position(0), position(0), at(0));
    leases.grant(OTHER_FOLLOWER, position(0), position(0), at(0));
    leases.hold(token(REPORTER), response(1));
    assert_eq!(acknowledged(&mut leases, at(1)), 0);
    leases.grant(FOLLOWER, position(1), position(1), at(2));
    assert_eq!(acknowledged(&mut leases, at(3)), 0);
    leases.grant(OTHER_FOLLOWER, position(1), position(1), at(4));
    assert_eq!(acknowledged(&mut leases, at(5)), 1);
}

#[test]
fn a_gateway_that_is_cut_off_delays_a_report_until_its_lease_ends() {
    let mut leases = FollowerLeases::default();
    leases.grant(FOLLOWER, position(0), position(0), at(0));
    leases.hold(token(REPORTER), response(1));
    let lease = u64::try_from(LEASE_DURATION.as_millis()).unwrap();
    assert_eq!(acknowledged(&mut leases, at(lease - 1)), 0);
    assert_eq!(acknowledged(&mut leases, at(lease)), 1);
}

#[test]
fn a_gateway_that_has_disconnected_delays_nothing() {
    let mut leases = FollowerLeases::default();
    leases.grant(FOLLOWER, position(0), position(0), at(0));
    leases.hold(token(REPORTER), response(1));
    leases.end(FOLLOWER);
    assert_eq!(acknowledged(&mut leases, at(1)), 1);
}

#[test]
fn a_request_for_an_earlier_run_of_the_store_acknowledges_nothing() {
    let mut leases = FollowerLeases::default();
    let earlier = LogPosition {
        epoch: EPOCH - 1,
        next: 5,
    };
    leases.grant(FOLLOWER, earlier, position(0), at(0));
    leases.hold(token(REPORTER), response(1));
    assert_eq!(acknowledged(&mut leases, at(1)), 0);
}

#[test]
fn a_store_that_has_started_waits_for_the_leases_of_its_earlier_process() {
    let mut leases = FollowerLeases::after_start(at(0));
    leases.hold(token(REPORTER), response(1));
    assert_eq!(acknowledged(&mut leases, at(1)), 0);
    let ended = at(0).plus(LEASE_DURATION);
    assert_eq!(acknowledged(&mut leases, ended), 1);
}

#[test]
fn a_gateway_trusts_for_less_than_the_lease_and_for_more_than_two_held_requests() {
    assert!(LEASE_TRUST < LEASE_DURATION);
    assert!(LEASE_HOLD * 2 + Duration::from_millis(200) < LEASE_TRUST);
}
