//! Reading and writing the frames of one connection.

use crate::errors::{ClosedSnafu, IoSnafu, NetError};
use luglink_wire::{Frame, FrameDecoder, encode_frame};
use snafu::{ResultExt, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// Maximum number of frames queued for one connection.
const MAX_QUEUED_FRAMES: usize = 8_192;

/// Maximum number of bytes read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Size at which a batch of queued frames is written.
const WRITE_BATCH_BYTES: usize = 256 << 10;

/// Sender half of a connection's frame queue.
#[derive(Clone, Debug)]
pub struct FrameSender(mpsc::Sender<Frame>);

impl FrameSender {
    /// Queues a frame. If the queue is full or the connection is closed, drops the frame and
    /// returns false.
    pub fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// Creates a bounded frame queue.
#[must_use]
pub fn frame_channel() -> (FrameSender, mpsc::Receiver<Frame>) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    (FrameSender(sender), receiver)
}

/// Reads frames from a connection.
pub(crate) struct FrameReader {
    half: OwnedReadHalf,
    decoder: FrameDecoder,
    buffer: Vec<u8>,
}

impl FrameReader {
    pub(crate) fn new(half: OwnedReadHalf) -> Self {
        Self {
            half,
            decoder: FrameDecoder::default(),
            buffer: vec![0; READ_BUFFER_BYTES],
        }
    }

    /// Waits for the next frame.
    pub(crate) async fn next(&mut self) -> Result<Frame, NetError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(frame);
            }
            let count = self
                .half
                .read(&mut self.buffer)
                .await
                .context(IoSnafu { action: "read" })?;
            ensure!(count > 0, ClosedSnafu);
            self.decoder.push(&self.buffer[..count]);
        }
    }
}

/// Writes queued frames in batches until the connection fails. If the sender is dropped, the
/// connection stays open for reading.
pub(crate) async fn write_frames(
    mut half: OwnedWriteHalf,
    mut frames: mpsc::Receiver<Frame>,
) -> Result<(), NetError> {
    while let Some(frame) = frames.recv().await {
        let mut bytes = encode_frame(&frame)?;
        while bytes.len() < WRITE_BATCH_BYTES {
            match frames.try_recv() {
                Ok(frame) => bytes.extend(encode_frame(&frame)?),
                Err(_) => break,
            }
        }
        half.write_all(&bytes)
            .await
            .context(IoSnafu { action: "write" })?;
    }
    std::future::pending().await
}
