//! Requests that end their replicas while what gateways know of turn stores grows old.

use crate::callers::{Received, message};
use crate::fleet::{CALL_PATH, Fleet, PATHS, Process};
use crate::lost_runs::{ATTEMPTS, TIMEOUT, lose_gateway_under, send_named};
use crate::replicas::Faults;
use crate::runs::MAX_ENDS;
use luglink_http::connect;
use rustix::process::Signal;
use std::time::Duration;

const NAME: &str = "crash-head-exit-other-1";

/// Request whose replicas start again at once under their identifiers.
const RESTARTING_NAME: &str = "crash-head-exit-same-1";

const GATEWAYS: usize = 3;

/// Requests that take about as long as a store may be silent before it counts as lost.
const INNOCENT_REQUESTS: usize = 12;

const FREEZES: usize = 5;

/// Pause of a caller between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Time for which stores stand still.
const SILENCE: Duration = Duration::from_secs(3);

/// Time from which on gateways know that they hear nothing of stores.
const SILENCE_KNOWN_AFTER: Duration = Duration::from_millis(1_500);

fn signal(processes: &[Process], signal: Signal) {
    for process in processes {
        process.signal(signal);
    }
}

/// Repeats a request at the gateways in turn.
async fn insist(fleet: &Fleet, gateways: &[usize], name: &str, attempts: usize) {
    for attempt in 0..attempts {
        let gateway = gateways[attempt % gateways.len()];
        let Ok(mut connection) = connect(fleet.addresses[gateway], TIMEOUT).await else {
            continue;
        };
        send_named(&mut connection, name, &format!("attempt-{attempt}")).await;
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Asserts that a request is limited although all stores fall silent after `first` attempts.
async fn assert_limited_in_silence(first: usize, settled: Duration) {
    let fleet = Fleet::start(1, GATEWAYS, Faults::None).await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    insist(&fleet, &all[..1], NAME, first).await;
    signal(&fleet.stores, Signal::STOP);
    actix_rt::time::sleep(settled).await;
    let silence = async {
        actix_rt::time::sleep(SILENCE).await;
        signal(&fleet.stores, Signal::CONT);
    };
    tokio::join!(insist(&fleet, &all, NAME, 6 * ATTEMPTS), silence);
    let ends = fleet.replicas.runs.of(NAME).ends();
    assert!(ends <= MAX_ENDS, "{ends} ends");
    fleet.assert_all_gateways_serve().await;
    insist(&fleet, &all, NAME, 2 * ATTEMPTS).await;
    let ends = fleet.replicas.runs.of(NAME).ends();
    assert!(ends <= MAX_ENDS, "{ends} ends after the silence");
}

#[actix_rt::test]
async fn a_request_is_limited_while_all_stores_have_just_fallen_silent() {
    assert_limited_in_silence(0, Duration::ZERO).await;
}

#[actix_rt::test]
async fn a_request_is_limited_whose_first_end_came_before_all_stores_fell_silent() {
    assert_limited_in_silence(1, Duration::ZERO).await;
}

#[actix_rt::test]
async fn a_request_is_limited_while_all_stores_have_long_been_silent() {
    assert_limited_in_silence(0, SILENCE_KNOWN_AFTER).await;
}

#[actix_rt::test]
async fn replicas_that_restart_under_their_identifiers_count_if_their_gateways_are_lost() {
    assert_restarts_count(Faults::Unidentified).await;
}

/// The list shows the new incarnation of a replica some time after its restart.
#[actix_rt::test]
async fn replicas_whose_listed_incarnation_is_old_count_if_their_gateways_are_lost() {
    assert_restarts_count(Faults::None).await;
}

async fn assert_restarts_count(faults: Faults) {
    let fleet = Fleet::start(1, GATEWAYS + 1, faults).await;
    fleet.replicas.keep_one();
    fleet.assert_all_gateways_serve().await;
    for gateway in 0..GATEWAYS {
        let request = format!("lost-{gateway}");
        lose_gateway_under(&fleet, gateway, RESTARTING_NAME, &request).await;
    }
    insist(&fleet, &[GATEWAYS], RESTARTING_NAME, 6 * ATTEMPTS).await;
    let ends = fleet.replicas.runs.of(RESTARTING_NAME).ends();
    assert!(ends <= MAX_ENDS, "{ends} ends");
}

#[actix_rt::test]
async fn innocent_requests_are_served_while_all_stores_pause() {
    let fleet = Fleet::start(1, GATEWAYS, Faults::None).await;
    signal(&fleet.stores, Signal::STOP);
    for number in 0..INNOCENT_REQUESTS {
        let gateway = number % GATEWAYS;
        let path = [PATHS[0], CALL_PATH][number % 2];
        let name = format!("innocent-{number}");
        let mut connection = connect(fleet.addresses[gateway], TIMEOUT).await.unwrap();
        let message = message(
            &format!("{path}?{name}"),
            &name,
            TIMEOUT,
            &Received::default(),
        );
        let response = connection.send(message).await.unwrap();
        assert!(response.status().is_success(), "{name}: {response:?}");
    }
    signal(&fleet.stores, Signal::CONT);
    fleet.assert_all_gateways_serve().await;
}

#[actix_rt::test]
async fn a_gateway_that_stands_still_again_and_again_learns_of_ends_before_it_sends() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    for round in 0..FREEZES {
        let name = format!("{NAME}{round}");
        let mut open = connect(fleet.addresses[1], TIMEOUT).await.unwrap();
        fleet.gateways[1].signal(Signal::STOP);
        let waking = async {
            insist(&fleet, &[0], &name, ATTEMPTS).await;
            fleet.gateways[1].signal(Signal::CONT);
        };
        tokio::join!(send_named(&mut open, &name, "after"), waking);
        insist(&fleet, &[1], &name, ATTEMPTS).await;
        let ends = fleet.replicas.runs.of(&name).ends();
        assert!(ends <= MAX_ENDS, "{name}: {ends} ends");
    }
}
