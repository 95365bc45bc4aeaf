//! Startup and planned stop of a gateway.

use crate::config::GatewayConfig;
use crate::errors::{GatewayError, ListenSnafu};
use crate::gateway::Gateway;
use crate::metrics::GatewayMetrics;
use crate::refusal::Refusal;
use crate::{crash_reports, list, load_view, proxy};
use http::{Request, Response, StatusCode};
use luglink_edge::{Dialect, Limits};
use luglink_fleet_client::Observer;
use luglink_http::{
    Abort, Body, RequestBody, ServeOptions, StopHandle, StopSignal, empty_body, serve, stop_channel,
};
use luglink_limits::ListenerKind;
use luglink_metrics_server::MetricsLimits;
use luglink_net::Connections;
use luglink_telemetry::milliseconds;
use rand::RngCore;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Time for which a stopping gateway keeps idle connections open. Each response asks callers to close
/// theirs, and a request that crosses the close of an idle connection is lost.
const STOP_GRACE_PERIOD: Duration = Duration::from_millis(1_000);

/// Part of the stop timeout within which no response is begun any more, so that each is complete and
/// sent when the process exits.
const RESPONSE_RESERVE: Duration = Duration::from_millis(300);

/// Part of the stop timeout in which no connections are accepted any more. Callers that were given the
/// gateway's address earlier are served until then, and reach another gateway at once afterwards.
const ACCEPT_RESERVE: Duration = Duration::from_millis(1_000);

/// Time after which a connection is aborted if its caller reads nothing of the pending data.
/// Streams are aborted earlier and for a reason of their own; this limit frees the data that their
/// connections still buffer. It also frees unread non-streaming answers.
const UNREAD_CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which a stopping gateway checks for remaining requests and connections.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Idle timeout of connections for readiness checks, including the time to receive a request head.
const READINESS_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A running gateway.
pub struct GatewayServer {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for metrics; `None` if they are not served.
    pub metrics_address: Option<SocketAddr>,
    gateway: Rc<Gateway>,
    stop_handle: StopHandle,
    signal: StopSignal,
    observer: Rc<Observer<Gateway>>,
}

/// Starts a gateway on the current actix thread.
///
/// # Errors
/// A listen address cannot be bound, or the metrics cannot be registered.
pub async fn start(
    config: GatewayConfig,
    dialect: Rc<dyn Dialect>,
) -> Result<GatewayServer, GatewayError> {
    let callers = bind(config.listen).await?;
    let readiness = bind(config.ready_listen).await?;
    let address = callers.local_addr().context(ListenSnafu {
        address: config.listen,
    })?;
    let metrics = GatewayMetrics::new()?;
    let collectors = MetricsLimits {
        max_connections: config.machine.connections(ListenerKind::Metrics),
        connections: metrics.connections.clone(),
    };
    let metrics_address =
        luglink_metrics_server::start(config.metrics_listen, &metrics.registry, collectors).await;
    let seed = rand::rng().next_u64();
    tracing::info!(name = config.name, zone = config.zone, %address, "gateway started");
    let gateway = Rc::new(Gateway::new(config, dialect, metrics, seed));
    let (stop_handle, signal) = stop_channel();
    serve_callers(&gateway, callers, signal.clone());
    serve_readiness(&gateway, readiness);
    actix_rt::spawn(list::keep_current(Rc::clone(&gateway)));
    actix_rt::spawn(load_view::watch(Rc::clone(&gateway)));
    actix_rt::spawn(crash_reports::follow(Rc::clone(&gateway)));
    let observer = Observer::start(Rc::clone(&gateway), gateway.config.observer.clone());
    Ok(GatewayServer {
        address,
        metrics_address,
        gateway,
        stop_handle,
        signal,
        observer,
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn serve_callers(gateway: &Rc<Gateway>, listener: TcpListener, signal: StopSignal) {
    let options = {
        let gateway = Rc::clone(gateway);
        let features = gateway.config.features;
        let max_connections = gateway.config.machine.connections(ListenerKind::Callers);
        move || {
            let limits = gateway
                .in_force()
                .map_or(Limits::default(), |in_force| in_force.configuration.limits);
            ServeOptions {
                max_connections,
                max_header_bytes: limits.max_header_bytes,
                // The HTTP library counts the idle time and the time to receive a head together.
                idle_timeout: Duration::from_millis(
                    limits.idle_timeout_ms + limits.header_timeout_ms,
                ),
                write_stall_timeout: features.held_bytes().then_some(UNREAD_CONNECTION_TIMEOUT),
            }
        }
    };
    let handler = {
        let gateway = Rc::clone(gateway);
        Rc::new(move |request| proxy::handle(Rc::clone(&gateway), request))
    };
    let connections = Connections::new(ListenerKind::Callers, &gateway.metrics.connections);
    actix_rt::spawn(serve(listener, connections, options, signal, handler));
}

fn readiness_options(max_connections: usize) -> ServeOptions {
    ServeOptions {
        max_connections,
        max_header_bytes: 16 << 10,
        idle_timeout: READINESS_IDLE_TIMEOUT,
        write_stall_timeout: Some(UNREAD_CONNECTION_TIMEOUT),
    }
}

fn serve_readiness(gateway: &Rc<Gateway>, listener: TcpListener) {
    let gateway = Rc::clone(gateway);
    let connections = Connections::new(ListenerKind::Readiness, &gateway.metrics.connections);
    let max_connections = gateway.config.machine.connections(ListenerKind::Readiness);
    let options = move || readiness_options(max_connections);
    let handler = Rc::new(move |request: Request<RequestBody>| {
        let gateway = Rc::clone(&gateway);
        async move { Ok::<_, Abort>(readiness_response(&gateway, &request)) }
    });
    let (_, signal) = stop_channel();
    actix_rt::spawn(serve(listener, connections, options, signal, handler));
}

fn readiness_response(gateway: &Gateway, request: &Request<RequestBody>) -> Response<Body> {
    if !gateway.dialect.is_readiness(request.uri().path()) {
        let refusal = Refusal::new(StatusCode::NOT_FOUND, "no such readiness check");
        return refusal.into_response(&*gateway.dialect);
    }
    let mut response = Response::new(empty_body());
    if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

impl GatewayServer {
    /// Adds control members to observe, for example after the settings have changed.
    pub fn add_members(&self, members: &[SocketAddr]) {
        self.observer.add(members);
    }

    /// Waits until callers have left and the requests in flight have ended, and refuses requests that
    /// cannot end in time. Returns true if no caller was left.
    pub async fn stop(&self) -> bool {
        let started_at = Instant::now();
        let stop_timeout = self.gateway.config.stop_timeout;
        let stops_at = started_at + stop_timeout.saturating_sub(RESPONSE_RESERVE);
        self.gateway.stops_at.set(Some(stops_at));
        tracing::info!(
            in_flight = self.gateway.in_flight.get(),
            connections = self.signal.open_connections(),
            "gateway stopping"
        );
        actix_rt::time::sleep(STOP_GRACE_PERIOD).await;
        self.stop_handle.drain();
        let accepts_for = stop_timeout.saturating_sub(ACCEPT_RESERVE);
        while started_at.elapsed() < stop_timeout {
            if started_at.elapsed() >= accepts_for {
                self.stop_handle.close();
            }
            if self.gateway.in_flight.get() == 0 && self.signal.open_connections() == 0 {
                tracing::info!(ms = milliseconds(started_at.elapsed()), "gateway stopped");
                return true;
            }
            actix_rt::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        tracing::warn!(
            in_flight = self.gateway.in_flight.get(),
            "gateway stopped with requests in flight"
        );
        false
    }
}
