//! Error types.

use snafu::Snafu;

/// Invalid input, or a value that cannot be encoded. If the input came from a connection, the
/// connection must be closed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A frame exceeds the maximum length.
    #[snafu(display("frame of {length} bytes exceeds the limit of {limit} bytes"))]
    TooLong {
        /// Length of the frame.
        length: usize,
        /// Maximum length.
        limit: usize,
    },
    /// A frame does not have the expected layout.
    #[snafu(display("malformed frame: {source}"))]
    Malformed {
        /// Error of the frame codec.
        source: deku::DekuError,
    },
    /// A frame is longer than its message.
    #[snafu(display("malformed frame: {count} bytes follow the message"))]
    Trailing {
        /// Number of bytes after the message.
        count: usize,
    },
    /// A body cannot be encoded or decoded.
    #[snafu(display("cannot encode or decode a message body: {source}"))]
    Body {
        /// Error of the body codec.
        source: postcard::Error,
    },
}
