//! Bodies of answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};

/// Parts of a streamed body that may wait for a slow caller.
const QUEUE_PARTS: usize = 64;

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
    parts: mpsc::Sender<Bytes>,
    finish: oneshot::Sender<()>,
}

impl BodySender {
    /// Sends a part. Returns false when the caller has left.
    pub async fn send(&self, part: Bytes) -> bool {
        self.parts.send(part).await.is_ok()
    }

    /// Waits until the caller has left.
    pub async fn gone(&self) {
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
        finish: finish_sender,
    };
    (sender, Streamed { parts, finish }.boxed_unsync())
}

/// A body whose parts come one by one.
struct Streamed {
    parts: mpsc::Receiver<Bytes>,
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
            Poll::Ready(Some(part)) => Poll::Ready(Some(Ok(Frame::data(part)))),
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
