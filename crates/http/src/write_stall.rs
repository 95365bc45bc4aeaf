//! Server connection with a timeout for stalled writes.
//!
//! If the peer stops reading, unsent data stays in memory until the operating system closes the
//! connection. That can take many minutes, and never happens if the peer is alive but does not
//! read.

use luglink_net::set_reset_on_close;
use std::cell::Cell;
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Connection that fails if a pending write makes no progress for too long.
pub(crate) struct WriteStallStream {
    stream: TcpStream,
    /// Maximum time without progress; `None` for no limit.
    timeout: Option<Duration>,
    /// Timer that runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
    /// Set if the connection is to be reset when it is dropped.
    resets: Rc<Cell<bool>>,
}

impl Drop for WriteStallStream {
    fn drop(&mut self) {
        if self.resets.get()
            && let Err(error) = set_reset_on_close(&self.stream)
        {
            tracing::debug!(%error, "cannot let the close of a connection reset it");
        }
    }
}

impl WriteStallStream {
    pub(crate) fn new(
        stream: TcpStream,
        timeout: Option<Duration>,
        resets: Rc<Cell<bool>>,
    ) -> Self {
        Self {
            stream,
            timeout,
            timer: None,
            resets,
        }
    }

    /// Fails a write that has been pending for longer than the timeout.
    fn check_progress<T>(
        &mut self,
        written: Poll<Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let Some(timeout) = self.timeout else {
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(Err(Error::new(
                ErrorKind::TimedOut,
                "the peer does not read",
            ))),
        }
    }
}

impl AsyncRead for WriteStallStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteStallStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_progress(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.check_progress(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
