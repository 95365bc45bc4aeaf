//! Requests whose gateway is lost while a replica ends under them.

use crate::callers::{Received, message};
use crate::fleet::{Fleet, PATHS};
use crate::replicas::Faults;
use crate::runs::MAX_ENDS;
use luglink_http::connect;
use rustix::process::Signal;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Attempts at another gateway, enough to end every replica.
const ATTEMPTS: usize = 7;

/// Request that ends its replicas before the head of the response.
const NAME: &str = "crash-head-exit-other-1";

async fn send(fleet: &Fleet, gateway: usize, request: &str) {
    let path = format!("{}?{NAME}", PATHS[0]);
    let mut connection = connect(fleet.addresses[gateway], TIMEOUT).await.unwrap();
    let message = message(&path, request, TIMEOUT, &Received::default());
    // The gateway may be killed.
    let _ = connection.send(message).await;
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
