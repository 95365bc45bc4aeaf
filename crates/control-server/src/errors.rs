//! Error type of the crate.

use luglink_control::ControlError;
use luglink_storage::StorageError;
use snafu::Snafu;

/// A failure to start or run a control member.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlServerError {
    /// The data folder cannot be opened.
    #[snafu(display("cannot open the data folder: {source}"), context(false))]
    Storage {
        /// The failure of the disk.
        source: StorageError,
    },
    /// The control node failed.
    #[snafu(display("{source}"), context(false))]
    Control {
        /// The failure of the node.
        source: ControlError,
    },
    /// The crash reports cannot be read.
    #[snafu(display("cannot open the crash reports: {source}"), context(false))]
    Reports {
        /// The failure of the reports.
        source: luglink_turns::TurnsError,
    },
    /// The server cannot listen on an address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The failure of the socket.
        source: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[snafu(display("cannot register the metrics: {source}"), context(false))]
    Metrics {
        /// The failure of the registry.
        source: luglink_telemetry::TelemetryError,
    },
    /// The actor of the member has stopped.
    #[snafu(display("the control member has stopped"))]
    Stopped,
}
