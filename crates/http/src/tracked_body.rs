//! Bodies that tell their connection whether it waits for its peer or a request runs.

use crate::body::{Body, BodyError};
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use luglink_net::ConnectionGuard;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// State of a connection that its requests and responses report.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    pub(crate) guard: ConnectionGuard,
    /// True while the body of the latest request has not been read to its end.
    is_unread: Cell<bool>,
}

impl ConnectionActivity {
    pub(crate) fn new(guard: ConnectionGuard) -> Rc<Self> {
        Rc::new(Self {
            guard,
            is_unread: Cell::new(false),
        })
    }

    /// Returns true if the body of the latest request was not read to its end.
    pub(crate) fn is_unread(&self) -> bool {
        self.is_unread.get()
    }

    fn note_received(&self) {
        self.is_unread.set(false);
        self.guard.set_running();
    }
}

/// Body of a received request.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    activity: Rc<ConnectionActivity>,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, activity: &Rc<ConnectionActivity>) -> Self {
        if incoming.is_end_stream() {
            activity.note_received();
        } else {
            activity.is_unread.set(true);
        }
        Self {
            incoming,
            activity: Rc::clone(activity),
        }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) {
            self.activity.note_received();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Body of a response. Its connection waits for its peer once the body is sent.
pub(crate) struct ResponseBody {
    body: Body,
    activity: Rc<ConnectionActivity>,
}

impl ResponseBody {
    pub(crate) fn new(body: Body, activity: Rc<ConnectionActivity>) -> Self {
        Self { body, activity }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.activity.guard.set_waiting();
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
