//! Errors of this crate.

use luglink_storage::StorageError;
use luglink_turns::TurnsError;
use snafu::Snafu;
use std::net::SocketAddr;

/// A store cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreServerError {
    /// The address is taken or not ours.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("storage: {source}"), context(false))]
    Storage {
        /// Why not.
        source: StorageError,
    },
    /// The data folder is damaged.
    #[snafu(display("turns: {source}"), context(false))]
    Turns {
        /// How.
        source: TurnsError,
    },
    /// The metrics cannot be set up.
    #[snafu(display("metrics: {source}"), context(false))]
    Metrics {
        /// Why not.
        source: luglink_telemetry::TelemetryError,
    },
}
