//! Serves a process's metrics over HTTP, in Prometheus' text format.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use luglink_http::{Abort, Body, ServeOptions, empty_body, full_body, serve, stop_channel};
use luglink_telemetry::Metrics;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The path under which the metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// Prometheus' text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Longest head of a request, in bytes.
const MAX_HEADER_BYTES: usize = 8 << 10;

/// Longest rest of a connection. Collectors ask every few seconds.
const CONNECTION_IDLE: Duration = Duration::from_secs(60);

/// Serves `metrics` at `address`, when there is one, on the current actix thread, for ever.
/// Returns the address that was bound, or `None` when it cannot be had: a process must serve its
/// callers also when something else has taken the port of its metrics.
pub async fn start(address: Option<SocketAddr>, metrics: &Metrics) -> Option<SocketAddr> {
    let address = address?;
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%address, %error, "the metrics cannot be served");
            return None;
        }
    };
    let bound = listener.local_addr().ok();
    let metrics = metrics.clone();
    let handler = Rc::new(move |request: Request<Incoming>| {
        let response = answer(&metrics, &request);
        async move { Ok::<_, Abort>(response) }
    });
    let (_, signal) = stop_channel();
    actix_rt::spawn(serve(listener, options, signal, handler));
    bound
}

fn options() -> ServeOptions {
    ServeOptions {
        max_header_bytes: MAX_HEADER_BYTES,
        idle_timeout: CONNECTION_IDLE,
        write_stall_timeout: None,
    }
}

fn answer(metrics: &Metrics, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != METRICS_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    match metrics.render() {
        Ok(text) => {
            let mut response = Response::new(full_body(text));
            let format = HeaderValue::from_static(TEXT_FORMAT);
            response.headers_mut().insert(header::CONTENT_TYPE, format);
            response
        }
        Err(error) => {
            tracing::error!(%error, "the metrics cannot be written");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}
