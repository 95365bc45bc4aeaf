//! Requests whose gateway is killed or frozen while replicas end under them.

use crate::callers::{Received, message};
use crate::fleet::{Fleet, PATHS};
use crate::replicas::Faults;
use crate::runs::MAX_ENDS;
use luglink_http::{ClientConnection, connect};
use rustix::process::Signal;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

const FREEZE_DURATION: Duration = Duration::from_millis(800);

/// Time within which gateways follow a store that has started.
const REFILL_DURATION: Duration = Duration::from_secs(2);

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Attempts at another gateway, enough to end every replica.
const ATTEMPTS: usize = 7;

/// Request that ends its replicas before the head of the response.
const NAME: &str = "crash-head-exit-other-1";

async fn send(fleet: &Fleet, gateway: usize, request: &str) {
    let mut connection = connect(fleet.addresses[gateway], TIMEOUT).await.unwrap();
    send_on(&mut connection, request).await;
}

async fn send_on(connection: &mut ClientConnection, request: &str) {
    let path = format!("{}?{NAME}", PATHS[0]);
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
async fn without_stores_a_gateway_goes_by_the_crashes_that_it_has_seen() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    for store in fleet.stores.iter() {
        store.signal(Signal::KILL);
        store.wait_for_exit().await;
    }
    for attempt in 0..ATTEMPTS {
        send(&fleet, 0, &format!("attempt-{attempt}")).await;
    }
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
    for store in fleet.stores.iter() {
        store.start_again();
    }
    fleet.assert_all_gateways_serve().await;
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

#[actix_rt::test]
async fn a_run_whose_gateway_was_lost_counts_among_the_crashes_under_its_request() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    let first = send(&fleet, 0, "first");
    let losing = async {
        while fleet.replicas.runs.of(NAME).runs == 0 {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        fleet.gateways[0].signal(Signal::STOP);
        while fleet.replicas.runs.of(NAME).ends() == 0 {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        fleet.gateways[0].signal(Signal::KILL);
        fleet.gateways[0].wait_for_exit().await;
    };
    tokio::join!(first, losing);
    for attempt in 0..ATTEMPTS {
        send(&fleet, 1, &format!("attempt-{attempt}")).await;
    }
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
}
