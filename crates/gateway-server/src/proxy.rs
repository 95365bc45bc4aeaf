//! The way of a request through the gateway.

use crate::gateway::{ActiveConfiguration, Gateway};
use crate::inbound::{self, InboundRequest};
use crate::refusal::Refusal;
use crate::{quota, stream, unary};
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use luglink_edge::RouteKind;
use luglink_http::{Abort, Body};
use luglink_quota::Purpose;
use luglink_scheduling::max_startup_wait;
use luglink_telemetry::milliseconds;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between looks whether it knows its configuration.
const START_CHECK: Duration = Duration::from_millis(10);

/// Answers a caller's request.
pub(crate) async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Abort> {
    let arrived = Instant::now();
    let in_flight = gateway.track_request();
    let id = inbound::text(request.headers(), &gateway.dialect.headers().request_id)
        .unwrap_or_default()
        .to_owned();
    let path = request.uri().path().to_owned();
    let result = answer(&gateway, request, in_flight).await;
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
                version = gateway.in_force.borrow().as_ref().map(|held| held.version),
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
    if gateway.is_stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// The configuration in force. A gateway that has just started is told it within moments; a
/// request that comes meanwhile waits for that rather than spend one of its caller's tries.
async fn current(
    gateway: &Gateway,
    request: &Request<Incoming>,
) -> Option<Rc<ActiveConfiguration>> {
    let deadline = Instant::now() + max_startup_wait(allowed_time(gateway, request));
    loop {
        if let Some(in_force) = gateway.in_force().filter(|_| gateway.turns.has_quorum()) {
            return Some(in_force);
        }
        if Instant::now() >= deadline {
            return gateway.in_force();
        }
        actix_rt::time::sleep(START_CHECK).await;
    }
}

/// Time that a request's caller gives it, as far as it says so.
fn allowed_time(gateway: &Gateway, request: &Request<Incoming>) -> Option<Duration> {
    let name = &gateway.dialect.headers().deadline_ms;
    inbound::number(request.headers(), name).map(Duration::from_millis)
}

async fn answer(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    in_flight: crate::gateway::InFlight,
) -> Result<Response<Body>, Refusal> {
    let in_force = current(gateway, &request)
        .await
        .ok_or(Refusal::recovering("no configuration is known yet"))?;
    let inbound = inbound::read(gateway, &in_force, request).await?;
    drop(in_force);
    let watch = Rc::clone(&inbound.watch);
    let result = if inbound.route.kind == RouteKind::Streaming {
        stream::serve(gateway, inbound, in_flight).await
    } else {
        answer_whole(gateway, &inbound).await
    };
    watch.note_answered();
    result
}

async fn answer_whole(
    gateway: &Rc<Gateway>,
    inbound: &InboundRequest,
) -> Result<Response<Body>, Refusal> {
    quota::take_token(gateway, inbound, Purpose::Continues).await?;
    let response = unary::serve(gateway, inbound).await?;
    let elapsed = inbound.arrived.elapsed();
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
