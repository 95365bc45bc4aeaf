//! Errors of this crate.

use luglink_daemon::DaemonConfigError;
use luglink_telemetry::TelemetryError;
use snafu::Snafu;

/// A daemon cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonServerError {
    /// The settings cannot work.
    #[snafu(display("{source}"), context(false))]
    Config {
        /// Why not.
        source: DaemonConfigError,
    },
    /// Metrics cannot be set up.
    #[snafu(display("{source}"), context(false))]
    Telemetry {
        /// Why not.
        source: TelemetryError,
    },
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
}
