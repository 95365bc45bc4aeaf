//! Requests that end their replicas while gateways start without knowing what ended under them.

use crate::callers::{Received, message};
use crate::fleet::{Fleet, PATHS, Process};
use crate::lost_runs::send_named;
use crate::random::Random;
use crate::replicas::Faults;
use crate::runs::MAX_ENDS;
use luglink_http::connect;
use rustix::process::Signal;
use std::cell::Cell;
use std::time::{Duration, Instant};

const NAME: &str = "crash-head-exit-other-1";

const GATEWAYS: usize = 3;

const ATTEMPTS: usize = 8;

/// Time between the kills of one gateway and the next one.
const KILL_INTERVAL: Duration = Duration::from_millis(1_500);

const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Time for which a caller sends the same bytes again.
const LONG_DURATION: Duration = Duration::from_secs(14);

/// Time for which a store stays dark.
const DARK_DURATION: Duration = Duration::from_secs(3);

const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maximum time that a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time within which the callers of innocent requests are served, over all attempts.
const INNOCENT_TIMEOUT: Duration = Duration::from_secs(5);

fn signal(processes: &[Process], signal: Signal) {
    for process in processes {
        process.signal(signal);
    }
}

pub async fn kill(process: &Process) {
    process.signal(Signal::KILL);
    process.wait_for_exit().await;
}

/// Repeats a request at gateways drawn by lot.
async fn insist(fleet: &Fleet, random: &mut Random, name: &str, duration: Duration) {
    let end = Instant::now() + duration;
    for attempt in 0.. {
        if Instant::now() >= end {
            return;
        }
        let gateway = random.below(fleet.addresses.len());
        if let Ok(mut connection) = connect(fleet.addresses[gateway], RESPONSE_TIMEOUT).await {
            let request = format!("{name}-{attempt}");
            let sending = send_named(&mut connection, name, &request);
            let _ = actix_rt::time::timeout(RESPONSE_TIMEOUT, sending).await;
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Sends innocent requests, each to other gateways until it is served, until `is_over`.
pub async fn assert_innocent_requests_are_served(fleet: &Fleet, is_over: &Cell<bool>) {
    let mut random = Random::new(7);
    let mut number = 0;
    while !is_over.get() {
        let name = format!("innocent-{number}");
        let began = Instant::now();
        while !is_served(fleet, random.below(fleet.addresses.len()), &name).await {
            assert!(began.elapsed() < INNOCENT_TIMEOUT, "{name} is not served");
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        number += 1;
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    assert!(number > 0);
}

pub async fn is_served(fleet: &Fleet, gateway: usize, name: &str) -> bool {
    let Ok(mut connection) = connect(fleet.addresses[gateway], RESPONSE_TIMEOUT).await else {
        return false;
    };
    let path = format!("{}?{name}", PATHS[0]);
    let message = message(&path, name, RESPONSE_TIMEOUT, &Received::default());
    let response = actix_rt::time::timeout(RESPONSE_TIMEOUT, connection.send(message)).await;
    matches!(response, Ok(Ok(response)) if response.status().is_success())
}

pub fn assert_limited(fleet: &Fleet, name: &str) {
    let runs = fleet.replicas.runs.of(name);
    let (ends, sends) = (runs.ends(), runs.runs_after_limit);
    assert!(
        ends <= MAX_ENDS,
        "{ends} ends, {sends} sends after the limit"
    );
    assert_eq!(sends, 0, "{ends} ends");
}

/// Kills one gateway after the other and starts each again.
pub async fn restart_gateways_in_turn(fleet: &Fleet, duration: Duration) {
    let end = Instant::now() + duration;
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let gateway = &fleet.gateways[number % GATEWAYS];
        kill(gateway).await;
        actix_rt::time::sleep(RESTART_DELAY).await;
        gateway.start_again();
        actix_rt::time::sleep(KILL_INTERVAL).await;
    }
}

async fn insist_while_gateways_restart(fleet: &Fleet, disturbance: impl Future<Output = ()>) {
    let mut random = Random::new(3);
    let is_over = Cell::new(false);
    let insisting = async {
        insist(fleet, &mut random, NAME, LONG_DURATION).await;
        is_over.set(true);
    };
    tokio::join!(
        insisting,
        restart_gateways_in_turn(fleet, LONG_DURATION),
        assert_innocent_requests_are_served(fleet, &is_over),
        disturbance
    );
}

#[actix_rt::test]
async fn a_request_is_limited_while_gateways_restart_one_after_the_other_without_stores() {
    let fleet = Fleet::start(1, GATEWAYS, Faults::None).await;
    signal(&fleet.stores, Signal::STOP);
    insist_while_gateways_restart(&fleet, std::future::ready(())).await;
    signal(&fleet.stores, Signal::CONT);
    fleet.assert_all_gateways_serve().await;
    insist(&fleet, &mut Random::new(4), NAME, DARK_DURATION).await;
    assert_limited(&fleet, NAME);
}

#[actix_rt::test]
async fn a_request_is_limited_while_gateways_restart_and_stores_pause_again_and_again() {
    let fleet = Fleet::start(1, GATEWAYS, Faults::None).await;
    let pausing = async {
        for _ in 0..3 {
            signal(&fleet.stores, Signal::STOP);
            actix_rt::time::sleep(DARK_DURATION).await;
            signal(&fleet.stores, Signal::CONT);
            actix_rt::time::sleep(DARK_DURATION).await;
        }
    };
    insist_while_gateways_restart(&fleet, pausing).await;
    fleet.assert_all_gateways_serve().await;
    assert_limited(&fleet, NAME);
}

#[actix_rt::test]
async fn crashes_are_known_after_a_store_lost_its_disk_while_another_is_dark() {
    let fleet = Fleet::start(1, GATEWAYS, Faults::None).await;
    let [missing, wiped, dark] = &fleet.stores[..] else {
        panic!("three stores");
    };
    for process in fleet.members.iter().chain(&*fleet.stores) {
        process.end_first_start();
    }
    kill(missing).await;
    for attempt in 0..ATTEMPTS {
        let address = fleet.addresses[attempt % GATEWAYS];
        let mut connection = connect(address, RESPONSE_TIMEOUT).await.unwrap();
        send_named(&mut connection, NAME, &format!("attempt-{attempt}")).await;
    }
    assert_eq!(fleet.replicas.runs.of(NAME).ends(), MAX_ENDS);
    for gateway in fleet.gateways.iter() {
        kill(gateway).await;
    }
    dark.signal(Signal::STOP);
    kill(wiped).await;
    wiped.wipe_store();
    missing.start_again();
    wiped.start_again();
    for gateway in fleet.gateways.iter() {
        gateway.start_again();
    }
    let waking = async {
        actix_rt::time::sleep(DARK_DURATION).await;
        dark.signal(Signal::CONT);
    };
    let mut random = Random::new(5);
    tokio::join!(insist(&fleet, &mut random, NAME, 2 * DARK_DURATION), waking);
    fleet.assert_all_gateways_serve().await;
    assert_limited(&fleet, NAME);
}
