//! Linearizable reads by read-index: a leader confirms with a quorum that it still leads, then
//! reads its own state. A leader that was cut off gets no quorum and answers nothing.

use crate::entry::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of a read at one leader, rising.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReadId(pub u64);

/// What became of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The local state machine may answer it now.
    Ready(ReadId),
    /// This node lost leadership first; ask the new leader.
    Lost(ReadId),
}

/// Reads that wait for confirmation, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingReads {
    waiting: VecDeque<(ReadId, LogIndex)>,
    last: ReadId,
}

impl PendingReads {
    pub(crate) fn add(&mut self, commit: LogIndex) -> ReadId {
        self.last = ReadId(self.last.0 + 1);
        self.waiting.push_back((self.last, commit));
        self.last
    }

    pub(crate) fn last(&self) -> ReadId {
        self.last
    }

    /// Reads up to `confirmed` whose commit index has been applied.
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

    pub(crate) fn take_all(&mut self) -> Vec<ReadId> {
        self.waiting.drain(..).map(|(read, _)| read).collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
