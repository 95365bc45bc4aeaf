//! Errors of this crate.

use luglink_storage::StorageError;
use luglink_types::GroupId;
use snafu::Snafu;

/// A failure after which the member must stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// The disk failed.
    #[snafu(display("storage: {source}"), context(false))]
    Storage {
        /// How.
        source: StorageError,
    },
    /// A stored record cannot be understood.
    #[snafu(display("cannot read {what}: {source}"))]
    Decode {
        /// What it is.
        what: &'static str,
        /// Why not.
        source: postcard::Error,
    },
    /// A record cannot be written.
    #[snafu(display("cannot encode {what}: {source}"))]
    Encode {
        /// What it is.
        what: &'static str,
        /// Why not.
        source: postcard::Error,
    },
    /// The data folder belongs to another member.
    #[snafu(display("the data folder belongs to member {found}, not {expected}"))]
    WrongMember {
        /// The member that was started.
        expected: u32,
        /// The member that the folder belongs to.
        found: u32,
    },
    /// The log refers to a snapshot that is not there.
    #[snafu(display("the snapshot of group {group} up to entry {index} is missing"))]
    SnapshotMissing {
        /// The group.
        group: GroupId,
        /// Its last entry.
        index: u64,
    },
    /// The settings cannot work.
    #[snafu(display("{rule}"))]
    InvalidConfig {
        /// The rule that is broken.
        rule: &'static str,
    },
}
