//! Error types.

use luglink_wire::WireError;
use snafu::Snafu;

/// Failure of a connection or of a request on it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// An operation of the operating system failed.
    #[snafu(display("connection error: cannot {action}: {source}"))]
    Io {
        /// Operation that failed.
        action: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The peer sent invalid data, or a frame cannot be encoded.
    #[snafu(display("protocol error: {source}"), context(false))]
    Wire {
        /// Protocol error.
        source: WireError,
    },
    /// The first frame is not a hello of the supported version, or did not arrive in time.
    #[snafu(display("no hello of version {version} at the start of the connection"))]
    NoHello {
        /// Supported version.
        version: u16,
    },
    /// The response did not arrive in time.
    #[snafu(display("no response within {limit:?}"))]
    Timeout {
        /// Timeout of the request.
        limit: std::time::Duration,
    },
    /// A frame was not complete in time.
    #[snafu(display("frame is not complete after {limit:?}"))]
    Unfinished {
        /// Time limit of a frame.
        limit: std::time::Duration,
    },
    /// A frame was given up because peers make the process hold too many bytes.
    #[snafu(display("no memory left for a frame: {reason}"))]
    NoMemory {
        /// Limit that was reached.
        reason: &'static str,
    },
    /// The peer does not read what is sent to it.
    #[snafu(display("the peer does not read: {queued} bytes wait on all connections"))]
    Unread {
        /// Bytes that wait on all connections of the listener.
        queued: u64,
    },
    /// The connection gave way to others, since its listener has too many.
    #[snafu(display("the listener has too many connections: {limit}"))]
    TooManyConnections {
        /// Maximum number of connections.
        limit: usize,
    },
    /// The connection is closed.
    #[snafu(display("the connection is closed"))]
    Closed,
}
