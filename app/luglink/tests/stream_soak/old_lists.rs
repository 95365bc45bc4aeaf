//! Streams that are resumed at a gateway whose list of replicas is older than their software version.

use crate::callers::{Received, message};
use crate::fleet::{Fleet, PATHS};
use crate::replicas::{EVENTS, Faults};
use crate::takeover::Attempt;
use luglink_http::connect;
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Replicas of the version that joins.
const JOINING: usize = 5;

/// Streams of that version that are resumed.
const STREAMS: usize = 8;

/// Time that a caller has for one stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a gateway takes the only version for that of every stream under way.
const SOLE_VERSION_DURATION: Duration = Duration::from_secs(9);

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Streams of the joining version that began at the first gateway, each with its first events.
async fn begin_at_joining_version(fleet: &Fleet) -> Vec<Received> {
    let started = Instant::now();
    let mut begun = Vec::new();
    for number in 0.. {
        if begun.len() >= STREAMS {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{} streams", begun.len());
        let request = format!("begun-{number}");
        let mut received = Received::default();
        let mut attempt = Attempt::send(fleet, 0, &request, &received).await;
        attempt.read(&mut received, 2).await;
        if received
            .events
            .first()
            .is_some_and(|(_, version)| *version == 2)
        {
            begun.push(received);
        }
    }
    begun
}

/// Resumes a stream once. Returns true if it was received whole.
async fn resume(fleet: &Fleet, gateway: usize, request: &str, received: &mut Received) -> bool {
    received.discard_partial_event();
    let connection = connect(fleet.addresses[gateway], STREAM_TIMEOUT).await;
    let mut connection = connection.unwrap();
    let message = message(PATHS[0], request, STREAM_TIMEOUT, received);
    let sending = actix_rt::time::timeout(STREAM_TIMEOUT, connection.send(message));
    let Ok(Ok(response)) = sending.await else {
        return false;
    };
    if !response.status().is_success() {
        return false;
    }
    let mut attempt = Attempt::of(request, response, connection);
    attempt.read(received, EVENTS).await;
    received.events.len() == EVENTS
}

async fn resume_all(fleet: &Fleet, gateway: usize, streams: &mut [Received], name: &str) -> usize {
    let resuming = streams.iter_mut().enumerate();
    let resuming = resuming.map(|(number, received)| async move {
        let request = format!("{name}-{number}");
        resume(fleet, gateway, &request, received).await
    });
    let resumed = futures_util::future::join_all(resuming).await;
    resumed.into_iter().filter(|is_whole| *is_whole).count()
}

fn assert_none_is_mixed(streams: &[Received]) {
    let mixed = streams.iter().filter_map(Received::fault);
    let mixed: Vec<String> = mixed.collect();
    assert_eq!(mixed, Vec::<String>::new());
}

/// Starts a fleet whose replicas have all had one version for long.
async fn start_with_one_version() -> Fleet {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    fleet.replicas.keep_version(1);
    actix_rt::time::sleep(SOLE_VERSION_DURATION).await;
    fleet
}

#[actix_rt::test]
async fn a_gateway_that_wakes_while_stores_restart_mixes_no_streams() {
    let fleet = start_with_one_version().await;
    fleet.gateways[1].signal(Signal::STOP);
    fleet.replicas.join(2, JOINING).await;
    let mut streams = begin_at_joining_version(&fleet).await;
    let waking = async {
        for store in fleet.stores.iter() {
            store.signal(Signal::KILL);
            store.wait_for_exit().await;
        }
        fleet.gateways[1].signal(Signal::CONT);
        for store in fleet.stores.iter() {
            store.start_again();
        }
    };
    tokio::join!(resume_all(&fleet, 1, &mut streams, "resumed"), waking);
    assert_none_is_mixed(&streams);
}

#[actix_rt::test]
async fn a_gateway_that_hears_of_nobody_mixes_no_streams() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let fleet = Fleet::start(1, 2, Faults::None).await;
    let out_of_touch = &fleet.gateways[1];
    out_of_touch
        .read_list_at(silent.local_addr().unwrap())
        .await;
    fleet.assert_all_gateways_serve().await;
    fleet.replicas.keep_version(1);
    actix_rt::time::sleep(SOLE_VERSION_DURATION).await;
    out_of_touch.signal(Signal::STOP);
    fleet.replicas.join(2, JOINING).await;
    let mut streams = begin_at_joining_version(&fleet).await;
    for process in fleet.members.iter().chain(&*fleet.stores) {
        process.signal(Signal::STOP);
    }
    let waking = async { out_of_touch.signal(Signal::CONT) };
    tokio::join!(resume_all(&fleet, 1, &mut streams, "resumed"), waking);
    assert_none_is_mixed(&streams);
    for process in fleet.members.iter().chain(&*fleet.stores) {
        process.signal(Signal::CONT);
    }
    fleet.assert_all_gateways_serve().await;
}

#[actix_rt::test]
async fn a_gateway_that_has_just_woken_continues_streams_of_a_version_that_joined_meanwhile() {
    let fleet = start_with_one_version().await;
    fleet.gateways[1].signal(Signal::STOP);
    fleet.replicas.join(2, JOINING).await;
    let mut streams = begin_at_joining_version(&fleet).await;
    let waking = async {
        fleet.gateways[1].signal(Signal::CONT);
    };
    let (whole, ()) = tokio::join!(resume_all(&fleet, 1, &mut streams, "resumed"), waking);
    assert_none_is_mixed(&streams);
    assert_eq!(whole, STREAMS);
}
