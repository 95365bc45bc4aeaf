//! Reading of a whole request body within limits of length, time and memory.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use snafu::Snafu;
use std::error::Error;
use std::time::Duration;

/// Initial buffer of a body without a declared length, in bytes.
const INITIAL_BUFFER_BYTES: usize = 16 << 10;

/// Limits of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length in bytes.
    pub max_bytes: usize,
    /// Maximum time until the body is complete.
    pub timeout: Duration,
}

/// The body could not be read. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum BodyFailure {
    /// The body exceeds its maximum length.
    #[snafu(display("the body is too long"))]
    TooLong,
    /// The peer ended the connection, or sent no valid body.
    #[snafu(display("the body is incomplete"))]
    Broken,
    /// The body was not complete in time.
    #[snafu(display("the body did not arrive in time"))]
    TimedOut,
    /// There is no memory left for the body.
    #[snafu(display("there is no memory left for the body"))]
    NoMemory,
}

/// Returns the declared length of a body in bytes; 0 if none is declared.
pub fn declared_length(body: &impl Body) -> u64 {
    body.size_hint().exact().unwrap_or(0)
}

/// Reads a body to its end. `hold` is called with the size of the buffer before it grows beyond the
/// declared length, which must be accounted for already.
///
/// # Errors
/// Returns the limit that the body exceeds, or [`BodyFailure::Broken`].
pub async fn read_body<Incoming, Denied>(
    body: Incoming,
    limits: BodyLimits,
    hold: impl Fn(u64) -> Result<(), Denied>,
) -> Result<Bytes, BodyFailure>
where
    Incoming: Body<Data = Bytes> + Unpin,
    Incoming::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let reading = collect(body, limits.max_bytes, hold);
    let read = actix_rt::time::timeout(limits.timeout, reading).await;
    read.unwrap_or(Err(BodyFailure::TimedOut))
}

async fn collect<Incoming, Denied>(
    body: Incoming,
    max_bytes: usize,
    hold: impl Fn(u64) -> Result<(), Denied>,
) -> Result<Bytes, BodyFailure>
where
    Incoming: Body<Data = Bytes> + Unpin,
    Incoming::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let declared = usize::try_from(declared_length(&body)).unwrap_or(usize::MAX);
    let mut bytes = Vec::with_capacity(declared.min(max_bytes));
    let mut body = Limited::new(body, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| classify(&*error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > bytes.capacity() {
            let capacity = grown_capacity(length, max_bytes);
            hold(capacity as u64).map_err(|_| BodyFailure::NoMemory)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from(bytes))
}

/// Returns the size of a buffer for `length` bytes of a body that may go on.
fn grown_capacity(length: usize, max_bytes: usize) -> usize {
    let doubled = length.next_power_of_two().max(INITIAL_BUFFER_BYTES);
    doubled.min(max_bytes).max(length)
}

fn classify(error: &(dyn Error + Send + Sync + 'static)) -> BodyFailure {
    tracing::debug!(%error, "request body ended early or exceeds the length limit");
    if error.is::<LengthLimitError>() {
        BodyFailure::TooLong
    } else {
        BodyFailure::Broken
    }
}
