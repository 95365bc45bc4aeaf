//! Error type of the store server.

use luglink_storage::StorageError;
use luglink_turns::TurnsError;
use snafu::Snafu;
use std::net::SocketAddr;

/// Error that prevents a store server from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreServerError {
    /// The address is in use or does not belong to this machine.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the socket.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[snafu(display("cannot open the data folder: {source}"), context(false))]
    Storage {
        /// Error of the disk.
        source: StorageError,
    },
    /// The stored turns and accounts cannot be loaded.
    #[snafu(display("cannot load the stored turns: {source}"), context(false))]
    Turns {
        /// Error of the turn store.
        source: TurnsError,
    },
    /// The metrics cannot be registered.
    #[snafu(display("cannot register the metrics: {source}"), context(false))]
    Metrics {
        /// Error of the metrics registry.
        source: luglink_telemetry::TelemetryError,
    },
}
