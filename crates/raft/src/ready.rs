//! What a node wants done.

use crate::entry::{Entry, HardState, Snapshot};
use crate::message::Envelope;
use crate::read::ReadOutcome;

/// Work that a node gives out. Its driver must, in this order: send `messages`; make
/// `hard_state`, `snapshot` and `entries` durable; tell the node with
/// [`crate::RaftNode::on_persisted`]; send `messages_after_sync`; apply `committed`.
///
/// Sending `messages_after_sync` before the sync would acknowledge what a crash can still lose.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Messages that promise nothing about this node's storage.
    pub messages: Vec<Envelope>,
    /// Term and vote to make durable.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the whole log and state machine.
    pub snapshot: Option<Snapshot>,
    /// Entries to append. The first one's index tells where to cut the stored log.
    pub entries: Vec<Entry>,
    /// Messages that may go out only after the sync.
    pub messages_after_sync: Vec<Envelope>,
    /// Entries to apply to the state machine, in order.
    pub committed: Vec<Entry>,
    /// Reads that are decided.
    pub reads: Vec<ReadOutcome>,
}

impl Ready {
    /// Whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether anything must be made durable.
    #[must_use]
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}
