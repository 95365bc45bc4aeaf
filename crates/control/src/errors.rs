//! Error type of the crate.

use luglink_storage::StorageError;
use luglink_types::GroupId;
use luglink_wire::WireError;
use snafu::Snafu;

/// A failure to start or run a member. After it the member must stop or be loaded from its disk
/// again.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// A disk operation failed.
    #[snafu(display("storage: {source}"), context(false))]
    Storage {
        /// The failure of the disk.
        source: StorageError,
    },
    /// Stored data cannot be decoded.
    #[snafu(display("cannot read {what}: {source}"))]
    Decode {
        /// Kind of the data.
        what: &'static str,
        /// The decoding error.
        source: postcard::Error,
    },
    /// Data cannot be encoded.
    #[snafu(display("cannot encode {what}: {source}"))]
    Encode {
        /// Kind of the data.
        what: &'static str,
        /// The encoding error.
        source: postcard::Error,
    },
    /// The data folder belongs to another member.
    #[snafu(display("data folder belongs to member {found}, expected member {expected}"))]
    WrongMember {
        /// The configured member.
        expected: u32,
        /// The member that the data folder belongs to.
        found: u32,
    },
    /// The log refers to a snapshot file that cannot be read.
    #[snafu(display("cannot read the snapshot of group {group} up to entry {index}"))]
    SnapshotMissing {
        /// The group.
        group: GroupId,
        /// Index of the last entry that the snapshot covers.
        index: u64,
    },
    /// The parts of a snapshot cannot be encoded or decoded.
    #[snafu(display("cannot encode or decode a snapshot's state: {source}"))]
    SnapshotParts {
        /// The encoding error.
        source: WireError,
    },
    /// The configuration violates a rule.
    #[snafu(display("invalid configuration: {rule}"))]
    InvalidConfig {
        /// The violated rule.
        rule: &'static str,
    },
}
