//! Reading, authentication and routing of a caller's request.

use crate::caller_watch::CallerWatch;
use crate::fingerprint;
use crate::gateway::{ActiveConfiguration, Gateway};
use crate::held::HeldBytesGuard;
use crate::refusal::Refusal;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request, StatusCode, header};
use luglink_edge::{Caller, KeyError, Route, RouteKind};
use luglink_http::{BodyFailure, BodyLimits, RequestBody, declared_length, read_body};
use luglink_scheduling::PromptParts;
use luglink_turns::{ProgramName, RequestFingerprint, TurnId};
use luglink_types::TenantName;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Maximum length of the identifiers that are kept beyond a request, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 256;

/// Headers of a request that describe its program.
#[derive(Clone, Debug)]
pub(crate) struct ProgramFields {
    pub(crate) name: ProgramName,
    /// Token budget of all turns of the program.
    pub(crate) budget: Option<u64>,
    /// Maximum number of tokens that this turn may generate; 0 if the caller does not state it.
    pub(crate) ceiling: u64,
    /// Turn that this turn continues.
    pub(crate) previous: Option<TurnId>,
}

/// Request of a caller with its complete body and its route.
#[derive(Debug)]
pub(crate) struct InboundRequest {
    pub(crate) id: String,
    /// Identity of the request over the attempts of its caller.
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) route: Rc<Route>,
    /// Authenticated caller.
    pub(crate) caller: Caller,
    /// Name of the service that serves the request.
    pub(crate) service: String,
    /// Version of the configuration that routed the request.
    pub(crate) version: u64,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    /// Accounting of the memory that the request occupies.
    pub(crate) held: HeldBytesGuard,
    pub(crate) program: Option<ProgramFields>,
    /// Time by which the program should finish.
    pub(crate) program_deadline: Option<Instant>,
    /// Guard that logs a caller that disconnects early.
    pub(crate) watch: Rc<CallerWatch>,
    /// Token counts of the prompt, as stated by the caller.
    pub(crate) prompt: Option<PromptParts>,
    pub(crate) arrived: Instant,
    /// Time after which the response is of no use to the caller.
    pub(crate) deadline: Instant,
    /// Time by which responses must be complete, once the gateway is stopping.
    stops_at: Rc<Cell<Option<Instant>>>,
    /// Hash of the program's name, which selects the same replicas for all its turns; a
    /// pseudo-random number for requests without a program.
    pub(crate) affinity_hash: u64,
}

impl InboundRequest {
    /// Returns the time left until the deadline, or until the gateway stops if that is earlier.
    pub(crate) fn remaining(&self) -> Duration {
        let stops_at = self.stops_at.get();
        let ends_at = stops_at.map_or(self.deadline, |stops_at| stops_at.min(self.deadline));
        ends_at.saturating_duration_since(Instant::now())
    }

    /// Returns the time for which stores keep the records of this request, in milliseconds. Callers count
    /// the retention of the route from the end of the response, which may be as late as the deadline,
    /// and what they send within it may take as long again to reach the stores.
    pub(crate) fn record_retention_ms(&self) -> u64 {
        let route = &self.route;
        route
            .retention_ms
            .saturating_add(route.timeout_ms.saturating_mul(2))
    }

    /// Returns true if the response is kept as a turn of a program.
    pub(crate) fn is_turn(&self) -> bool {
        self.route.keeps_history && self.program.is_some()
    }

    /// Returns the identifier of this request's turn.
    pub(crate) fn turn(&self) -> TurnId {
        TurnId::of(tenant_name(&self.caller), &self.id)
    }
}

pub(crate) fn tenant_name(caller: &Caller) -> Option<&TenantName> {
    caller.tenant().map(|tenant| &tenant.name)
}

/// Removes hop-by-hop headers, including those named by `Connection`.
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

/// Returns the value of a header, if it is present and visible ASCII.
pub(crate) fn header_text<'headers>(
    headers: &'headers HeaderMap,
    name: &HeaderName,
) -> Option<&'headers str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a header as an integer, if it is present and valid.
pub(crate) fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}

/// Refuses identifiers that processes would keep beyond the request and that are too long for it.
fn check_identifiers(gateway: &Gateway, headers: &HeaderMap) -> Result<(), Refusal> {
    let names = gateway.dialect.headers();
    let kept = [
        &names.request_id,
        &names.program,
        &names.previous_turn,
        &names.resumes,
    ];
    let mut values = kept.into_iter().filter_map(|name| headers.get(name));
    if values.any(|value| value.len() > MAX_IDENTIFIER_BYTES) {
        return Err(Refusal::new(
            StatusCode::BAD_REQUEST,
            "an identifier is longer than 256 bytes",
        ));
    }
    Ok(())
}

/// Reads a request, authenticates its caller and finds its route.
pub(crate) async fn read(
    gateway: &Gateway,
    in_force: &ActiveConfiguration,
    request: Request<RequestBody>,
) -> Result<InboundRequest, Refusal> {
    let arrived = Instant::now();
    let (mut head, incoming) = request.into_parts();
    let headers = gateway.dialect.headers();
    let id = header_text(&head.headers, &headers.request_id)
        .ok_or(Refusal::new(
            StatusCode::BAD_REQUEST,
            "the request has no identifier",
        ))?
        .to_owned();
    check_identifiers(gateway, &head.headers)?;
    let host = header_text(&head.headers, &header::HOST)
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let route = in_force
        .table
        .find(host, head.uri.path())
        .ok_or(Refusal::new(
            StatusCode::NOT_FOUND,
            "no route matches the request",
        ))?;
    let caller = authenticate(gateway, in_force, &route, &head, &id)?;
    if in_force.keys.has_tenants() {
        head.headers.remove(&headers.credential);
    }
    headers.remove_reserved(&mut head.headers);
    let time_limit = header_number(&head.headers, &headers.deadline_ms)
        .map_or(route.timeout(), Duration::from_millis)
        .min(route.timeout());
    let deadline = arrived + time_limit;
    let limit = in_force.configuration.limits.max_body_bytes;
    let held = admit_body(gateway, &caller, &id, &incoming, limit)?;
    let body = receive(gateway, incoming, limit, deadline, &held).await?;
    held.set_abortable(false);
    let program = program_fields(gateway, &caller, &head);
    let prompt = PromptParts::read(
        header_text(&head.headers, &headers.token_usage),
        header_text(&head.headers, &headers.prompt_parts),
    );
    let program_hash = program
        .as_ref()
        .map(|program| xxhash_rust::xxh3::xxh3_64(program.name.0.as_bytes()));
    let affinity_hash = program_hash.unwrap_or_else(|| gateway.draw());
    // All turns of a program go to the same service to reuse its prompt caches. Other requests are
    // split individually.
    let share = match (route.kind, program_hash) {
        (RouteKind::Streaming, Some(hash)) => hash,
        _ => gateway.splits.borrow_mut().next(&route, gateway.draw()),
    };
    let program_left = header_number(&head.headers, &headers.program_deadline_ms);
    let program_deadline =
        program_left.and_then(|left| arrived.checked_add(Duration::from_millis(left)));
    let watch = CallerWatch::begin(&gateway.metrics, &id, &route, arrived, time_limit);
    let service = route.service_for(share).unwrap_or_default().to_owned();
    let fingerprint = fingerprint::of(gateway, &caller, &head, &body);
    Ok(InboundRequest {
        id,
        fingerprint,
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
        stops_at: Rc::clone(&gateway.stops_at),
        affinity_hash,
    })
}

/// Authenticates the caller of a request before its body is read.
fn authenticate(
    gateway: &Gateway,
    in_force: &ActiveConfiguration,
    route: &Route,
    head: &Parts,
    id: &str,
) -> Result<Caller, Refusal> {
    if in_force.keys.requires_key(route) && gateway.keys_are_expired() {
        return Err(Refusal::recovering(
            "the API keys cannot be verified: no recent update from a control member",
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
        "caller authentication failed: missing or unknown key"
    );
    Err(Refusal::new(
        StatusCode::UNAUTHORIZED,
        "the API key is missing or unknown",
    ))
}

/// Reserves memory for a body before it is read. A body without a declared length is counted as it
/// arrives; one with a length above `limit` is refused.
fn admit_body(
    gateway: &Gateway,
    caller: &Caller,
    id: &str,
    incoming: &RequestBody,
    limit: usize,
) -> Result<HeldBytesGuard, Refusal> {
    let announced = declared_length(incoming);
    if announced > limit as u64 {
        tracing::debug!(
            id,
            announced,
            limit,
            "body refused: its length exceeds the limit"
        );
        return Err(Refusal::too_long());
    }
    let tenant = tenant_name(caller).cloned();
    let held = gateway.held.admit(id, tenant, announced);
    let held = held.map_err(|_| Refusal::memory_exhausted())?;
    Ok(held)
}

async fn receive(
    gateway: &Gateway,
    incoming: RequestBody,
    max_bytes: usize,
    deadline: Instant,
    held: &HeldBytesGuard,
) -> Result<Bytes, Refusal> {
    let limits = BodyLimits {
        max_bytes,
        timeout: deadline.saturating_duration_since(Instant::now()),
    };
    let reading = read_body(incoming, limits, |bytes| held.set_request(bytes));
    let body = tokio::select! {
        body = reading => body,
        _ = held.wait_for_abort() => Err(BodyFailure::NoMemory),
    };
    body.map_err(|failure| {
        let stopping = gateway.is_stopping();
        tracing::debug!(stopping, %failure, "reading a request body failed");
        match failure {
            BodyFailure::TooLong => Refusal::too_long(),
            BodyFailure::Broken => Refusal::new(StatusCode::BAD_REQUEST, "the body is incomplete"),
            BodyFailure::NoMemory => Refusal::memory_exhausted(),
            BodyFailure::TimedOut => Refusal::new(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive before the deadline",
            ),
        }
    })
}

fn program_fields(gateway: &Gateway, caller: &Caller, head: &Parts) -> Option<ProgramFields> {
    let headers = gateway.dialect.headers();
    let name = header_text(&head.headers, &headers.program)?;
    let tenant = tenant_name(caller);
    let ceiling = token_usage_part(gateway, head, 1);
    Some(ProgramFields {
        name: ProgramName::of(tenant, name),
        budget: header_number(&head.headers, &headers.token_budget),
        ceiling,
        previous: header_text(&head.headers, &headers.previous_turn)
            .map(|id| TurnId::of(tenant, id)),
    })
}

/// Returns one number of the caller's token usage header: part 0 is the prompt's tokens, part 1
/// the maximum number of generated tokens. Returns 0 if the header does not contain it.
fn token_usage_part(gateway: &Gateway, head: &Parts, part: usize) -> u64 {
    let usage = header_text(&head.headers, &gateway.dialect.headers().token_usage);
    usage
        .and_then(|usage| usage.split(',').nth(part))
        .and_then(|tokens| tokens.trim().parse().ok())
        .unwrap_or(0)
}
