//! A single send of a request to a replica, up to the head of the response.

use crate::failure::Failure;
use crate::gateway::Gateway;
use crate::inbound::{InboundRequest, header_text, strip_hop_by_hop};
use crate::placement;
use crate::request_steps::RequestStep;
use crate::run::Run;
use crate::upstream::{AcquireError, Lease};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, Uri, header};
use hyper::body::Incoming;
use luglink_edge::SendOutcome;
use luglink_fleet::{Backend, BackendId, Incarnation};
use luglink_http::{Body, SendError, full_body};
use luglink_telemetry::milliseconds;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Fraction of a replica's connection limit that all gateways share. The rest is a margin for
/// gateways that know of fewer gateways than exist.
const CONNECTION_RATIO: f64 = 0.85;

/// Lower bound of one gateway's connection limit per replica.
const MIN_CONNECTIONS: u32 = 2;

/// Minimum timeout for acquiring a connection, after which another replica is tried. The timeout
/// is an eighth of the request's remaining time if that is longer, and never exceeds the remaining
/// time.
const MIN_CONNECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of connections tried when reused ones turn out to be closed.
const MAX_CONNECTION_ATTEMPTS: u32 = 4;

/// Interval at which a replica that has not sent the response head is reported to the pool as
/// stalled. A healthy replica sends the head with the first token at the latest, within tens of
/// milliseconds.
const STALL_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of stall reports per send on one connection.
const MAX_STALL_REPORTS: u32 = 4;

/// Guard that counts a request as in flight at a replica until the guard is dropped.
pub(crate) struct ReplicaGuard {
    gateway: Rc<Gateway>,
    id: BackendId,
}

impl ReplicaGuard {
    pub(crate) fn begin(gateway: &Rc<Gateway>, id: &BackendId) -> Self {
        gateway.pool.borrow_mut().begin(id);
        Self {
            gateway: Rc::clone(gateway),
            id: id.clone(),
        }
    }
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        self.gateway.pool.borrow_mut().end(&self.id);
    }
}

/// Response of a replica whose head has arrived and whose body has not been read.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
    pub(crate) backend: Backend,
    pub(crate) replica_guard: ReplicaGuard,
    pub(crate) run: Run,
}

/// Differences between the request that is sent and the caller's request.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendOverrides {
    /// Body to send in place of the caller's.
    pub(crate) body: Option<Bytes>,
    /// Identifier of the last event passed on to the caller, after which the replica resumes.
    pub(crate) last_event_id: Option<String>,
}

/// Sends a request to a replica and waits for the head of its response.
pub(crate) async fn send(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    backend: &Backend,
    overrides: &SendOverrides,
) -> Result<Answer, Failure> {
    let run = begin_run(gateway, inbound, backend, overrides).await?;
    send_run(gateway, inbound, backend, overrides, run).await
}

/// Begins the run of a request at a replica, unless the request continues a stream and the replica has
/// restarted since the list was read.
pub(crate) async fn begin_run(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    backend: &Backend,
    overrides: &SendOverrides,
) -> Result<Run, Failure> {
    inbound.watch.steps.enter(RequestStep::RunBegin);
    if is_continuation(gateway, inbound, overrides) && has_restarted(gateway, backend).await {
        return Err(Failure::Restarted);
    }
    Run::begin(gateway, inbound, backend).await
}

/// Returns true if the replica is to go on with a stream that another request began.
fn is_continuation(gateway: &Gateway, inbound: &InboundRequest, overrides: &SendOverrides) -> bool {
    let name = &gateway.dialect.headers().last_event_id;
    let is_resumed_by_caller = header_text(&inbound.head.headers, name).is_some();
    inbound.route.resumable && (overrides.last_event_id.is_some() || is_resumed_by_caller)
}

/// Returns true if a replica's own report shows another process than the list, which shows restarts
/// late.
async fn has_restarted(gateway: &Gateway, backend: &Backend) -> bool {
    if backend.incarnation == Incarnation::UNKNOWN {
        return false;
    }
    let reported = placement::query_incarnation(gateway, backend).await;
    reported.is_some_and(|reported| reported != backend.incarnation)
}

/// Sends a request for a run that has begun.
pub(crate) async fn send_run(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    backend: &Backend,
    overrides: &SendOverrides,
    run: Run,
) -> Result<Answer, Failure> {
    let replica_guard = ReplicaGuard::begin(gateway, &backend.id);
    inbound.watch.note_sent(&backend.id);
    let sent_at = Instant::now();
    let result = send_with_reconnect(gateway, inbound, backend, overrides, &run).await;
    let end = match &result {
        Ok(_) => "answered",
        Err(failure) => failure.as_str(),
    };
    gateway.metrics.sends.with_label_values(&[end]).inc();
    let (response, lease) = match result {
        Ok(answered) => answered,
        Err(failure) => {
            note_failure(gateway, backend, failure);
            run.failed(failure, inbound).await;
            return Err(failure);
        }
    };
    gateway.note_responding(&backend.id, lease.opened_at, sent_at);
    Ok(Answer {
        response,
        lease,
        backend: backend.clone(),
        replica_guard,
        run,
    })
}

fn note_failure(gateway: &Gateway, backend: &Backend, failure: Failure) {
    // A replica without capacity is healthy; only this request skips it.
    let was_withheld = failure == Failure::CrashLimit;
    if was_withheld || failure.is_full() || failure.outcome() == SendOutcome::Declined {
        return;
    }
    if gateway.pool.borrow().has_restarted(backend) {
        let reason = failure.as_str();
        tracing::info!(
            replica = %backend.id,
            reason,
            "send failed at a replica that has restarted since"
        );
        return;
    }
    let until = gateway.pool.borrow_mut().failed(&backend.id, gateway.now());
    tracing::warn!(
        replica = %backend.id,
        reason = failure.as_str(),
        started_ms = backend.incarnation.0,
        is_replica_connected = gateway.upstream.has_open_since(&backend.id, Instant::now()),
        paused_ms = until.map(|until| milliseconds(until.since(gateway.now()))),
        "replica marked as failed"
    );
}

async fn send_with_reconnect(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    backend: &Backend,
    overrides: &SendOverrides,
    run: &Run,
) -> Result<(Response<Incoming>, Lease), Failure> {
    let limit = connection_limit(gateway, &inbound.service);
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let remaining = inbound.remaining();
        let acquired = gateway
            .upstream
            .acquire(
                backend,
                Some(&inbound.id),
                limit,
                remaining.min(MIN_CONNECTION_TIMEOUT.max(remaining / 8)),
            )
            .await;
        let mut lease = acquired.map_err(|error| {
            if error.is_refused() {
                gateway.note_ended(&backend.id);
            }
            unreachable(&error)
        })?;
        let was_reused = lease.is_reused;
        if !was_reused {
            run.wait_for_closes().await;
        }
        if !run.may_be_sent().await {
            return Err(Failure::CrashLimit);
        }
        // Built last, since the time that is left to the replica is worked out with it.
        let work_time = inbound.remaining();
        let request = build_request(gateway, inbound, backend, overrides, work_time)?;
        let stall_reports = report_stalls(gateway, backend, run);
        run.note_sent(work_time);
        let sending = send_on_connection(&mut lease, inbound, request, run);
        match with_stall_reports(sending, stall_reports).await {
            Ok(response) => return validate_head(gateway, inbound, response, lease),
            Err(failure) if failure.outcome() == SendOutcome::NotSent && was_reused => {}
            Err(failure) => return Err(failure),
        }
    }
    Err(Failure::ConnectionsClosed)
}

/// Waits for `sending` while `stall_reports` runs concurrently.
async fn with_stall_reports<Answered>(
    sending: impl Future<Output = Answered>,
    stall_reports: impl Future<Output = ()>,
) -> Answered {
    tokio::pin!(sending, stall_reports);
    tokio::select! {
        biased;
        answered = &mut sending => answered,
        () = &mut stall_reports => sending.await,
    }
}

/// Reports a stalled replica to the pool at every [`STALL_REPORT_INTERVAL`] without a response
/// head, so that other requests avoid it long before this one reaches its deadline.
async fn report_stalls(gateway: &Gateway, backend: &Backend, run: &Run) {
    for _ in 0..MAX_STALL_REPORTS {
        actix_rt::time::sleep(STALL_REPORT_INTERVAL).await;
        run.note_stalled();
        if gateway.pool.borrow().has_restarted(backend) {
            return;
        }
        let now = gateway.now();
        gateway.pool.borrow_mut().note_failure(&backend.id, now);
    }
}

fn unreachable(error: &AcquireError) -> Failure {
    match error {
        AcquireError::Unreachable { source } => {
            tracing::debug!(error = %source, "connecting to a replica failed");
            Failure::Unreachable
        }
        AcquireError::LimitReached => Failure::NoFreeConnection,
    }
}

/// Returns the number of connections that this gateway may open to one replica of a service.
pub(crate) fn connection_limit(gateway: &Gateway, service: &str) -> u32 {
    let limit = gateway.with_service(service, |service| service.connection_limit);
    let limit = limit.unwrap_or(MIN_CONNECTIONS);
    let share = f64::from(limit) * CONNECTION_RATIO / f64::from(gateway.gateway_count.get().max(1));
    (share as u32).max(MIN_CONNECTIONS)
}

async fn send_on_connection(
    lease: &mut Lease,
    inbound: &InboundRequest,
    request: Request<Body>,
    run: &Run,
) -> Result<Response<Incoming>, Failure> {
    let Some(connection) = lease.connection() else {
        return Err(Failure::ConnectionClosed);
    };
    let sending = connection.send(request);
    match actix_rt::time::timeout(inbound.remaining(), sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(SendError::NotSent { .. })) => Err(Failure::ConnectionClosed),
        Ok(Err(SendError::Broken { source })) => {
            tracing::debug!(
                id = inbound.id,
                error = %source,
                "connection broke after the request was sent"
            );
            run.note_break(&source);
            Err(Failure::Broken)
        }
        Err(_) => Err(Failure::NoAnswerInTime),
    }
}

/// Statuses of final responses. Others are not responses, whatever else their heads say; nor is 101, since
/// no request asks for another protocol.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Rejects a response that has an impossible status, declines the request, names another request or
/// none, is a success without a signature, or has a content encoding. The connection of a rejected
/// response is reused only if the request was declined.
fn validate_head(
    gateway: &Gateway,
    inbound: &InboundRequest,
    response: Response<Incoming>,
    lease: Lease,
) -> Result<(Response<Incoming>, Lease), Failure> {
    let names = gateway.dialect.headers();
    let headers = response.headers();
    if !FINAL_STATUSES.contains(&response.status().as_u16()) {
        return Err(Failure::ImpossibleStatus);
    }
    let echoed = headers
        .get(&names.request_id)
        .and_then(|value| value.to_str().ok());
    let declined = headers.contains_key(&names.not_executed)
        || response.status() == http::StatusCode::MISDIRECTED_REQUEST;
    if echoed.is_some_and(|echoed| echoed != inbound.id) {
        return Err(Failure::ForeignAnswer);
    }
    if declined {
        lease.give_back(response.headers());
        return Err(match response.status() {
            http::StatusCode::MISDIRECTED_REQUEST => Failure::Misdirected,
            _ => Failure::Declined,
        });
    }
    if echoed.is_none() {
        return Err(Failure::UnnamedAnswer);
    }
    let success = response.status().is_success();
    if success && !headers.contains_key(&names.signature) {
        return Err(Failure::UnsignedAnswer);
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(Failure::EncodedAnswer);
    }
    Ok((response, lease))
}

fn build_request(
    gateway: &Gateway,
    inbound: &InboundRequest,
    backend: &Backend,
    overrides: &SendOverrides,
    work_time: Duration,
) -> Result<Request<Body>, Failure> {
    let body = overrides
        .body
        .clone()
        .unwrap_or_else(|| inbound.body.clone());
    let mut request = Request::new(full_body(body.clone()));
    *request.method_mut() = inbound.head.method.clone();
    let target = inbound
        .head
        .uri
        .path_and_query()
        .ok_or(Failure::Unsendable)?;
    *request.uri_mut() = Uri::from(target.clone());
    let names = gateway.dialect.headers();
    let headers = request.headers_mut();
    *headers = inbound.head.headers.clone();
    strip_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if !body.is_empty() || inbound.head.headers.contains_key(header::CONTENT_LENGTH) {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    // Rounded down, so that the replica stops no later than the caller.
    let left = milliseconds(work_time);
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left.max(1)));
    set_header(headers, &names.expected_replica, &backend.id.0).ok_or(Failure::Unsendable)?;
    if let Some(tenant) = inbound.caller.tenant() {
        set_header(headers, &names.tenant, tenant.name.as_str()).ok_or(Failure::Unsendable)?;
    }
    let priority = u64::from(inbound.caller.priority(&inbound.route).min(9));
    headers.insert(names.priority.clone(), HeaderValue::from(priority));
    if let Some(last) = &overrides.last_event_id {
        set_header(headers, &names.last_event_id, last).ok_or(Failure::Unsendable)?;
    }
    Ok(request)
}

fn set_header(headers: &mut http::HeaderMap, name: &HeaderName, value: &str) -> Option<()> {
    headers.insert(name.clone(), HeaderValue::from_str(value).ok()?);
    Some(())
}
