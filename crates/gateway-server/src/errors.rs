//! Errors of this crate.

use snafu::Snafu;
use std::net::SocketAddr;

/// Error that prevents a gateway from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// A listen address is in use or not assigned to this machine.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// Registering the metrics failed.
    #[snafu(display("cannot register metrics: {source}"), context(false))]
    Metrics {
        /// Underlying error.
        source: luglink_telemetry::TelemetryError,
    },
}
