//! Entry point of callers' requests: configuration, dispatch by route kind, and logging.

use crate::gateway::{ActiveConfiguration, Gateway};
use crate::inbound::{self, InboundRequest};
use crate::refusal::Refusal;
use crate::{crash_refusal, planned_stop, quota, stream, unary};
use http::{HeaderValue, Request, Response, header};
use luglink_edge::RouteKind;
use luglink_http::{Abort, Body, RequestBody};
use luglink_quota::Purpose;
use luglink_scheduling::max_startup_wait;
use luglink_telemetry::milliseconds;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which a starting gateway checks whether its configuration has arrived.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum length of what a caller chose in a log line, in bytes.
const MAX_LOGGED_BYTES: usize = 256;

/// Returns the beginning of a text that a caller chose.
fn loggable(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_LOGGED_BYTES)].to_owned()
}

/// Handles a request of a caller.
pub(crate) async fn handle(
    gateway: Rc<Gateway>,
    request: Request<RequestBody>,
) -> Result<Response<Body>, Abort> {
    let arrived = Instant::now();
    let in_flight = gateway.track_request();
    let id = inbound::header_text(request.headers(), &gateway.dialect.headers().request_id);
    let id = loggable(id.unwrap_or_default());
    let path = loggable(request.uri().path());
    let result = dispatch(&gateway, request, in_flight).await;
    let list_age_ms = gateway.list_age().map(milliseconds);
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            tracing::info!(
                id,
                path,
                status = refusal.status.as_u16(),
                detail = refusal.detail,
                retry_after_ms = refusal.retry_after.map(milliseconds),
                version = gateway
                    .in_force
                    .borrow()
                    .as_ref()
                    .map(|active| active.version),
                list_age_ms,
                ms = milliseconds(arrived.elapsed()),
                "refused"
            );
            refusal.into_response(&*gateway.dialect)
        }
    };
    let status = response.status();
    let counter = gateway
        .metrics
        .answers
        .with_label_values(&[status.as_str()]);
    counter.inc();
    if gateway.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Waits until the current configuration is known and a quorum of the turn stores is available. A
/// gateway that has just started gets both shortly; refusing requests until then would use up
/// their callers' few retries. After [`max_startup_wait`], returns the configuration even without
/// a quorum, or `None` if the current one is still not known.
async fn wait_for_configuration(
    gateway: &Gateway,
    request: &Request<RequestBody>,
) -> Option<Rc<ActiveConfiguration>> {
    let deadline = Instant::now() + max_startup_wait(caller_timeout(gateway, request));
    loop {
        if let Some(in_force) = gateway.in_force().filter(|_| gateway.turns.has_quorum()) {
            return Some(in_force);
        }
        if Instant::now() >= deadline {
            return gateway.in_force();
        }
        actix_rt::time::sleep(STARTUP_CHECK_INTERVAL).await;
    }
}

/// Returns the timeout that the caller states, if any.
fn caller_timeout(gateway: &Gateway, request: &Request<RequestBody>) -> Option<Duration> {
    let name = &gateway.dialect.headers().deadline_ms;
    inbound::header_number(request.headers(), name).map(Duration::from_millis)
}

async fn dispatch(
    gateway: &Rc<Gateway>,
    request: Request<RequestBody>,
    in_flight: crate::gateway::InFlight,
) -> Result<Response<Body>, Refusal> {
    let in_force = wait_for_configuration(gateway, &request)
        .await
        .ok_or(Refusal::recovering(
            "the current configuration is not known yet",
        ))?;
    let inbound = inbound::read(gateway, &in_force, request).await?;
    drop(in_force);
    planned_stop::refuse_late(gateway, &inbound, 0)?;
    let watch = Rc::clone(&inbound.watch);
    let allowed = crash_refusal::refuse_crashing(gateway, &inbound).await;
    let result = if let Err(refusal) = allowed {
        Err(refusal)
    } else if inbound.route.kind == RouteKind::Streaming {
        stream::serve(gateway, inbound, in_flight).await
    } else {
        serve_unary(gateway, &inbound).await
    };
    watch.note_answered();
    result
}

async fn serve_unary(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
) -> Result<Response<Body>, Refusal> {
    quota::take_token(gateway, inbound, Purpose::Continues).await?;
    let response = unary::serve(gateway, inbound).await?;
    let elapsed = inbound.arrived.elapsed();
    gateway.note_run_time(&inbound.route.name, elapsed);
    gateway
        .metrics
        .answer_seconds
        .observe(elapsed.as_secs_f64());
    tracing::info!(
        id = inbound.id,
        route = inbound.route.name,
        version = inbound.version,
        status = response.status().as_u16(),
        ms = milliseconds(elapsed),
        "answered"
    );
    Ok(response)
}
