//! Distribution of the load view among the gateways of a zone.

use crate::support::caller::{TestRequest, get};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, route, wait_until};
use luglink_edge::{Configuration, RouteKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Wait of several times the delay with which statistics of one gateway reach another.
const PROPAGATION_WAIT: Duration = Duration::from_secs(2);

/// Returns a configuration with a stream that may go to a second replica, which enables the view.
fn sharing_configuration() -> Configuration {
    let mut configuration = configuration(1);
    configuration
        .routes
        .push(route("/stream/", RouteKind::Streaming));
    configuration
}

/// Returns the number of replicas in a gateway's latest view.
async fn replicas_in_view(metrics: Option<SocketAddr>) -> f64 {
    let text = get(metrics.unwrap(), "/metrics").await.body;
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("luglink_load_view_replicas "));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0.0)
}

/// Starts a request that stays in flight at a replica that never answers.
fn start_unanswered_request(gateway: SocketAddr) {
    actix_rt::spawn(async move { TestRequest::get("/safe/x", "waits").send(gateway).await });
}

#[actix_rt::test]
async fn statistics_of_one_gateway_reach_the_other_gateway_of_its_zone() {
    let replica = Replica::start("r0", Script::Mute).await;
    let fleet = Fleet::start(vec![replica]).await;
    fleet.configure(&sharing_configuration()).await;
    let (second, _) = fleet.start_second_gateway().await;
    assert_eq!(replicas_in_view(second.metrics_address).await, 0.0);
    start_unanswered_request(fleet.gateway_address);
    wait_until("the second gateway sees the busy replica", || async {
        replicas_in_view(second.metrics_address).await == 1.0
    })
    .await;
}

#[actix_rt::test]
async fn no_statistics_are_shared_unless_the_configuration_needs_them() {
    let replica = Replica::start("r0", Script::Mute).await;
    let fleet = Fleet::start(vec![replica]).await;
    fleet.configure(&configuration(1)).await;
    let (second, _) = fleet.start_second_gateway().await;
    start_unanswered_request(fleet.gateway_address);
    actix_rt::time::sleep(PROPAGATION_WAIT).await;
    assert_eq!(replicas_in_view(second.metrics_address).await, 0.0);
    assert_eq!(replicas_in_view(fleet.gateway.metrics_address).await, 0.0);
}
