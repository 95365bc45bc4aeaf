//! Errors of this crate.

use luglink_daemon::DaemonConfigError;
use luglink_telemetry::TelemetryError;
use snafu::Snafu;

/// An error that prevents the start of a daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonServerError {
    /// The settings violate a rule.
    #[snafu(display("{source}"), context(false))]
    Config {
        /// The violated rule.
        source: DaemonConfigError,
    },
    /// The metrics cannot be registered.
    #[snafu(display("{source}"), context(false))]
    Telemetry {
        /// The cause.
        source: TelemetryError,
    },
    /// The daemon cannot listen on its address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}
