//! Log entries, snapshots and the persistent state of a node.

use crate::membership::{Membership, Peer};
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};

/// Election term. Each term has at most one leader.
pub type Term = u64;

/// Index of a log entry, starting at 1. 0 denotes the position before the first entry.
pub type LogIndex = u64;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a new leader. Committing it also commits the entries of earlier terms.
    Empty,
    /// Command for the replicated state machine.
    Command(Vec<u8>),
    /// New membership, in effect as soon as the entry is in the log, committed or not.
    Membership(Membership),
}

impl Payload {
    /// Returns the approximate size in bytes, for batch limits.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(bytes) => bytes.len(),
            Self::Membership(membership) => membership.size(),
        }
    }
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Leader's time when it appended the entry. State machines use no other clock, so that all
    /// replicas compute the same result.
    pub appended_at: Timestamp,
    /// Content of the entry.
    pub payload: Payload,
}

/// State that a node must persist before it replies to a message. A node that loses it can vote for
/// two candidates in one term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the node has seen.
    pub term: Term,
    /// Candidate that received this node's vote in that term.
    pub voted_for: Option<Peer>,
}

/// State of the state machine after it has applied the entry at `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the state includes.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership in effect at that entry.
    pub membership: Membership,
    /// Encoded state.
    pub state: Vec<u8>,
}
