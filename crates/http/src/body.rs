//! HTTP bodies.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

/// Maximum number of queued parts of a streamed body.
const MAX_QUEUED_PARTS: usize = 64;

/// Maximum number of queued bytes of a streamed body; a single part may be longer. Callers that
/// read continuously do not reach the limit.
const MAX_QUEUED_BYTES: u32 = 64 << 10;

/// The body cannot be completed. The connection must be aborted, so that the receiver does not take
/// the truncated body as complete.
#[derive(Debug, Snafu)]
#[snafu(display("the body was aborted: {reason}"))]
pub struct BodyError {
    /// Reason for the abort.
    pub reason: &'static str,
}

/// Body of a request or a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes that are available as a whole.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
#[must_use]
pub fn empty_body() -> Body {
    full_body(Bytes::new())
}

/// Sender of a streamed body. Dropping it without [`BodySender::finish`] aborts the body.
#[derive(Debug)]
pub struct BodySender {
    parts: mpsc::Sender<Part>,
    byte_permits: Arc<Semaphore>,
    finish: oneshot::Sender<()>,
}

/// Queued part. It holds its byte permits until it is read.
#[derive(Debug)]
struct Part {
    bytes: Bytes,
    _permits: Option<OwnedSemaphorePermit>,
}

impl BodySender {
    /// Queues a part; waits until the queue has room for it. Returns false if the caller has
    /// disconnected.
    pub async fn send(&self, bytes: Bytes) -> bool {
        let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let permits = length.min(MAX_QUEUED_BYTES);
        let byte_permits = Arc::clone(&self.byte_permits)
            .acquire_many_owned(permits)
            .await;
        let part = Part {
            bytes,
            _permits: byte_permits.ok(),
        };
        self.parts.send(part).await.is_ok()
    }

    /// Returns the number of queued bytes. A part that is longer than the queue's limit counts as
    /// the limit.
    #[must_use]
    pub fn waiting_bytes(&self) -> u64 {
        let free = self.byte_permits.available_permits() as u64;
        u64::from(MAX_QUEUED_BYTES).saturating_sub(free)
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Completes the body.
    pub fn finish(self) {
        // The caller may have disconnected.
        let _ = self.finish.send(());
    }
}

/// Creates a body whose parts are sent one by one.
#[must_use]
pub fn stream_body() -> (BodySender, Body) {
    let (parts_sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
    let (finish_sender, finish) = oneshot::channel();
    let sender = BodySender {
        parts: parts_sender,
        byte_permits: Arc::new(Semaphore::new(MAX_QUEUED_BYTES as usize)),
        finish: finish_sender,
    };
    (sender, StreamBody { parts, finish }.boxed_unsync())
}

/// Streamed body.
struct StreamBody {
    parts: mpsc::Receiver<Part>,
    finish: oneshot::Receiver<()>,
}

impl hyper::body::Body for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.parts.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(part)) => Poll::Ready(Some(Ok(Frame::data(part.bytes)))),
            Poll::Ready(None) => match self.finish.try_recv() {
                Ok(()) => Poll::Ready(None),
                Err(_) => Poll::Ready(Some(Err(BodyError {
                    reason: "its sender was dropped before the end",
                }))),
            },
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
