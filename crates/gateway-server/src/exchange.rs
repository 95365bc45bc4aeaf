//! One request sent to one replica.

use crate::failure::Failure;
use crate::gateway::Gateway;
use crate::inbound::{InboundRequest, strip_hop_by_hop};
use crate::upstream::{AcquireError, Lease};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, Uri, header};
use hyper::body::Incoming;
use luglink_edge::SendOutcome;
use luglink_fleet::{Backend, BackendId};
use luglink_http::{Body, SendError, full_body};
use luglink_telemetry::milliseconds;
use std::rc::Rc;
use std::time::Duration;

/// Share of a replica's connections that gateways use together. The rest is for those that
/// count fewer gateways than there are.
const CONNECTION_SHARE: f64 = 0.85;

/// Fewest connections to a replica that a gateway may have.
const MIN_CONNECTIONS: u32 = 2;

/// Longest wait for a free connection to one replica, before another one is tried.
const CONNECTION_PATIENCE: Duration = Duration::from_millis(50);

/// Times that a request is sent anew because a kept connection was closed before it.
const MAX_REUSES: u32 = 4;

/// Wait for the head of an answer after which, and between which, a replica is suspected. Heads
/// come at the first token at the latest, within tens of milliseconds on a replica that is well.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(500);

/// Times that one request makes its replica suspected at the most.
const MAX_SUSPICIONS: u32 = 4;

/// Counts a request at a replica while it is there.
pub(crate) struct AtReplica {
    gateway: Rc<Gateway>,
    id: BackendId,
}

impl AtReplica {
    pub(crate) fn begin(gateway: &Rc<Gateway>, id: &BackendId) -> Self {
        gateway.pool.borrow_mut().begin(id);
        Self {
            gateway: Rc::clone(gateway),
            id: id.clone(),
        }
    }
}

impl Drop for AtReplica {
    fn drop(&mut self) {
        self.gateway.pool.borrow_mut().end(&self.id);
    }
}

/// An answer whose head has arrived.
pub(crate) struct Answer {
    pub(crate) response: Response<Incoming>,
    pub(crate) lease: Lease,
    pub(crate) backend: Backend,
    pub(crate) at_replica: AtReplica,
}

/// What is sent besides the caller's request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Extra {
    /// Body in place of the caller's.
    pub(crate) body: Option<Bytes>,
    /// Last event that the caller has.
    pub(crate) last_event_id: Option<String>,
}

/// Sends a request to a replica and waits for the head of its answer.
pub(crate) async fn send(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
    backend: &Backend,
    extra: &Extra,
) -> Result<Answer, Failure> {
    let at_replica = AtReplica::begin(gateway, &backend.id);
    inbound.watch.note_sent(&backend.id);
    let result = send_on_some_connection(gateway, inbound, backend, extra).await;
    let end = match &result {
        Ok(_) => "answered",
        Err(failure) => failure.as_str(),
    };
    gateway.metrics.sends.with_label_values(&[end]).inc();
    let (response, lease) =
        result.inspect_err(|failure| note_failure(gateway, backend, *failure))?;
    Ok(Answer {
        response,
        lease,
        backend: backend.clone(),
        at_replica,
    })
}

fn note_failure(gateway: &Gateway, backend: &Backend, failure: Failure) {
    // A full replica is not a broken one; it is only passed over by this request.
    if failure.is_full() || failure.outcome() == SendOutcome::Declined {
        return;
    }
    if gateway.pool.borrow().has_restarted(backend) {
        let reason = failure.as_str();
        tracing::info!(replica = %backend.id, reason, "an earlier life of a replica failed");
        return;
    }
    let until = gateway.pool.borrow_mut().failed(&backend.id, gateway.now());
    tracing::warn!(
        replica = %backend.id,
        reason = failure.as_str(),
        paused_ms = until.map(|until| milliseconds(until.since(gateway.now()))),
        "a replica failed"
    );
}

async fn send_on_some_connection(
    gateway: &Gateway,
    inbound: &InboundRequest,
    backend: &Backend,
    extra: &Extra,
) -> Result<(Response<Incoming>, Lease), Failure> {
    let limit = connection_limit(gateway, &inbound.service);
    for _ in 0..MAX_REUSES {
        let patience = inbound.remaining();
        let acquired = gateway
            .upstream
            .acquire(
                backend,
                limit,
                patience.min(CONNECTION_PATIENCE.max(patience / 8)),
            )
            .await;
        let mut lease = acquired.map_err(|error| unreachable(&error))?;
        let request = outgoing(gateway, inbound, backend, extra)?;
        let was_reused = lease.is_reused;
        let suspecting = suspect(gateway, backend);
        let sending = send_on(&mut lease, inbound, request);
        match unless_stuck(sending, suspecting).await {
            Ok(response) => return judge_head(gateway, inbound, response, lease),
            Err(failure) if failure.outcome() == SendOutcome::NotSent && was_reused => {}
            Err(failure) => return Err(failure),
        }
    }
    Err(Failure::ConnectionsClosed)
}

/// Waits for an answer. Once that takes much too long, `suspecting` runs beside it.
async fn unless_stuck<Answered>(
    sending: impl Future<Output = Answered>,
    suspecting: impl Future<Output = ()>,
) -> Answered {
    tokio::pin!(sending, suspecting);
    tokio::select! {
        biased;
        answered = &mut sending => answered,
        () = &mut suspecting => sending.await,
    }
}

/// Notes again and again that a replica keeps a request, so that others go elsewhere long before
/// this one's time is over.
async fn suspect(gateway: &Gateway, backend: &Backend) {
    for _ in 0..MAX_SUSPICIONS {
        actix_rt::time::sleep(SUSPICION_INTERVAL).await;
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
            tracing::debug!(error = %source, "a replica cannot be reached");
            Failure::Unreachable
        }
        AcquireError::Busy => Failure::NoFreeConnection,
    }
}

/// Connections to one replica of a service that this gateway may have.
pub(crate) fn connection_limit(gateway: &Gateway, service: &str) -> u32 {
    let limit = gateway.with_service(service, |service| service.connection_limit);
    let limit = limit.unwrap_or(MIN_CONNECTIONS);
    let share = f64::from(limit) * CONNECTION_SHARE / f64::from(gateway.gateway_count.get().max(1));
    (share as u32).max(MIN_CONNECTIONS)
}

async fn send_on(
    lease: &mut Lease,
    inbound: &InboundRequest,
    request: Request<Body>,
) -> Result<Response<Incoming>, Failure> {
    let Some(connection) = lease.connection() else {
        return Err(Failure::ConnectionClosed);
    };
    let sending = connection.send(request);
    match actix_rt::time::timeout(inbound.remaining(), sending).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(SendError::NotSent { .. })) => Err(Failure::ConnectionClosed),
        Ok(Err(SendError::Broken { source })) => {
            tracing::debug!(id = inbound.id, error = %source, "a send broke");
            Err(Failure::Broken)
        }
        Err(_) => Err(Failure::NoAnswerInTime),
    }
}

/// Refuses an answer that is not this request's. The connection it came on is not used again.
fn judge_head(
    gateway: &Gateway,
    inbound: &InboundRequest,
    response: Response<Incoming>,
    lease: Lease,
) -> Result<(Response<Incoming>, Lease), Failure> {
    let names = gateway.dialect.headers();
    let headers = response.headers();
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

fn outgoing(
    gateway: &Gateway,
    inbound: &InboundRequest,
    backend: &Backend,
    extra: &Extra,
) -> Result<Request<Body>, Failure> {
    let body = extra.body.clone().unwrap_or_else(|| inbound.body.clone());
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
    // Rounded down: a replica must not go on beyond what the caller waits.
    let left = milliseconds(inbound.remaining());
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left.max(1)));
    set(headers, &names.expected_replica, &backend.id.0).ok_or(Failure::Unsendable)?;
    if let Some(tenant) = inbound.caller.tenant() {
        set(headers, &names.tenant, tenant.name.as_str()).ok_or(Failure::Unsendable)?;
    }
    let urgency = u64::from(inbound.caller.priority(&inbound.route).min(9));
    headers.insert(names.priority.clone(), HeaderValue::from(urgency));
    if let Some(last) = &extra.last_event_id {
        set(headers, &names.last_event_id, last).ok_or(Failure::Unsendable)?;
    }
    Ok(request)
}

fn set(headers: &mut http::HeaderMap, name: &HeaderName, value: &str) -> Option<()> {
    headers.insert(name.clone(), HeaderValue::from_str(value).ok()?);
    Some(())
}
