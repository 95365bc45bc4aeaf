//! Linearizable reads with the read-index protocol: a leader confirms its leadership with a quorum
//! and then reads its own state. A partitioned leader reaches no quorum and serves no read.

use crate::entry::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Identifier of a read at one leader. Identifiers increase.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReadId(pub u64);

/// Outcome of a read request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The local state machine can serve the read now.
    Ready(ReadId),
    /// This node lost its leadership before the read was confirmed. The caller should retry at the
    /// new leader.
    Lost(ReadId),
}

/// Reads that are waiting for confirmation, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingReads {
    waiting: VecDeque<(ReadId, LogIndex)>,
    last: ReadId,
}

impl PendingReads {
    /// Adds a read that must see the state up to `commit`.
    pub(crate) fn add(&mut self, commit: LogIndex) -> ReadId {
        self.last = ReadId(self.last.0 + 1);
        self.waiting.push_back((self.last, commit));
        self.last
    }

    /// Returns the latest read.
    pub(crate) fn last(&self) -> ReadId {
        self.last
    }

    /// Removes and returns the reads up to `confirmed` whose commit index is applied.
    pub(crate) fn take_ready(&mut self, confirmed: ReadId, applied: LogIndex) -> Vec<ReadId> {
        let mut ready = Vec::new();
        while let Some((read, index)) = self.waiting.front().copied() {
            if read > confirmed || index > applied {
                break;
            }
            ready.push(read);
            self.waiting.pop_front();
        }
        ready
    }

    /// Removes and returns all reads.
    pub(crate) fn take_all(&mut self) -> Vec<ReadId> {
        self.waiting.drain(..).map(|(read, _)| read).collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
