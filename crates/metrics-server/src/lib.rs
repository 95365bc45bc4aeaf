//! HTTP endpoint for the metrics of a process, in Prometheus' text format.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use http::{HeaderValue, Request, Response, StatusCode, header};
use luglink_http::{
    Abort, Body, RequestBody, ServeOptions, empty_body, full_body, serve, stop_channel,
};
use luglink_limits::ListenerKind;
use luglink_net::{ConnectionMetrics, Connections};
use luglink_telemetry::Metrics;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Media type of Prometheus' text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Maximum size of a request's header, in bytes.
const MAX_HEADER_BYTES: usize = 8 << 10;

/// Idle timeout of a connection. Collectors send requests every few seconds.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after which a connection is aborted whose peer reads nothing of the pending data.
const UNREAD_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on the collectors of metrics.
#[derive(Clone, Debug)]
pub struct MetricsLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Metrics of connections closed at the limit.
    pub connections: ConnectionMetrics,
}

/// Starts a server for `metrics` at `address`, if there is one, on the current actix thread. It runs
/// until the process exits. Returns the bound address, or `None` if binding fails: a process must
/// serve its callers even if another process uses the port of its metrics.
pub async fn start(
    address: Option<SocketAddr>,
    metrics: &Metrics,
    limits: MetricsLimits,
) -> Option<SocketAddr> {
    let address = address?;
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%address, %error, "cannot bind the address of the metrics server");
            return None;
        }
    };
    let bound_address = listener.local_addr().ok();
    let metrics = metrics.clone();
    let handler = Rc::new(move |request: Request<RequestBody>| {
        let response = respond(&metrics, &request);
        async move { Ok::<_, Abort>(response) }
    });
    let (_, signal) = stop_channel();
    let connections = Connections::new(ListenerKind::Metrics, &limits.connections);
    let options = move || options(limits.max_connections);
    actix_rt::spawn(serve(listener, connections, options, signal, handler));
    bound_address
}

fn options(max_connections: usize) -> ServeOptions {
    ServeOptions {
        max_connections,
        max_header_bytes: MAX_HEADER_BYTES,
        idle_timeout: CONNECTION_IDLE_TIMEOUT,
        write_stall_timeout: Some(UNREAD_CONNECTION_TIMEOUT),
    }
}

fn respond(metrics: &Metrics, request: &Request<RequestBody>) -> Response<Body> {
    if request.uri().path() != METRICS_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    match metrics.render() {
        Ok(text) => {
            let mut response = Response::new(full_body(text));
            let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(error) => {
            tracing::error!(%error, "cannot encode the metrics");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
