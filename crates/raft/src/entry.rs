//! Log entries and what else a node must remember.

use crate::membership::{Membership, Peer};
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};

/// A leader's period. Each term has at most one leader.
pub type Term = u64;

/// Place in the log, from 1. 0 stands before the first entry.
pub type LogIndex = u64;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A new leader's first entry, which lets it commit what earlier terms left behind.
    Empty,
    /// A command for the replicated state machine.
    Command(Vec<u8>),
    /// The membership from this entry on, committed or not.
    Membership(Membership),
}

impl Payload {
    /// Approximate size in bytes, for batch limits.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(bytes) => bytes.len(),
            Self::Membership(membership) => membership.size(),
        }
    }
}

/// One log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Place in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// The leader's time when it appended it; the state machine's only clock.
    pub appended_at: Timestamp,
    /// What it carries.
    pub payload: Payload,
}

/// What a node must never forget. Losing it could give one vote to two candidates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Who got this node's vote in that term.
    pub voted_for: Option<Peer>,
}

/// The state machine after the entry at `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the state contains.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
    /// The encoded state.
    pub state: Vec<u8>,
}
