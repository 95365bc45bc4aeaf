//! Bodies of answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

/// Parts of a streamed body that may wait for a slow caller.
const QUEUE_PARTS: usize = 64;

/// Bytes of a streamed body that may wait for a slow caller; a single part may be longer. Callers
/// that read are never so far behind.
const QUEUE_BYTES: u32 = 64 << 10;

/// The body cannot be completed: the connection must be broken off, so that nobody takes what
/// was sent for the whole.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was broken off: {reason}"))]
pub struct BodyError {
    /// Why.
    pub reason: &'static str,
}

/// A body of an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body that is there as a whole.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// No body.
#[must_use]
pub fn empty_body() -> Body {
    full_body(Bytes::new())
}

/// Feeds a streamed body. Dropping it without [`BodySender::finish`] breaks the answer off.
#[derive(Debug)]
pub struct BodySender {
    parts: mpsc::Sender<Part>,
    room: Arc<Semaphore>,
    finish: oneshot::Sender<()>,
}

/// A part that waits, and the room that it takes until it is read.
#[derive(Debug)]
struct Part {
    bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

impl BodySender {
    /// Sends a part, once there is room for it. Returns false when the caller has left.
    pub async fn send(&self, bytes: Bytes) -> bool {
        let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let wanted = length.min(QUEUE_BYTES);
        let room = Arc::clone(&self.room).acquire_many_owned(wanted).await;
        let part = Part {
            bytes,
            _room: room.ok(),
        };
        self.parts.send(part).await.is_ok()
    }

    /// Bytes that wait for the caller, a part longer than the room for them counted as that room.
    #[must_use]
    pub fn waiting_bytes(&self) -> u64 {
        let free = self.room.available_permits() as u64;
        u64::from(QUEUE_BYTES).saturating_sub(free)
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Ends the answer as complete.
    pub fn finish(self) {
        // A caller that has left needs no end.
        let _ = self.finish.send(());
    }
}

/// A body whose parts are sent one by one.
#[must_use]
pub fn stream_body() -> (BodySender, Body) {
    let (parts_sender, parts) = mpsc::channel(QUEUE_PARTS);
    let (finish_sender, finish) = oneshot::channel();
    let sender = BodySender {
        parts: parts_sender,
        room: Arc::new(Semaphore::new(QUEUE_BYTES as usize)),
        finish: finish_sender,
    };
    (sender, Streamed { parts, finish }.boxed_unsync())
}

/// A body whose parts come one by one.
struct Streamed {
    parts: mpsc::Receiver<Part>,
    finish: oneshot::Receiver<()>,
}

impl hyper::body::Body for Streamed {
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
                    reason: "no more can be had of it",
                }))),
            },
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
