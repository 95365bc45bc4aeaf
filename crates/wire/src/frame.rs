//! The frames and their decoder.

use crate::errors::{BodySnafu, MalformedSnafu, TooLongSnafu, TrailingSnafu, WireError};
use bytes::{Buf, BytesMut};
use deku::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

/// Version of the layout; peers of another one are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

const LENGTH_BYTES: usize = 4;

/// Who opens a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub enum ClientRole {
    /// Another control member.
    #[deku(id = "1")]
    Member,
    /// A daemon.
    #[deku(id = "2")]
    Daemon,
    /// A process that observes a control member.
    #[deku(id = "3")]
    Observer,
    /// A client of a turn store.
    #[deku(id = "4")]
    StoreClient,
}

/// First frame of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian")]
pub struct Hello {
    /// See [`PROTOCOL_VERSION`].
    pub version: u16,
    /// Who opens the connection.
    pub role: ClientRole,
    /// Its number within the role.
    pub id: u32,
}

/// One message on the wire, integers big-endian.
#[derive(Clone, Debug, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(id_type = "u8", endian = "big")]
pub enum Frame {
    /// Opens a connection.
    #[deku(id = "1")]
    Hello(Hello),
    /// A consensus message of one group.
    #[deku(id = "2")]
    Peer {
        /// The group.
        group: u32,
        /// Bytes in `body`.
        #[deku(update = "body.len()")]
        length: u32,
        /// The message.
        #[deku(count = "length")]
        body: Vec<u8>,
    },
    /// A request to a control member.
    #[deku(id = "3")]
    Request {
        /// Given back with the response.
        correlation: u64,
        /// Bytes in `body`.
        #[deku(update = "body.len()")]
        length: u32,
        /// The request.
        #[deku(count = "length")]
        body: Vec<u8>,
    },
    /// The response to a request.
    #[deku(id = "4")]
    Response {
        /// The request's.
        correlation: u64,
        /// Bytes in `body`.
        #[deku(update = "body.len()")]
        length: u32,
        /// The response.
        #[deku(count = "length")]
        body: Vec<u8>,
    },
}

impl Frame {
    /// A consensus message.
    #[must_use]
    pub fn peer(group: u32, body: Vec<u8>) -> Self {
        Self::Peer {
            group,
            length: body_length(&body),
            body,
        }
    }

    /// A request.
    #[must_use]
    pub fn request(correlation: u64, body: Vec<u8>) -> Self {
        Self::Request {
            correlation,
            length: body_length(&body),
            body,
        }
    }

    /// A response.
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

/// A frame as it goes over the wire, its length first.
///
/// # Errors
/// The frame is too long.
pub fn encode_frame(frame: &Frame) -> Result<Vec<u8>, WireError> {
    let message = frame.to_bytes().context(MalformedSnafu)?;
    check_length(message.len())?;
    let length = u32::try_from(message.len()).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + message.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&message);
    Ok(bytes)
}

/// Takes bytes as they arrive and gives out frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Adds bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame, if there is one.
    ///
    /// # Errors
    /// What arrived is not ours; the connection must be closed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, WireError> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let mut prefix = [0; LENGTH_BYTES];
        prefix.copy_from_slice(&self.buffer[..LENGTH_BYTES]);
        let length = u32::from_be_bytes(prefix) as usize;
        check_length(length)?;
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let message = self.buffer.split_to(length);
        let ((rest, _), frame) = Frame::from_bytes((&message, 0)).context(MalformedSnafu)?;
        ensure!(rest.is_empty(), TrailingSnafu { count: rest.len() });
        Ok(Some(frame))
    }
}

fn check_length(length: usize) -> Result<(), WireError> {
    ensure!(
        length <= MAX_FRAME_BYTES,
        TooLongSnafu {
            length,
            limit: MAX_FRAME_BYTES
        }
    );
    Ok(())
}

/// Encodes a body.
///
/// # Errors
/// The value cannot be serialized.
pub fn encode_body<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    postcard::to_stdvec(value).context(BodySnafu)
}

/// Decodes a body.
///
/// # Errors
/// The bytes are not such a value.
pub fn decode_body<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, WireError> {
    postcard::from_bytes(bytes).context(BodySnafu)
}
