//! What one gateway of a zone sees of the replicas reaches the others.

use crate::support::caller::{TestRequest, get};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, route, wait_until};
use luglink_edge::{Configuration, RouteKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Several times what a word takes from one gateway to another.
const SEVERAL_WORDS: Duration = Duration::from_secs(2);

/// A configuration that calls for a shared view, by a stream that may go to a second replica.
fn sharing() -> Configuration {
    let mut sharing = configuration(1);
    sharing.routes.push(route("/stream/", RouteKind::Streaming));
    sharing
}

/// Replicas in the view that a gateway was told last.
async fn seen_replicas(metrics: Option<SocketAddr>) -> f64 {
    let text = get(metrics.unwrap(), "/metrics").await.body;
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("luglink_load_view_replicas "));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0.0)
}

/// Keeps a request under way at a replica that says nothing.
fn ask_in_vain(gateway: SocketAddr) {
    actix_rt::spawn(async move { TestRequest::get("/safe/x", "waits").send(gateway).await });
}

#[actix_rt::test]
async fn what_one_gateway_sees_reaches_the_other_of_its_zone() {
    let replica = Replica::start("r0", Script::Mute).await;
    let fleet = Fleet::start(vec![replica]).await;
    fleet.configure(&sharing()).await;
    let (second, _) = fleet.start_second_gateway().await;
    assert_eq!(seen_replicas(second.metrics_address).await, 0.0);
    ask_in_vain(fleet.gateway_address);
    wait_until("the second gateway sees the busy replica", || async {
        seen_replicas(second.metrics_address).await == 1.0
    })
    .await;
}

#[actix_rt::test]
async fn nothing_is_shared_where_nothing_calls_for_it() {
    let replica = Replica::start("r0", Script::Mute).await;
    let fleet = Fleet::start(vec![replica]).await;
    fleet.configure(&configuration(1)).await;
    let (second, _) = fleet.start_second_gateway().await;
    ask_in_vain(fleet.gateway_address);
    actix_rt::time::sleep(SEVERAL_WORDS).await;
    assert_eq!(seen_replicas(second.metrics_address).await, 0.0);
    assert_eq!(seen_replicas(fleet.gateway.metrics_address).await, 0.0);
}
