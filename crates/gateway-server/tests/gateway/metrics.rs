//! Metrics of the processes of a fleet.

use crate::support::caller::{TestRequest, TestResponse, get};
use crate::support::replica::{Replica, Script};
use crate::support::{Fleet, configuration, wait_until};
use luglink_metrics_server::MetricsLimits;
use luglink_net::ConnectionMetrics;
use std::net::SocketAddr;

/// Returns the value of a metric, or 0 if it is missing. `series` is its name with its labels.
pub(crate) fn value(text: &str, series: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(series));
    let number = line.and_then(|rest| rest.trim().parse().ok());
    number.unwrap_or(0.0)
}

pub(crate) async fn metrics(address: Option<SocketAddr>) -> TestResponse {
    get(address.unwrap(), "/metrics").await
}

async fn sum(addresses: impl Iterator<Item = Option<SocketAddr>>, series: &str) -> f64 {
    let mut sum = 0.0;
    for address in addresses {
        sum += value(&metrics(address).await.body, series);
    }
    sum
}

#[actix_rt::test]
async fn gateways_stores_and_members_export_metrics() {
    let replica = Replica::start("r0", Script::Stream).await;
    let fleet = Fleet::start(vec![replica.clone()]).await;
    fleet.configure(&configuration(7)).await;
    let turn = TestRequest::post("/kept/x", "t1", "input")
        .with("luglink-program", "program")
        .with("luglink-token-usage", "100,50")
        .with("luglink-token-budget", "500");
    assert_eq!(turn.send(fleet.gateway_address).await.status, 200);
    let resolution = || get(fleet.resolution_address, "/v1/gateways");
    wait_until("the gateway is resolved for callers", || async {
        resolution().await.status == 200
    })
    .await;

    let gateway = metrics(fleet.gateway.metrics_address).await;
    assert_eq!(gateway.status, 200);
    assert!(
        gateway
            .header("content-type")
            .unwrap()
            .starts_with("text/plain")
    );
    let of_gateway = |series: &str| value(&gateway.body, series);
    assert_eq!(of_gateway("luglink_answers_total{status=\"200\"}"), 1.0);
    assert_eq!(of_gateway("luglink_streams_total{end=\"complete\"}"), 1.0);
    assert_eq!(of_gateway("luglink_keep_seconds_count"), 1.0);
    assert_eq!(of_gateway("luglink_configuration_version"), 7.0);

    let stores = || {
        fleet
            .storage
            .stores
            .iter()
            .map(|store| store.metrics_address)
    };
    let spends = sum(stores(), "luglink_store_requests_total{kind=\"spend\"}").await;
    assert!(spends >= 2.0, "{spends}");
    wait_until("the stores report the stored turn", || async {
        sum(stores(), "luglink_store_turns").await >= 2.0
    })
    .await;

    let members = || {
        fleet
            .storage
            .members
            .iter()
            .map(|member| member.metrics_address)
    };
    let taken = "luglink_operator_calls_total{status=\"200\"}";
    assert!(sum(members(), taken).await >= 1.0);
    let answered = "luglink_resolutions_total{status=\"200\"}";
    assert!(sum(members(), answered).await >= 1.0);
    wait_until("exactly one member reports that it leads", || async {
        sum(members(), "luglink_member_leads").await == 1.0
    })
    .await;
}

fn limits(registry: &luglink_telemetry::Metrics) -> MetricsLimits {
    MetricsLimits {
        max_connections: 10,
        connections: ConnectionMetrics::register(registry).unwrap(),
    }
}

#[actix_rt::test]
async fn a_metrics_port_in_use_is_not_an_error() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let registry = luglink_telemetry::Metrics::new();
    assert_eq!(
        luglink_metrics_server::start(Some(address), &registry, limits(&registry)).await,
        None
    );
}

#[actix_rt::test]
async fn metrics_are_served_on_one_path_only() {
    let registry = luglink_telemetry::Metrics::new();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = luglink_metrics_server::start(Some(any), &registry, limits(&registry)).await;
    assert_eq!(metrics(address).await.status, 200);
    assert_eq!(get(address.unwrap(), "/").await.status, 404);
}
