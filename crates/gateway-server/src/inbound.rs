//! A caller's request, read whole.

use crate::caller_watch::CallerWatch;
use crate::gateway::{ActiveConfiguration, Gateway};
use crate::held::Held;
use crate::refusal::Refusal;
use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use luglink_edge::{Caller, KeyError, Route, RouteKind};
use luglink_scheduling::PromptParts;
use luglink_turns::{ProgramName, TurnId};
use luglink_types::TenantName;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// The program that a request belongs to.
#[derive(Clone, Debug)]
pub(crate) struct ProgramFields {
    pub(crate) name: ProgramName,
    /// Tokens that all its turns may generate together.
    pub(crate) budget: Option<u64>,
    /// The most that this turn may generate.
    pub(crate) ceiling: u64,
    /// The turn that it goes on from.
    pub(crate) previous: Option<TurnId>,
}

/// A request, read whole.
#[derive(Debug)]
pub(crate) struct InboundRequest {
    pub(crate) id: String,
    pub(crate) route: Rc<Route>,
    /// For whom it comes.
    pub(crate) caller: Caller,
    /// Service that gets it.
    pub(crate) service: String,
    pub(crate) version: u64,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    /// The memory that it takes.
    pub(crate) held: Held,
    pub(crate) program: Option<ProgramFields>,
    /// When its program should be over.
    pub(crate) program_deadline: Option<Instant>,
    /// Notes a caller that leaves early.
    pub(crate) watch: Rc<CallerWatch>,
    /// What its caller says of its prompt.
    pub(crate) prompt: Option<PromptParts>,
    pub(crate) arrived: Instant,
    /// When nobody wants an answer any more.
    pub(crate) deadline: Instant,
    /// Differs between requests; the same for all requests of a program.
    pub(crate) affinity_hash: u64,
}

impl InboundRequest {
    /// Time that remains.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The turn that it brings.
    pub(crate) fn turn(&self) -> TurnId {
        TurnId::of(tenant_name(&self.caller), &self.id)
    }
}

fn tenant_name(caller: &Caller) -> Option<&TenantName> {
    caller.tenant().map(|tenant| &tenant.name)
}

/// Removes headers that concern one connection only, those named by `Connection` included.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .into_iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// The text of a header, when it has one that can be read.
pub(crate) fn text<'headers>(
    headers: &'headers HeaderMap,
    name: &HeaderName,
) -> Option<&'headers str> {
    headers.get(name)?.to_str().ok()
}

/// The number that a header holds.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Reads a request and finds its route.
pub(crate) async fn read(
    gateway: &Gateway,
    in_force: &ActiveConfiguration,
    request: Request<Incoming>,
) -> Result<InboundRequest, Refusal> {
    let arrived = Instant::now();
    let (mut head, incoming) = request.into_parts();
    let headers = gateway.dialect.headers();
    let id = text(&head.headers, &headers.request_id)
        .ok_or(Refusal::new(
            StatusCode::BAD_REQUEST,
            "the request has no identifier",
        ))?
        .to_owned();
    let host = text(&head.headers, &header::HOST)
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let route = in_force
        .table
        .find(host, head.uri.path())
        .ok_or(Refusal::new(StatusCode::NOT_FOUND, "no route"))?;
    let caller = identify(gateway, in_force, &route, &head, &id)?;
    if in_force.keys.has_tenants() {
        head.headers.remove(&headers.credential);
    }
    headers.remove_reserved(&mut head.headers);
    let patience = number(&head.headers, &headers.deadline_ms)
        .map_or(route.timeout(), Duration::from_millis)
        .min(route.timeout());
    let deadline = arrived + patience;
    let limit = in_force.configuration.limits.max_body_bytes;
    let held = make_room(gateway, &caller, &id, &incoming, limit)?;
    let body = tokio::select! {
        body = read_body(gateway, incoming, limit, deadline, &held) => body?,
        _ = held.cut() => return Err(Refusal::memory_exhausted()),
    };
    held.set_abortable(false);
    let program = program_fields(gateway, &caller, &head);
    let prompt = PromptParts::read(
        text(&head.headers, &headers.token_usage),
        text(&head.headers, &headers.prompt_parts),
    );
    let program_hash = program
        .as_ref()
        .map(|program| xxhash_rust::xxh3::xxh3_64(program.name.0.as_bytes()));
    let draw = program_hash.unwrap_or_else(|| gateway.draw());
    // A program's turns go to one service, so that its prompts meet their caches; everything
    // else is spread request by request.
    let share = match (route.kind, program_hash) {
        (RouteKind::Streaming, Some(hash)) => hash,
        _ => gateway.splits.borrow_mut().next(&route, gateway.draw()),
    };
    let program_left = number(&head.headers, &headers.program_deadline_ms);
    let program_deadline =
        program_left.and_then(|left| arrived.checked_add(Duration::from_millis(left)));
    let watch = CallerWatch::begin(&gateway.metrics, &id, &route, arrived);
    let service = route.service_for(share).unwrap_or_default().to_owned();
    Ok(InboundRequest {
        id,
        service,
        route,
        caller,
        version: in_force.version,
        head,
        body,
        held,
        program,
        program_deadline,
        watch,
        prompt,
        arrived,
        deadline,
        affinity_hash: draw,
    })
}

/// Finds out for whom a request comes, before its body is read.
fn identify(
    gateway: &Gateway,
    in_force: &ActiveConfiguration,
    route: &Route,
    head: &Parts,
    id: &str,
) -> Result<Caller, Refusal> {
    if in_force.keys.requires_key(route) && gateway.keys_are_expired() {
        return Err(Refusal::recovering(
            "no control member says which keys still hold",
        ));
    }
    let secret = gateway.dialect.headers().secret(&head.headers);
    let unknown = match in_force.keys.caller(route, secret) {
        Ok(caller) => return Ok(caller),
        Err(unknown) => unknown,
    };
    let (shown, fingerprint) = match unknown {
        KeyError::Missing => ("none", None),
        KeyError::Unknown(fingerprint) => ("unknown", Some(fingerprint)),
    };
    gateway
        .metrics
        .unknown_keys
        .with_label_values(&[shown])
        .inc();
    tracing::info!(
        id,
        route = route.name,
        shown,
        key = fingerprint.map(tracing::field::display),
        version = in_force.version,
        "a caller is not known"
    );
    Err(Refusal::new(StatusCode::UNAUTHORIZED, "no known key"))
}

/// Makes room for a body before anything of it is read. One that announces no length, or more
/// than is allowed, counts as it arrives.
fn make_room(
    gateway: &Gateway,
    caller: &Caller,
    id: &str,
    incoming: &Incoming,
    limit: usize,
) -> Result<Held, Refusal> {
    let announced = incoming.size_hint().exact().unwrap_or(0);
    let announced = if announced > limit as u64 {
        0
    } else {
        announced
    };
    let tenant = tenant_name(caller).cloned();
    let held = gateway.held.admit(id, tenant, announced);
    let held = held.map_err(|_| Refusal::memory_exhausted())?;
    held.set_abortable(true);
    Ok(held)
}

/// Why a body cannot be had.
enum BodyFailure {
    TooLong,
    Broken,
    /// It would take more memory than there is room for.
    NoRoom,
}

async fn read_body(
    gateway: &Gateway,
    incoming: Incoming,
    limit: usize,
    deadline: Instant,
    held: &Held,
) -> Result<Bytes, Refusal> {
    let left = deadline.saturating_duration_since(Instant::now());
    let announced = incoming.size_hint().exact().unwrap_or(0);
    let reading = collect(Limited::new(incoming, limit), announced, held);
    match actix_rt::time::timeout(left, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(failure)) => {
            let stopping = gateway.is_stopping.get();
            tracing::debug!(stopping, "a body did not arrive");
            Err(match failure {
                BodyFailure::TooLong => {
                    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
                }
                BodyFailure::Broken => {
                    Refusal::new(StatusCode::BAD_REQUEST, "the body is not whole")
                }
                BodyFailure::NoRoom => Refusal::memory_exhausted(),
            })
        }
        Err(_) => Err(Refusal::new(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        )),
    }
}

/// Reads a body to its end; what comes beyond the announced length counts as it arrives.
async fn collect(
    mut body: Limited<Incoming>,
    announced: u64,
    held: &Held,
) -> Result<Bytes, BodyFailure> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            tracing::debug!(%error, "a body broke off");
            if error.is::<http_body_util::LengthLimitError>() {
                BodyFailure::TooLong
            } else {
                BodyFailure::Broken
            }
        })?;
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        let length = bytes.len() as u64;
        if length > announced {
            held.set_request(length).map_err(|_| BodyFailure::NoRoom)?;
        }
    }
    Ok(bytes.freeze())
}

fn program_fields(gateway: &Gateway, caller: &Caller, head: &Parts) -> Option<ProgramFields> {
    let headers = gateway.dialect.headers();
    let name = text(&head.headers, &headers.program)?;
    let tenant = tenant_name(caller);
    let ceiling = used_tokens(gateway, head, 1);
    Some(ProgramFields {
        name: ProgramName::of(tenant, name),
        budget: number(&head.headers, &headers.token_budget),
        ceiling,
        previous: text(&head.headers, &headers.previous_turn).map(|id| TurnId::of(tenant, id)),
    })
}

/// A part of what the caller says of its tokens: those of the prompt, then the most to be
/// generated. 0 when it does not say so.
fn used_tokens(gateway: &Gateway, head: &Parts, part: usize) -> u64 {
    let usage = text(&head.headers, &gateway.dialect.headers().token_usage);
    usage
        .and_then(|usage| usage.split(',').nth(part))
        .and_then(|tokens| tokens.trim().parse().ok())
        .unwrap_or(0)
}
