//! Frames between luglink processes: a length, then one `deku` message.
//!
//! The frame's own fields are laid out by `deku`; bodies are the serialized requests, responses
//! and consensus messages of the logic crates, so that the log on disk and the wire share one
//! encoding. Lengths are checked before anything is allocated.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod errors;
mod extension;
mod frame;

pub use errors::WireError;
pub use extension::{PartNumber, Parts, decode_with_parts, encode_with_parts};
pub use frame::{
    ClientRole, Frame, FrameDecoder, Hello, MAX_FRAME_BYTES, PROTOCOL_VERSION, decode_body,
    encode_body, encode_frame,
};
