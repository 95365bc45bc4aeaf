//! Replication progress of a follower, as tracked by its leader.

use crate::entry::LogIndex;
use crate::read::ReadId;
use luglink_types::Timestamp;

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Index of the last entry that the follower is known to have stored.
    pub(crate) match_index: LogIndex,
    /// Index of the next entry to send.
    pub(crate) next_index: LogIndex,
    /// Number of append messages with entries that are not acknowledged yet.
    pub(crate) in_flight: usize,
    /// Time of the last reply from the follower in this term, initially the creation time.
    pub(crate) last_contact: Timestamp,
    /// Latest read for which the follower has confirmed the leadership.
    pub(crate) confirmed_read: ReadId,
    /// Time at which the unacknowledged snapshot, if any, was sent.
    pub(crate) snapshot_sent_at: Option<Timestamp>,
}

impl Progress {
    pub(crate) fn new(next_index: LogIndex, now: Timestamp) -> Self {
        Self {
            match_index: 0,
            next_index,
            in_flight: 0,
            last_contact: now,
            confirmed_read: ReadId::default(),
            snapshot_sent_at: None,
        }
    }

    /// Records that the follower stored the log up to `index`.
    pub(crate) fn on_accepted(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.snapshot_sent_at = None;
    }

    /// Moves back to the index that the follower suggests, but not before the matched entries.
    pub(crate) fn on_rejected(&mut self, hint: LogIndex) {
        self.next_index = hint
            .min(self.next_index.saturating_sub(1))
            .max(self.match_index + 1);
        self.in_flight = 0;
        self.snapshot_sent_at = None;
    }
}
