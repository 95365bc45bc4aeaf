//! Errors of this crate.

use snafu::Snafu;

/// Input that is not ours. The connection must be closed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// A frame is announced that is longer than any we send.
    #[snafu(display("a frame of {length} bytes is over the limit of {limit}"))]
    TooLong {
        /// What was announced.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// A frame does not follow the layout.
    #[snafu(display("malformed frame: {source}"))]
    Malformed {
        /// Where it goes wrong.
        source: deku::DekuError,
    },
    /// A frame has bytes behind its end.
    #[snafu(display("{count} bytes follow the end of a frame's message"))]
    Trailing {
        /// How many.
        count: usize,
    },
    /// A body cannot be understood.
    #[snafu(display("malformed body: {source}"))]
    Body {
        /// Why.
        source: postcard::Error,
    },
}
