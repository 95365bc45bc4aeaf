//! Error type of turn stores.

use crate::refusal::Refusal;
use luglink_storage::StorageError;
use snafu::Snafu;

/// Error of a turn store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TurnsError {
    /// A disk operation failed.
    #[snafu(display("disk operation failed: {source}"), context(false))]
    Storage {
        /// Error of the disk.
        source: StorageError,
    },
    /// A stored record cannot be decoded.
    #[snafu(display("cannot decode journal record: {source}"))]
    Decode {
        /// Decoding error.
        source: postcard::Error,
    },
    /// A record cannot be encoded.
    #[snafu(display("cannot encode journal record: {source}"))]
    Encode {
        /// Encoding error.
        source: postcard::Error,
    },
}

/// Reason for which a holder of crash reports does not answer a request about them.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// The client could not count the response.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// The reason.
        source: Refusal,
    },
    /// A report is not on disk.
    #[snafu(display("cannot make crash reports durable: {source}"), context(false))]
    NotDurable {
        /// Error of the disk.
        source: TurnsError,
    },
}
