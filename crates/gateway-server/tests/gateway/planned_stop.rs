//! Requests that come while a gateway is stopped as planned.

use crate::support::caller::{TestRequest, TestResponse};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, HOST, configuration};
use futures_util::future::join_all;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that each request takes at the replica.
const RUN: Duration = Duration::from_millis(700);

/// Time that requests have, longer than the stop takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(40);

/// Time since the begin of the stop within which requests can certainly end. The stop takes 5 s.
const CERTAIN: Duration = Duration::from_millis(3_000);

/// Time within which a request that cannot end is refused.
const AT_ONCE: Duration = Duration::from_millis(300);

/// Time for which callers go on.
const CALLERS_STOP: Duration = Duration::from_millis(6_000);

/// Time that the stop takes.
const STOP: Duration = Duration::from_secs(5);

/// Part of the longest time of a request by which a later one may take longer.
const MARGIN_RATIO: f64 = 1.25;

/// Interval at which the test checks whether its thread, which all processes share, stands still.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Delay of a timer from which on the thread counts as standing still.
const MIN_STALL: Duration = Duration::from_millis(50);

/// Times at which the thread of the test stood still, and for how long.
#[derive(Clone, Default)]
struct Stalls(Rc<RefCell<Vec<(Instant, Duration)>>>);

impl Stalls {
    /// Notes stalls until the test ends.
    fn watch() -> Self {
        let stalls = Self::default();
        let noted = stalls.clone();
        actix_rt::spawn(async move {
            loop {
                let began = Instant::now();
                actix_rt::time::sleep(STALL_CHECK_INTERVAL).await;
                let late = began.elapsed().saturating_sub(STALL_CHECK_INTERVAL);
                if late >= MIN_STALL {
                    noted.0.borrow_mut().push((began, late));
                }
            }
        });
        stalls
    }

    /// Returns the time for which the thread stood still between two moments.
    fn between(&self, begin: Instant, end: Instant) -> Duration {
        let stalls = self.0.borrow();
        let within = stalls
            .iter()
            .filter(|(began, late)| *began < end && *began + STALL_CHECK_INTERVAL + *late > begin);
        within.map(|(_, late)| *late).sum()
    }
}

struct Outcome {
    id: String,
    sent_after: Duration,
    took: Duration,
    response: TestResponse,
}

async fn start() -> (Fleet, Replica) {
    let replica = Replica::start("r0", Script::Takes(RUN)).await;
    let fleet = Fleet::start(vec![replica.clone()]).await;
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        route.timeout_ms = TIMEOUT.as_millis() as u64;
    }
    fleet.configure(&configuration).await;
    let known = (0..8).map(|number| {
        let request = TestRequest::get(&format!("/unsafe/w{number}"), &format!("w{number}"));
        request.send(fleet.gateway_address)
    });
    for response in join_all(known).await {
        assert_eq!(response.status, 200);
    }
    (fleet, replica)
}

/// Guards against requests that are passed on late in a planned stop and cut at its end.
#[actix_rt::test]
async fn no_request_that_comes_late_in_a_planned_stop_is_passed_on_and_cut() {
    let (fleet, replica) = start().await;
    let stalls = Stalls::watch();
    let gateway = Rc::clone(&fleet.gateway);
    let address = fleet.gateway_address;
    let began = Instant::now();
    let stopping = actix_rt::spawn(async move {
        gateway.stop().await;
        Instant::now()
    });
    let mut calls = Vec::new();
    for number in 0.. {
        if began.elapsed() >= CALLERS_STOP {
            break;
        }
        let id = format!("u{number}");
        calls.push(actix_rt::spawn(async move {
            let sent_at = Instant::now();
            let request = TestRequest::get(&format!("/unsafe/{id}"), &id);
            let request = request.with("luglink-deadline-ms", TIMEOUT.as_millis());
            let response = request.send(address).await;
            Outcome {
                id,
                sent_after: sent_at - began,
                took: sent_at.elapsed(),
                response,
            }
        }));
        actix_rt::time::sleep(PAUSE).await;
    }
    let stopped_at = stopping.await.unwrap();
    let seen = replica.seen.borrow().clone();
    let passed_on: BTreeSet<&str> = seen.iter().map(|request| request.id()).collect();
    let outcomes = join_all(calls).await.into_iter().map(Result::unwrap);
    let outcomes: Vec<Outcome> = outcomes.collect();
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.response.status == 200);
    let longest = served.map(|outcome| {
        let sent_at = began + outcome.sent_after;
        RUN + stalls.between(sent_at, sent_at + outcome.took)
    });
    let longest = longest.max().unwrap_or(RUN);
    let mut refused = 0;
    for Outcome {
        id,
        sent_after,
        took,
        response,
    } in outcomes
    {
        let ended_at = began + sent_after + took;
        let stalled = stalls.between(began + sent_after, ended_at);
        if ended_at > stopped_at && !passed_on.contains(id.as_str()) {
            continue;
        }
        if passed_on.contains(id.as_str()) {
            assert_eq!(response.status, 200, "{id}, sent after {sent_after:?}");
            assert!(
                ended_at <= stopped_at,
                "{id}, sent after {sent_after:?}, is cut; the thread stood still for {stalled:?}"
            );
            continue;
        }
        refused += 1;
        // Where the thread stood still, requests have taken longer, and the gateway has measured that.
        let expected = longest.mul_f64(MARGIN_RATIO) + stalled;
        let certain = CERTAIN.min(STOP.saturating_sub(expected));
        assert!(
            sent_after > certain,
            "{id}, sent after {sent_after:?}, is refused before {certain:?}"
        );
        assert!(matches!(response.status, 0 | 503), "{id}: {response:?}");
        assert!(
            took < AT_ONCE + stalled,
            "{id} is refused after {took:?}, {stalled:?} of which the thread stood still"
        );
    }
    assert!(refused > 0, "no request came late");
}

/// The same for a request that began on an open connection before the stop.
#[actix_rt::test]
async fn a_request_that_is_completed_late_in_a_planned_stop_is_refused_at_once() {
    let (fleet, replica) = start().await;
    let mut stream = TcpStream::connect(fleet.gateway_address).await.unwrap();
    let head = format!(
        "POST /unsafe/late HTTP/1.1\r\nHost: {HOST}\r\nLuglink-Request-Id: late\r\n\
         Content-Length: 10\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(b"12345").await.unwrap();
    let gateway = Rc::clone(&fleet.gateway);
    let stopping = actix_rt::spawn(async move { gateway.stop().await });
    actix_rt::time::sleep(Duration::from_millis(3_950)).await;
    stream.write_all(b"67890").await.unwrap();
    let completed_at = Instant::now();
    let mut response = [0; 64];
    let count = stream.read(&mut response).await.unwrap();
    let response = String::from_utf8_lossy(&response[..count]).into_owned();
    assert!(completed_at.elapsed() < AT_ONCE, "{response}");
    assert!(
        response.starts_with("HTTP/1.1 503") || response.starts_with("HTTP/1.1 408"),
        "{response}"
    );
    assert!(replica.seen.borrow().iter().all(|seen| seen.id() != "late"));
    stopping.await.unwrap();
}
