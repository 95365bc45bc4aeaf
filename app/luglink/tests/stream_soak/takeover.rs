//! Streams that are resumed at another gateway and replica after their own were lost, with and
//! without turn stores.

use crate::callers::{Received, message};
use crate::fleet::{Fleet, PATHS};
use crate::replicas::{EVENTS, Faults};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use luglink_http::{ClientConnection, connect};
use rustix::process::Signal;
use std::time::Duration;

/// Number of streams that each way of losing a gateway is tried with. Each would continue at
/// another version with a probability of one half if versions did not count.
const ROUNDS: usize = 6;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Response to one attempt, with the connection that it comes over.
pub struct Attempt {
    request: String,
    response: Response<Incoming>,
    _connection: ClientConnection,
}

impl Attempt {
    pub async fn send(fleet: &Fleet, gateway: usize, request: &str, received: &Received) -> Self {
        let mut connection = connect(fleet.addresses[gateway], TIMEOUT).await.unwrap();
        let sent = connection.send(message(PATHS[0], request, TIMEOUT, received));
        let response = sent.await.unwrap();
        Self::of(request, response, connection)
    }

    pub fn of(request: &str, response: Response<Incoming>, connection: ClientConnection) -> Self {
        Self {
            request: request.to_owned(),
            response,
            _connection: connection,
        }
    }

    /// Reads until `count` events of the stream have arrived, or the response ends.
    pub async fn read(&mut self, received: &mut Received, count: usize) {
        while received.events.len() < count
            && let Some(Ok(frame)) = self.response.body_mut().frame().await
        {
            let bytes = frame.into_data().unwrap_or_default();
            received.add(&self.request, &bytes);
        }
    }

    /// Returns the replica that signed the response.
    fn replica(&self) -> String {
        let signature = self.response.headers()["luglink-signature"].to_str();
        signature.unwrap().trim_start_matches("by-").to_owned()
    }

    fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    fn says_when_to_retry(&self) -> bool {
        self.response.headers().contains_key("retry-after")
    }
}

/// Begins a stream at a gateway and receives its first events.
async fn begin(fleet: &Fleet, gateway: usize, request: &str) -> (Attempt, Received) {
    let mut received = Received::default();
    let mut attempt = Attempt::send(fleet, gateway, request, &received).await;
    attempt.read(&mut received, 2).await;
    assert!(received.events.len() >= 2 && received.events.len() < EVENTS);
    (attempt, received)
}

/// Resumes a stream at a gateway, which must continue it to its end at the same version.
async fn resume(fleet: &Fleet, gateway: usize, request: &str, mut received: Received) {
    let mut attempt = Attempt::send(fleet, gateway, request, &received).await;
    assert_eq!(attempt.status(), 200, "{request}");
    attempt.read(&mut received, EVENTS).await;
    assert_eq!(received.fault(), None);
    assert_eq!(received.events.len(), EVENTS, "{request}");
}

async fn kill_and_start_again(fleet: &Fleet, gateway: usize) {
    fleet.gateways[gateway].wait_for_exit().await;
    fleet.gateways[gateway].start_again();
    fleet.assert_all_gateways_serve().await;
}

#[actix_rt::test]
async fn a_stream_of_a_killed_gateway_continues_at_another_one() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    for round in 0..ROUNDS {
        let (attempt, received) = begin(&fleet, 0, &format!("begun-{round}")).await;
        fleet.gateways[0].signal(Signal::KILL);
        fleet.replicas.replace(&attempt.replica()).await;
        resume(&fleet, 1, &format!("resumed-{round}"), received).await;
        kill_and_start_again(&fleet, 0).await;
    }
}

#[actix_rt::test]
async fn a_stream_of_a_frozen_gateway_continues_at_another_one() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    for round in 0..ROUNDS {
        let (attempt, received) = begin(&fleet, 0, &format!("begun-{round}")).await;
        fleet.gateways[0].signal(Signal::STOP);
        fleet.replicas.replace(&attempt.replica()).await;
        resume(&fleet, 1, &format!("resumed-{round}"), received).await;
        fleet.gateways[0].signal(Signal::CONT);
    }
}

#[actix_rt::test]
async fn without_stores_a_gateway_continues_its_own_streams_and_refuses_those_of_others() {
    let fleet = Fleet::start(1, 2, Faults::None).await;
    let (first, at_first) = begin(&fleet, 0, "begun-at-first").await;
    let (second, at_second) = begin(&fleet, 1, "begun-at-second").await;
    drop((first, second));
    for store in fleet.stores.iter() {
        store.signal(Signal::KILL);
        store.wait_for_exit().await;
    }
    resume(&fleet, 1, "resumed-own", at_second).await;
    let refused = Attempt::send(&fleet, 1, "resumed-other", &at_first).await;
    assert_eq!(
        (refused.status(), refused.says_when_to_retry()),
        (503, true)
    );
    for store in fleet.stores.iter() {
        store.start_again();
    }
    fleet.assert_all_gateways_serve().await;
    let refused = Attempt::send(&fleet, 1, "resumed-later", &at_first).await;
    assert_eq!(refused.status(), 503);
}
