//! In-memory log: the position of the latest snapshot and the entries after it.

use crate::entry::{Entry, LogIndex, Payload, Snapshot, Term};
use crate::membership::Membership;
use std::collections::VecDeque;

/// Log of one node. Entries up to the snapshot's index have been discarded.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    snapshot_index: LogIndex,
    snapshot_term: Term,
    snapshot_membership: Membership,
    entries: VecDeque<Entry>,
}

impl RaftLog {
    /// Creates a log from persisted state. Entries that the snapshot covers are skipped.
    #[must_use]
    pub fn restored(snapshot: &Snapshot, entries: Vec<Entry>) -> Self {
        Self {
            snapshot_index: snapshot.index,
            snapshot_term: snapshot.term,
            snapshot_membership: snapshot.membership.clone(),
            entries: entries
                .into_iter()
                .filter(|entry| entry.index > snapshot.index)
                .collect(),
        }
    }

    /// Returns the index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.snapshot_index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot_term, |entry| entry.term)
    }

    /// Returns the index of the last entry that the snapshot covers.
    #[must_use]
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot_index
    }

    /// Returns the number of entries after the snapshot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries after the snapshot.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the term of the entry at `index`, or `None` if the log does not hold that entry.
    #[must_use]
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`.
    #[must_use]
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns entries starting at `from`, within the limits. Returns at least one entry if the log
    /// holds any from `from` on.
    #[must_use]
    pub fn batch(&self, from: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            if batch.len() >= max_entries || (bytes >= max_bytes && !batch.is_empty()) {
                break;
            }
            bytes += entry.payload.size();
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Returns the latest membership in the log, committed or not, and the index of its entry.
    #[must_use]
    pub fn membership(&self) -> (LogIndex, &Membership) {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some((entry.index, membership)),
                Payload::Empty | Payload::Command(_) => None,
            })
            .unwrap_or((self.snapshot_index, &self.snapshot_membership))
    }

    /// Returns the membership in effect at `index`.
    #[must_use]
    pub fn membership_at(&self, index: LogIndex) -> &Membership {
        self.entries
            .iter()
            .rev()
            .skip_while(|entry| entry.index > index)
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some(membership),
                Payload::Empty | Payload::Command(_) => None,
            })
            .unwrap_or(&self.snapshot_membership)
    }

    /// Appends the next entry.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.saturating_sub(self.snapshot_index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(0));
    }

    /// Discards the entries up to `index`, which a snapshot covers.
    pub(crate) fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        self.snapshot_membership = self.membership_at(index).clone();
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= index)
        {
            self.entries.pop_front();
        }
        self.snapshot_index = index;
        self.snapshot_term = term;
    }

    /// Replaces the whole log with a received snapshot.
    pub(crate) fn reset(&mut self, snapshot: &Snapshot) {
        self.entries.clear();
        self.snapshot_index = snapshot.index;
        self.snapshot_term = snapshot.term;
        self.snapshot_membership = snapshot.membership.clone();
    }
}
