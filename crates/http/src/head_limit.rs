//! Limit of the bytes received before a response head is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes received from the end of a request to the end of its response head,
/// interim responses included. What is buffered of the body by then counts too.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// Number of bytes that may still arrive before the response head is complete; `None` while no head
/// is awaited.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadBudget(Rc<Cell<Option<usize>>>);

impl HeadBudget {
    /// Records that a response head is awaited.
    pub(crate) fn begin(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Records that the response head is complete.
    pub(crate) fn end(&self) {
        self.0.set(None);
    }

    fn spend(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.0.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes).ok_or_else(|| {
            let message = format!("no response head within {MAX_HEAD_BYTES} bytes");
            io::Error::new(io::ErrorKind::InvalidData, message)
        })?;
        self.0.set(Some(left));
        Ok(())
    }
}

/// Stream that fails once a [`HeadBudget`] is spent.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream<Stream> {
    stream: Stream,
    budget: HeadBudget,
}

impl<Stream> HeadLimitedStream<Stream> {
    pub(crate) fn new(stream: Stream, budget: HeadBudget) -> Self {
        Self { stream, budget }
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.budget.spend(buffer.filled().len() - before))
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
