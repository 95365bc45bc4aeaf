//! Errors of this crate.

use luglink_wire::WireError;
use snafu::Snafu;

/// A connection ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NetError {
    /// The operating system refused.
    #[snafu(display("cannot {action}: {source}"))]
    Io {
        /// What was tried.
        action: &'static str,
        /// Why not.
        source: std::io::Error,
    },
    /// The other end sent what is not ours.
    #[snafu(display("protocol: {source}"), context(false))]
    Wire {
        /// What is wrong.
        source: WireError,
    },
    /// The first frame must be a hello of our version.
    #[snafu(display("the connection did not start with a hello of version {version}"))]
    NoHello {
        /// Our version.
        version: u16,
    },
    /// There was no response in time.
    #[snafu(display("no response within {limit:?}"))]
    Timeout {
        /// What was waited.
        limit: std::time::Duration,
    },
    /// The other end closed the connection.
    #[snafu(display("closed by the other end"))]
    Closed,
}
