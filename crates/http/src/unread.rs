//! The accepting end of a connection whose other end may stop to read.
//!
//! What waits for it stays in memory until the operating system gives the connection up, which may
//! take many minutes, or for ever when the other end is alive and only does not read.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// A connection that fails once nothing of what is written to it was taken for a while.
pub(crate) struct WriteStallStream {
    stream: TcpStream,
    /// The while; `None` to wait for ever.
    limit: Option<Duration>,
    /// Runs while nothing is taken.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteStallStream {
    pub(crate) fn new(stream: TcpStream, limit: Option<Duration>) -> Self {
        Self {
            stream,
            limit,
            timer: None,
        }
    }

    fn watch<T>(&mut self, written: Poll<Result<T>>, context: &mut Context<'_>) -> Poll<Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let Some(limit) = self.limit else {
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
        match timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(Err(Error::new(
                ErrorKind::TimedOut,
                "the other end does not read",
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
        self.watch(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.watch(written, context)
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
