//! Errors of this crate.

use snafu::Snafu;
use std::net::SocketAddr;

/// A gateway cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// The address is taken or not ours.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("metrics: {source}"), context(false))]
    Metrics {
        /// Why not.
        source: luglink_telemetry::TelemetryError,
    },
}
