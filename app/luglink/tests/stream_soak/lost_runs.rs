//! Requests whose gateway is killed or frozen while replicas end under them.

use crate::callers::{Received, message};
use crate::crash_plan::LATE_END_DELAY;
use crate::fleet::{Fleet, PATHS, Process};
use crate::replicas::Faults;
use crate::runs::MAX_ENDS;
use luglink_http::{ClientConnection, connect};
use rustix::process::Signal;
use std::time::Duration;

pub const TIMEOUT: Duration = Duration::from_secs(10);

const FREEZE_DURATION: Duration = Duration::from_millis(800);

/// Time within which gateways follow a store that has started.
const REFILL_DURATION: Duration = Duration::from_secs(2);

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time after which a caller that is told to comes back.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Attempts at another gateway, enough to end every replica.
pub const ATTEMPTS: usize = 7;

/// Request that ends its replicas before the head of the response.
const NAME: &str = "crash-head-exit-other-1";

async fn send(fleet: &Fleet, gateway: usize, request: &str) {
    let mut connection = connect(fleet.addresses[gateway], TIMEOUT).await.unwrap();
    send_on(&mut connection, request).await;
}

async fn send_on(connection: &mut ClientConnection, request: &str) {
    send_named(connection, NAME, request).await;
}

pub async fn send_named(connection: &mut ClientConnection, name: &str, request: &str) {
    let path = format!("{}?{name}", PATHS[0]);
    let message = message(&path, request, TIMEOUT, &Received::default());
    // The gateway may be killed.
    let _ = connection.send(message).await;
}

#[actix_rt::test]
async fn a_gateway_that_was_frozen_learns_of_crashes_before_it_sends_a_request() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    let mut open = connect(fleet.addresses[1], TIMEOUT).await.unwrap();
    fleet.gateways[1].signal(Signal::STOP);
    for attempt in 0..ATTEMPTS {
        send(&fleet, 0, &format!("attempt-{attempt}")).await;
    }
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
    let waking = async {
        actix_rt::time::sleep(FREEZE_DURATION).await;
        fleet.gateways[1].signal(Signal::CONT);
    };
    tokio::join!(send_on(&mut open, "after"), waking);
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}

#[actix_rt::test]
async fn without_stores_a_gateway_sends_a_request_to_no_replica_after_one_has_ended() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    kill(&fleet.stores).await;
    insist(&fleet, &[0], ATTEMPTS).await;
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), 1);
    for store in fleet.stores.iter() {
        store.start_again();
    }
    fleet.assert_all_gateways_serve().await;
    // Until the stores have the report of the first end, attempts are told to come back.
    for attempt in 0..2 * ATTEMPTS {
        send(&fleet, attempt % 2, &format!("later-{attempt}")).await;
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}

#[actix_rt::test]
async fn restarted_stores_do_not_make_gateways_forget_crashes() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    for attempt in 0..ATTEMPTS {
        send(&fleet, 0, &format!("attempt-{attempt}")).await;
    }
    for store in fleet.stores.iter() {
        store.signal(Signal::KILL);
        store.wait_for_exit().await;
        store.start_again();
    }
    fleet.assert_all_gateways_serve().await;
    for attempt in 0..ATTEMPTS {
        send(&fleet, attempt % 2, &format!("later-{attempt}")).await;
    }
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}

#[actix_rt::test]
async fn a_gateway_that_starts_after_all_stores_restarted_knows_the_crashes_under_a_request() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    for attempt in 0..ATTEMPTS {
        send(&fleet, 0, &format!("attempt-{attempt}")).await;
    }
    for store in fleet.stores.iter() {
        store.signal(Signal::KILL);
        store.wait_for_exit().await;
        store.start_again();
        actix_rt::time::sleep(REFILL_DURATION).await;
    }
    fleet.gateways[1].signal(Signal::KILL);
    fleet.gateways[1].wait_for_exit().await;
    fleet.gateways[1].start_again();
    fleet.assert_all_gateways_serve().await;
    for attempt in 0..ATTEMPTS {
        send(&fleet, 1, &format!("later-{attempt}")).await;
    }
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}

/// Sends a request to a gateway, which is lost with the replica that ends under it.
async fn lose_gateway_with_replica(fleet: &Fleet, gateway: usize, request: &str) {
    lose_gateway_under(fleet, gateway, NAME, request).await;
}

pub async fn lose_gateway_under(fleet: &Fleet, gateway: usize, name: &str, request: &str) {
    let runs = &fleet.replicas.runs;
    let before = runs.of(name);
    let losing = async {
        while runs.of(name).runs == before.runs {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        fleet.gateways[gateway].signal(Signal::STOP);
        while runs.of(name).ends() == before.ends() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        fleet.gateways[gateway].signal(Signal::KILL);
        fleet.gateways[gateway].wait_for_exit().await;
    };
    let sending = async {
        let mut connection = connect(fleet.addresses[gateway], TIMEOUT).await.unwrap();
        send_named(&mut connection, name, request).await;
    };
    tokio::join!(sending, losing);
}

async fn kill(processes: &[Process]) {
    for process in processes {
        process.signal(Signal::KILL);
    }
    for process in processes {
        process.wait_for_exit().await;
    }
}

async fn kill_and_start_again(fleet: &Fleet) {
    let processes = || fleet.gateways.iter().chain(&*fleet.stores);
    for process in processes() {
        process.signal(Signal::KILL);
    }
    for process in processes() {
        process.wait_for_exit().await;
        process.start_again();
    }
    fleet.assert_all_gateways_serve().await;
}

async fn insist(fleet: &Fleet, gateways: &[usize], attempts: usize) {
    for attempt in 0..attempts {
        let gateway = gateways[attempt % gateways.len()];
        send(fleet, gateway, &format!("attempt-{attempt}")).await;
    }
}

#[actix_rt::test]
async fn a_run_whose_gateway_was_lost_counts_among_the_crashes_under_its_request() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    lose_gateway_with_replica(&fleet, 0, "first").await;
    insist(&fleet, &[1], ATTEMPTS).await;
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}

#[actix_rt::test]
async fn three_runs_that_were_each_lost_with_their_gateway_reach_the_limit() {
    let fleet = Fleet::start(1, 4, Faults::None).await;
    for gateway in 0..3 {
        lose_gateway_with_replica(&fleet, gateway, &format!("lost-{gateway}")).await;
    }
    insist(&fleet, &[3], ATTEMPTS).await;
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}

#[actix_rt::test]
async fn crashes_are_known_after_all_gateways_and_stores_were_killed_at_once() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    insist(&fleet, &[0], ATTEMPTS).await;
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
    kill_and_start_again(&fleet).await;
    insist(&fleet, &[0, 1], ATTEMPTS).await;
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}

#[actix_rt::test]
async fn a_run_counts_that_all_gateways_and_stores_were_killed_with() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    for round in 0..2 {
        lose_gateway_with_replica(&fleet, round, &format!("lost-{round}")).await;
        kill_and_start_again(&fleet).await;
    }
    insist(&fleet, &[0, 1], ATTEMPTS).await;
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}

#[actix_rt::test]
async fn gateways_without_stores_share_the_crashes_under_a_request() {
    let fleet = Fleet::start(1, 3, Faults::None).await;
    kill(&fleet.stores).await;
    insist(&fleet, &[0, 1, 2], 3 * ATTEMPTS).await;
    let ends = fleet.replicas.runs.of(NAME).ends();
    assert!(ends <= MAX_ENDS, "{ends} ends");
}

/// Request whose connection breaks and whose replica ends later than replicas that give a sign of
/// life count as in order.
const LATE_NAME: &str = "crash-head-later-other-1";

#[actix_rt::test]
async fn a_replica_that_ends_long_after_the_connection_broke_counts() {
    for pause in [
        Duration::ZERO,
        Duration::from_millis(400),
        Duration::from_secs(1),
    ] {
        let fleet = Fleet::start(1, 2, Faults::None).await;
        for attempt in 0..2 * ATTEMPTS {
            let mut connection = connect(fleet.addresses[attempt % 2], TIMEOUT)
                .await
                .unwrap();
            send_named(&mut connection, LATE_NAME, &format!("attempt-{attempt}")).await;
            actix_rt::time::sleep(pause).await;
        }
        actix_rt::time::sleep(LATE_END_DELAY).await;
        let ends = fleet.replicas.runs.of(LATE_NAME).ends();
        assert_eq!(ends, MAX_ENDS, "{pause:?} between attempts");
    }
}
