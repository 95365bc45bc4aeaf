//! Reading and writing frames of one connection.

use crate::errors::{ClosedSnafu, IoSnafu, NetError};
use luglink_wire::{Frame, FrameDecoder, encode_frame};
use snafu::{ResultExt, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// Frames that may wait for one connection.
const MAX_QUEUED_FRAMES: usize = 8_192;

/// Bytes that are read at once.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Bytes of waiting frames that are written at once.
const WRITE_BATCH_BYTES: usize = 256 << 10;

/// Puts frames into a connection's queue.
#[derive(Clone, Debug)]
pub struct FrameSender(mpsc::Sender<Frame>);

impl FrameSender {
    /// Queues a frame. Returns false when the queue is full or the connection is closed; the
    /// frame is dropped then.
    pub fn send(&self, frame: Frame) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// A bounded queue of frames.
#[must_use]
pub fn frame_channel() -> (FrameSender, mpsc::Receiver<Frame>) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    (FrameSender(sender), receiver)
}

/// Reads frames one by one.
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

/// Writes queued frames until the connection breaks. Frames that wait together are written
/// together. An end that has nothing to say drops its sender; the connection stays open.
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
