//! Tells callers which gateways to go to.

use crate::actor::{ControlActor, LookAtFleet};
use actix::Addr;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use luglink_edge::Dialect;
use luglink_http::{Abort, Body, full_body};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Gateways that an answer names at the most.
const MAX_GATEWAYS: usize = 64;

/// Answers a caller's question where to go.
pub(crate) async fn handle(
    control: Addr<ControlActor>,
    dialect: Rc<dyn Dialect>,
    valid_for: Duration,
    request: Request<Incoming>,
) -> Result<Response<Body>, Abort> {
    let uri = request.uri();
    let Some(query) = dialect.resolution(uri.path(), uri.query().unwrap_or_default()) else {
        return Ok(json(StatusCode::NOT_FOUND, dialect.problem("no such call")));
    };
    let gateways = match control.send(LookAtFleet).await {
        Ok(look) => select(look.gateways, query.zone.as_deref()),
        Err(_) => Vec::new(),
    };
    if gateways.is_empty() {
        let detail = dialect.problem("no gateway is known yet");
        return Ok(json(StatusCode::SERVICE_UNAVAILABLE, detail));
    }
    let answer = dialect.resolution_answer(&gateways, valid_for);
    Ok(json(StatusCode::OK, answer))
}

/// As many gateways as fit, those of the caller's zone first.
fn select(mut gateways: Vec<(String, SocketAddr)>, zone: Option<&str>) -> Vec<SocketAddr> {
    gateways.sort_by_key(|(gateway_zone, address)| (Some(gateway_zone.as_str()) != zone, *address));
    let addresses = gateways.into_iter().map(|(_, address)| address);
    addresses.take(MAX_GATEWAYS).collect()
}

pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
