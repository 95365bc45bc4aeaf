//! Errors of this crate.

use luglink_control::ControlError;
use luglink_storage::StorageError;
use snafu::Snafu;

/// A control member cannot start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlServerError {
    /// The data folder cannot be used.
    #[snafu(display("{source}"), context(false))]
    Storage {
        /// Why not.
        source: StorageError,
    },
    /// The member's logic cannot start or go on.
    #[snafu(display("{source}"), context(false))]
    Control {
        /// Why not.
        source: ControlError,
    },
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("metrics: {source}"), context(false))]
    Metrics {
        /// Why not.
        source: luglink_telemetry::TelemetryError,
    },
    /// The member's actor is gone.
    #[snafu(display("the control member has stopped"))]
    Stopped,
}
