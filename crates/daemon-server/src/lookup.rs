//! Lookups at replicas.
//!
//! The body of a lookup is passed on as it is, so a response that ends early must be told from a whole
//! one. The client that the other requests use takes the end of the connection for the end of the body.

use crate::engines::{CONNECT_TIMEOUT, HEAD_TIMEOUT, MAX_LOOKUP_BYTES};
use ::http::{Request, StatusCode, header};
use luglink_daemon::{EngineEvent, LookupDispatch};
use luglink_http::{Body, FetchError, FetchLimits, SendError, fetch, full_body};
use std::net::SocketAddr;

/// Sends a lookup to a replica and returns its end.
pub async fn send_lookup(address: &str, lookup: &LookupDispatch) -> EngineEvent {
    let (Ok(replica), Ok(request)) = (address.parse::<SocketAddr>(), request(address, lookup))
    else {
        return EngineEvent::NotSent;
    };
    let limits = FetchLimits {
        connect_timeout: CONNECT_TIMEOUT,
        head_timeout: HEAD_TIMEOUT,
        max_body_bytes: MAX_LOOKUP_BYTES,
    };
    let response = match fetch(replica, request, limits).await {
        Ok(response) => response,
        Err(error) => return classify(&error),
    };
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        return EngineEvent::Rejected;
    }
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    EngineEvent::LookupDone {
        status: response.status().as_u16(),
        content_type: content_type.map(str::to_owned),
        body: response.body().to_vec(),
    }
}

fn request(address: &str, lookup: &LookupDispatch) -> Result<Request<Body>, ::http::Error> {
    let mut request = Request::builder()
        .method(lookup.method.as_str())
        .uri(&lookup.path)
        .header(header::HOST, address);
    if let Some(content_type) = &lookup.content_type {
        request = request.header(header::CONTENT_TYPE, content_type);
    }
    request.body(full_body(lookup.body.clone()))
}

/// Converts an error. Only a request that never left proves that the replica did not run it.
fn classify(error: &FetchError) -> EngineEvent {
    tracing::debug!(%error, "lookup at a replica failed");
    match error {
        FetchError::Connect { .. }
        | FetchError::Send {
            source: SendError::NotSent { .. },
        } => EngineEvent::NotSent,
        _ => EngineEvent::Broken,
    }
}
