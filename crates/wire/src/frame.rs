//! Frames and the frame decoder.

use crate::errors::{BodySnafu, MalformedSnafu, TooLongSnafu, TrailingSnafu, WireError};
use bytes::{Buf, BytesMut};
use deku::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

/// Version of the frame layout. Peers with another version are rejected.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;

/// Role of the process that opens a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum ClientRole {
    /// Control member.
    #[deku(id = "1")]
    Member,
    /// Daemon.
    #[deku(id = "2")]
    Daemon,
    /// Process that observes a control member.
    #[deku(id = "3")]
    Observer,
    /// Client of a turn store.
    #[deku(id = "4")]
    StoreClient,
    /// Client of the crash reports at a control member.
    #[deku(id = "5")]
    ReportClient,
}

/// First frame of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Hello {
    /// Protocol version; see [`PROTOCOL_VERSION`].
    pub version: u16,
    /// Role of the sender.
    pub role: ClientRole,
    /// Number of the sender, unique within its role.
    pub id: u32,
}

/// Message on the wire, with big-endian integers.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "big")]
pub enum Frame {
    /// Opens a connection.
    #[deku(id = "1")]
    Hello(Hello),
    /// Consensus message of one group.
    #[deku(id = "2")]
    Peer {
        /// Number of the group.
        group: u32,
        /// Length of `body` in bytes.
        #[deku(update = "body.len()")]
        length: u32,
        /// Encoded message.
        #[deku(count = "length")]
        body: Vec<u8>,
    },
    /// Request, answered by a response with the same correlation.
    #[deku(id = "3")]
    Request {
        /// Identifier that the response repeats.
        correlation: u64,
        /// Length of `body` in bytes.
        #[deku(update = "body.len()")]
        length: u32,
        /// Encoded request.
        #[deku(count = "length")]
        body: Vec<u8>,
    },
    /// Response to a request.
    #[deku(id = "4")]
    Response {
        /// Identifier of the request.
        correlation: u64,
        /// Length of `body` in bytes.
        #[deku(update = "body.len()")]
        length: u32,
        /// Encoded response.
        #[deku(count = "length")]
        body: Vec<u8>,
    },
}

impl Frame {
    /// Returns the length of the body, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        match self {
            Self::Hello(_) => 0,
            Self::Peer { body, .. } | Self::Request { body, .. } | Self::Response { body, .. } => {
                body.len() as u64
            }
        }
    }

    /// Creates a consensus message.
    #[must_use]
    pub fn peer(group: u32, body: Vec<u8>) -> Self {
        Self::Peer {
            group,
            length: body_length(&body),
            body,
        }
    }

    /// Creates a request.
    #[must_use]
    pub fn request(correlation: u64, body: Vec<u8>) -> Self {
        Self::Request {
            correlation,
            length: body_length(&body),
            body,
        }
    }

    /// Creates a response.
    #[must_use]
    pub fn response(correlation: u64, body: Vec<u8>) -> Self {
        Self::Response {
            correlation,
            length: body_length(&body),
            body,
        }
    }
}

fn body_length(body: &[u8]) -> u32 {
    u32::try_from(body.len()).unwrap_or(u32::MAX)
}

/// Encodes a frame with its length prefix.
///
/// # Errors
/// The frame is too long or cannot be encoded.
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>, WireError> {
    let message = frame.to_bytes().context(MalformedSnafu)?;
    check_length(message.len(), MAX_FRAME_BYTES)?;
    let length = u32::try_from(message.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + message.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&message);
    Ok(bytes)
}

/// Decoder that turns received bytes into frames.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: BytesMut,
    max_frame_bytes: usize,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        Self {
            buffer: BytesMut::new(),
            max_frame_bytes: MAX_FRAME_BYTES,
        }
    }
}

impl FrameDecoder {
    /// Sets the maximum length of a frame in bytes, at most [`MAX_FRAME_BYTES`].
    pub fn set_max_frame_bytes(&mut self, bytes: usize) {
        self.max_frame_bytes = bytes.min(MAX_FRAME_BYTES);
    }

    /// Returns the number of received bytes that belong to no complete frame yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// The bytes are not a valid frame. The connection must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, WireError> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let mut prefix = [0; LENGTH_BYTES];
        prefix.copy_from_slice(&self.buffer[..LENGTH_BYTES]);
        let length = u32::from_be_bytes(prefix) as usize;
        check_length(length, self.max_frame_bytes)?;
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let message = self.buffer.split_to(length);
        let ((rest, _), frame) = Frame::from_bytes((&message, 0)).context(MalformedSnafu)?;
        ensure!(rest.is_empty(), TrailingSnafu { count: rest.len() });
        if self.buffer.is_empty() {
            // An idle connection keeps no memory for the longest frame that it has had.
            self.buffer = BytesMut::new();
        }
        Ok(Some(frame))
    }
}

fn check_length(length: usize, limit: usize) -> Result<(), WireError> {
    ensure!(length <= limit, TooLongSnafu { length, limit });
    Ok(())
}

/// Encodes a message body.
///
/// # Errors
/// The value cannot be encoded.
pub fn encode_body<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    postcard::to_stdvec(value).context(BodySnafu)
}

/// Decodes a message body.
///
/// # Errors
/// The bytes do not encode a value of this type.
pub fn decode_body<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, WireError> {
    postcard::from_bytes(bytes).context(BodySnafu)
}
