//! Error type of turn stores.

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
