//! Requests on connections of their own whose responses are read as a whole.

use crate::body::Body;
use crate::client::{ConnectError, SendError, connect};
use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::BodyExt;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::net::SocketAddr;
use std::time::Duration;

/// Limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct FetchLimits {
    /// Maximum time until the connection is established.
    pub connect_timeout: Duration,
    /// Maximum time until the head of the response is received.
    pub head_timeout: Duration,
    /// Maximum size of the body in bytes.
    pub max_body_bytes: usize,
}

/// The response could not be received as a whole.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The connection could not be opened. No request was sent.
    #[snafu(display("{source}"), context(false))]
    Connect {
        /// Reason.
        source: ConnectError,
    },
    /// The request received no response.
    #[snafu(display("{source}"), context(false))]
    Send {
        /// Reason.
        source: SendError,
    },
    /// The head of the response did not arrive in time.
    #[snafu(display("no response head within {limit:?}"))]
    NoHead {
        /// Maximum time.
        limit: Duration,
    },
    /// The connection ended before the end of the response.
    #[snafu(display("the response ended early: {source}"))]
    Cut {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The body is too long.
    #[snafu(display("the response body exceeds {limit} bytes"))]
    TooLong {
        /// Maximum size in bytes.
        limit: usize,
    },
}

/// Sends a request on a new connection to `address` and reads the whole response.
///
/// # Errors
/// The response was not received as a whole.
pub async fn fetch(
    address: SocketAddr,
    request: Request<Body>,
    limits: FetchLimits,
) -> Result<Response<Bytes>, FetchError> {
    let mut connection = connect(address, limits.connect_timeout).await?;
    let limit = limits.head_timeout;
    let response = actix_rt::time::timeout(limit, connection.send(request)).await;
    let response = response.ok().context(NoHeadSnafu { limit })??;
    let (head, mut incoming) = response.into_parts();
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.context(CutSnafu)?;
        body.extend_from_slice(&frame.into_data().unwrap_or_default());
        let limit = limits.max_body_bytes;
        ensure!(body.len() <= limit, TooLongSnafu { limit });
    }
    Ok(Response::from_parts(head, body.freeze()))
}
