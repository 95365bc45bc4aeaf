//! Close of a connection whose peer still sends a refused body.
//!
//! The operating system resets a connection that is closed with unread bytes, and the peer may lose the
//! response with it. So what the peer sends after the response is read and discarded, within limits
//! of bytes, time and connections.

use crate::tracked_body::ConnectionActivity;
use std::cell::Cell;
use std::future::Future;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Maximum number of bytes that are discarded on one connection.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Maximum time for which bytes are discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of connections of a server on which bytes are discarded at the same time.
const MAX_LINGERING: usize = 32;

/// Size of the buffer that bytes are discarded from.
const BUFFER_BYTES: usize = 8 << 10;

/// Number of connections of a server on which bytes are discarded.
#[derive(Clone, Debug, Default)]
pub(crate) struct LingeringCount(Rc<Cell<usize>>);

impl LingeringCount {
    fn enter(&self) -> Option<LingeringGuard> {
        let count = self.0.get();
        (count < MAX_LINGERING).then(|| {
            self.0.set(count + 1);
            LingeringGuard(Rc::clone(&self.0))
        })
    }
}

#[derive(Debug)]
struct LingeringGuard(Rc<Cell<usize>>);

impl Drop for LingeringGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

enum Close {
    /// The connection has not been shut down for writing.
    Open,
    Discarding {
        left: usize,
        timer: Pin<Box<Sleep>>,
        _guard: LingeringGuard,
    },
    Done,
}

/// Stream that discards what its peer still sends before it completes its shutdown, if the body of the
/// latest request was not read.
pub(crate) struct LingeringStream<Stream> {
    stream: Stream,
    activity: Rc<ConnectionActivity>,
    lingering: LingeringCount,
    close: Close,
}

impl<Stream: AsyncRead + AsyncWrite + Unpin> LingeringStream<Stream> {
    pub(crate) fn new(
        stream: Stream,
        activity: Rc<ConnectionActivity>,
        lingering: LingeringCount,
    ) -> Self {
        Self {
            stream,
            activity,
            lingering,
            close: Close::Open,
        }
    }

    /// Returns the state after the shutdown for writing.
    fn begin_close(&self) -> Close {
        let guard = self.activity.is_unread().then(|| self.lingering.enter());
        match guard.flatten() {
            None => Close::Done,
            Some(guard) => Close::Discarding {
                left: MAX_DISCARDED_BYTES,
                timer: Box::pin(sleep(DISCARD_TIMEOUT)),
                _guard: guard,
            },
        }
    }

    /// Discards bytes until the peer closes the connection or a limit is reached.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Close::Discarding { left, timer, .. } = &mut self.close else {
            return Poll::Ready(());
        };
        let mut bytes = [0; BUFFER_BYTES];
        while timer.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            let count = buffer.filled().len();
            if read.is_err() || count == 0 || count > *left {
                break;
            }
            *left -= count;
        }
        Poll::Ready(())
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for LingeringStream<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<Stream: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if matches!(self.close, Close::Open) {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.close = self.begin_close();
        }
        ready!(self.poll_discard(context));
        self.close = Close::Done;
        Poll::Ready(Ok(()))
    }
}
