//! Wire protocol between luglink processes: frames of a length prefix and one message.
//!
//! `deku` defines the layout of a frame's own fields. Bodies are requests, responses and consensus
//! messages serialized with `postcard`, the encoding that the log on disk also uses. Lengths are
//! checked before memory is allocated.
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
