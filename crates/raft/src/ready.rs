//! Work that a node hands to its driver.

use crate::entry::{Entry, HardState, Snapshot};
use crate::message::Envelope;
use crate::read::ReadOutcome;

/// Pending work of a node. The driver must perform these steps in order: send `messages`; persist
/// `hard_state`, `snapshot` and `entries`; call [`crate::RaftNode::on_persisted`]; send
/// `messages_after_sync`; apply `committed`.
///
/// Sending `messages_after_sync` before the sync acknowledges data that a crash can still lose.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Messages that do not depend on persisted state.
    pub messages: Vec<Envelope>,
    /// Term and vote to persist.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the whole log and the state machine.
    pub snapshot: Option<Snapshot>,
    /// Entries to persist. Stored entries from the first one's index on must be removed first.
    pub entries: Vec<Entry>,
    /// Messages to send only after the sync.
    pub messages_after_sync: Vec<Envelope>,
    /// Entries to apply to the state machine, in order.
    pub committed: Vec<Entry>,
    /// Outcomes of read requests.
    pub reads: Vec<ReadOutcome>,
}

impl Ready {
    /// Returns true if there is no work.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns true if there is state to persist.
    #[must_use]
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
