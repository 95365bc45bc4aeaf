//! What a leader knows of a follower.

use crate::entry::LogIndex;
use crate::read::ReadId;
use luglink_types::Timestamp;

/// A follower as its leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last entry known to be stored by the follower.
    pub(crate) match_index: LogIndex,
    /// Next entry to send.
    pub(crate) next: LogIndex,
    /// Append messages with entries that are not answered yet.
    pub(crate) in_flight: usize,
    /// Last time anything was heard from the follower in this term.
    pub(crate) last_contact: Timestamp,
    /// Latest read that the follower confirmed.
    pub(crate) confirmed_read: ReadId,
    /// When a snapshot was sent that is not answered yet.
    pub(crate) snapshot_sent_at: Option<Timestamp>,
}

impl Progress {
    pub(crate) fn new(next: LogIndex, now: Timestamp) -> Self {
        Self {
            match_index: 0,
            next,
            in_flight: 0,
            last_contact: now,
            confirmed_read: ReadId::default(),
            snapshot_sent_at: None,
        }
    }

    pub(crate) fn accepted(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next = self.next.max(self.match_index + 1);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.snapshot_sent_at = None;
    }

    pub(crate) fn rejected(&mut self, hint: LogIndex) {
        self.next = hint
            .min(self.next.saturating_sub(1))
            .max(self.match_index + 1);
        self.in_flight = 0;
        self.snapshot_sent_at = None;
    }
}
