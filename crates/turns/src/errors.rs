//! Errors of this crate.

use luglink_storage::StorageError;
use snafu::Snafu;

/// A failure of a store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TurnsError {
    /// The disk failed.
    #[snafu(display("storage: {source}"), context(false))]
    Storage {
        /// How.
        source: StorageError,
    },
    /// A stored record cannot be understood.
    #[snafu(display("cannot read a journal record: {source}"))]
    Decode {
        /// Why not.
        source: postcard::Error,
    },
    /// A record cannot be written.
    #[snafu(display("cannot encode a journal record: {source}"))]
    Encode {
        /// Why not.
        source: postcard::Error,
    },
}
