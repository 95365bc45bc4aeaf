//! Reading and writing the frames of one connection.

use crate::account::{ByteAccount, ByteGuard};
use crate::errors::{ClosedSnafu, IoSnafu, NetError, NoMemorySnafu, UnfinishedSnafu};
use crate::send_queue::{QueueBudget, QueuedBytes};
use luglink_limits::HeldBytesLimit;
use luglink_wire::{Frame, FrameDecoder, encode_frame};
use snafu::{ResultExt, ensure};
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum number of frames queued for one connection.
const MAX_QUEUED_FRAMES: usize = 8_192;

/// Maximum number of bytes read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Size at which a batch of queued frames is written.
const WRITE_BATCH_BYTES: usize = 256 << 10;

/// Time within which a frame must be complete once it has begun to arrive.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

thread_local! {
    /// Buffer that all connections of a thread read into, so that idle connections have none.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// Sender half of a connection's frame queue.
#[derive(Clone, Debug)]
pub struct FrameSender {
    frames: mpsc::Sender<Frame>,
    queued: Arc<QueuedBytes>,
}

impl FrameSender {
    /// Queues a frame. If the queue is full, or the connection is closed or closes because its peer does
    /// not read, drops the frame and returns false.
    pub fn send(&self, frame: Frame) -> bool {
        let bytes = frame.body_bytes();
        if !self.queued.add(bytes) {
            return false;
        }
        let is_queued = self.frames.try_send(frame).is_ok();
        if !is_queued {
            self.queued.remove(bytes, 1);
        }
        is_queued
    }
}

/// Receiver half of a connection's frame queue.
#[derive(Debug)]
pub(crate) struct FrameQueue {
    frames: mpsc::Receiver<Frame>,
    queued: Arc<QueuedBytes>,
}

impl FrameQueue {
    /// Waits until a frame has found no room while others were queued.
    pub(crate) fn overrun(&self) -> impl Future<Output = ()> + use<> {
        let queued = Arc::clone(&self.queued);
        async move { queued.overrun().await }
    }
}

/// Creates a bounded frame queue whose bytes are counted in `budget`.
pub(crate) fn frame_channel(budget: &Arc<QueueBudget>) -> (FrameSender, FrameQueue) {
    let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    let queued = Arc::new(QueuedBytes::new(budget));
    let queue = FrameQueue {
        frames,
        queued: Arc::clone(&queued),
    };
    let frames = sender;
    (FrameSender { frames, queued }, queue)
}

/// Account in which a connection counts frames that have arrived in part.
#[derive(Clone, Debug)]
pub(crate) struct ReadAccount {
    pub(crate) bytes: Rc<ByteAccount>,
    /// Name of the peer.
    pub(crate) peer: String,
}

/// Frame that has arrived in part.
struct PartialFrame {
    held: ByteGuard,
    deadline: Instant,
}

/// Reads frames from a connection.
pub(crate) struct FrameReader {
    half: OwnedReadHalf,
    decoder: FrameDecoder,
    account: Option<ReadAccount>,
    partial: Option<PartialFrame>,
}

impl FrameReader {
    /// Creates a reader. With an account, frames are counted in it and must be complete in time.
    pub(crate) fn new(half: OwnedReadHalf, account: Option<ReadAccount>) -> Self {
        Self {
            half,
            decoder: FrameDecoder::default(),
            account,
            partial: None,
        }
    }

    /// Sets the maximum length of a frame, in bytes.
    pub(crate) fn set_max_frame_bytes(&mut self, bytes: usize) {
        self.decoder.set_max_frame_bytes(bytes);
    }

    /// Waits for the next frame.
    pub(crate) async fn next(&mut self) -> Result<Frame, NetError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                self.partial = None;
                return Ok(frame);
            }
            self.count_partial_frame()?;
            self.receive().await?;
        }
    }

    /// Counts what has arrived of a frame.
    fn count_partial_frame(&mut self) -> Result<(), NetError> {
        let buffered = self.decoder.buffered_bytes() as u64;
        let Some(account) = self.account.as_ref().filter(|_| buffered > 0) else {
            return Ok(());
        };
        if let Some(partial) = &self.partial {
            return partial.held.resize(buffered).map_err(no_memory);
        }
        let held = account.bytes.admit(&account.peer, None, buffered);
        self.partial = Some(PartialFrame {
            held: held.map_err(no_memory)?,
            deadline: Instant::now() + FRAME_TIMEOUT,
        });
        Ok(())
    }

    /// Waits for more bytes.
    async fn receive(&mut self) -> Result<(), NetError> {
        let reading = read_some(&mut self.half, &mut self.decoder);
        let Some(partial) = &self.partial else {
            return reading.await;
        };
        let in_time = tokio::time::timeout_at(partial.deadline, reading);
        let timed_out = UnfinishedSnafu {
            limit: FRAME_TIMEOUT,
        };
        tokio::select! {
            read = in_time => read.unwrap_or_else(|_| timed_out.fail()),
            limit = partial.held.wait_for_abort() => Err(no_memory(limit)),
        }
    }
}

fn no_memory(limit: HeldBytesLimit) -> NetError {
    let reason = limit.as_str();
    NoMemorySnafu { reason }.build()
}

/// Waits until the connection has bytes and passes them to the decoder.
async fn read_some(half: &mut OwnedReadHalf, decoder: &mut FrameDecoder) -> Result<(), NetError> {
    let read = poll_fn(|context| poll_read_some(half, decoder, context)).await;
    let count = read.context(IoSnafu { action: "read" })?;
    ensure!(count > 0, ClosedSnafu);
    if count == READ_BUFFER_BYTES {
        // Lets the receiver of the frames take them before more are read.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Passes what has arrived to the decoder. Returns the number of bytes, 0 at the end.
fn poll_read_some(
    half: &mut OwnedReadHalf,
    decoder: &mut FrameDecoder,
    context: &mut Context<'_>,
) -> Poll<std::io::Result<usize>> {
    READ_BUFFER.with_borrow_mut(|buffer| {
        let mut buffer = ReadBuf::new(buffer);
        ready!(Pin::new(half).poll_read(context, &mut buffer))?;
        decoder.push(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    })
}

/// Writes queued frames in batches until the connection fails. If the sender is dropped, the
/// connection stays open for reading.
pub(crate) async fn write_frames(
    mut half: OwnedWriteHalf,
    queue: FrameQueue,
) -> Result<(), NetError> {
    let FrameQueue { mut frames, queued } = queue;
    while let Some(frame) = frames.recv().await {
        let mut written = frame.body_bytes();
        let mut count = 1;
        let mut bytes = encode_frame(&frame)?;
        drop(frame);
        while bytes.len() < WRITE_BATCH_BYTES {
            match frames.try_recv() {
                Ok(frame) => {
                    written += frame.body_bytes();
                    count += 1;
                    bytes.extend(encode_frame(&frame)?);
                }
                Err(_) => break,
            }
        }
        half.write_all(&bytes)
            .await
            .context(IoSnafu { action: "write" })?;
        queued.remove(written, count);
    }
    std::future::pending().await
}
