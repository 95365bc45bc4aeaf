//! A copy of the list of replicas, kept current by what others report of theirs.

use crate::backend_list::{BackendChanges, BackendList, BackendPatch, ListDigest};
use crate::incarnation::{KnownIncarnations, ReplicaIncarnation};
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Time that a report may have been on its way: a round trip between near regions. A list counts
/// as so much older than the report says.
const TRANSFER_TIME: Duration = Duration::from_millis(20);

/// Difference in age from which one list is newer than another. Ages of the same reading that
/// came on different ways differ by their times on the way, those of two readings by an interval
/// between readings, which is longer.
const SAME_READING: Duration = Duration::from_millis(150);

/// What a process says of its copy when it asks for a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownList {
    /// Fingerprint of its list.
    pub fingerprint: u64,
    /// Time since the platform showed the list; `None` when there is none yet.
    pub age: Option<Duration>,
    /// What its list is made of, when nobody remembered its fingerprint.
    pub digest: Option<ListDigest>,
}

/// What an asker needs to have the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendUpdate {
    /// Nothing: it has it.
    None,
    /// The changes since the list that it has.
    Changes(Arc<BackendChanges>),
    /// The parts in which its list differs.
    Patch(BackendPatch),
    /// The whole list.
    Whole(Arc<BackendList>),
    /// Its list is not remembered: it is to say the digest.
    Unknown,
}

/// The list as a control member passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Fingerprint of the list.
    pub fingerprint: u64,
    /// Time since the platform showed it.
    pub age: Duration,
    /// What the asker lacks of it.
    pub update: BackendUpdate,
}

/// A copy of the list. It never goes back to one that the platform showed earlier.
#[derive(Clone, Debug, Default)]
pub struct ListCopy {
    list: Arc<BackendList>,
    /// When the platform showed the list; `None` before there is one.
    seen: Option<Timestamp>,
    /// Whether nobody remembered the fingerprint, so that the digest is to be said.
    says_digest: bool,
    /// Whether a patch did not fit, so that the whole list is needed.
    wants_whole: bool,
}

impl ListCopy {
    /// The list.
    #[must_use]
    pub fn list(&self) -> &Arc<BackendList> {
        &self.list
    }

    /// When the platform showed the list; `None` before there is one.
    #[must_use]
    pub fn seen(&self) -> Option<Timestamp> {
        self.seen
    }

    /// Time since the platform showed the list.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.seen.map(|seen| now.since(seen))
    }

    /// What to say of this copy when a newer one is asked for.
    #[must_use]
    pub fn known(&self, now: Timestamp) -> KnownList {
        let has_list = self.seen.is_some() && !self.wants_whole;
        KnownList {
            fingerprint: self.list.fingerprint(),
            age: self.age(now).filter(|_| has_list),
            digest: (has_list && self.says_digest).then(|| self.list.digest()),
        }
    }

    /// Whether a list of `age` is newer than what an asker has.
    #[must_use]
    pub fn is_newer(age: Duration, known: &KnownList) -> bool {
        known
            .age
            .is_none_or(|known_age| age + SAME_READING < known_age)
    }

    /// Takes a list that was just read. Returns what has changed.
    pub fn replace(&mut self, list: BackendList, seen: Timestamp) -> Option<BackendChanges> {
        if self.seen.is_some_and(|known| known >= seen) {
            return None;
        }
        self.take(list, seen)
    }

    /// Takes a report. Returns what has changed, when something has.
    pub fn follow(&mut self, report: BackendReport, now: Timestamp) -> Option<BackendChanges> {
        let age = report.age + TRANSFER_TIME;
        let seen = Timestamp::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        if self.seen.is_some_and(|known| known >= seen) {
            return None;
        }
        match report.update {
            BackendUpdate::None => {
                if report.fingerprint == self.list.fingerprint() && self.seen.is_some() {
                    self.seen = Some(seen);
                }
                None
            }
            BackendUpdate::Changes(changes) => {
                // Changes to a list that was replaced meanwhile are passed over; the next question
                // says which list is here.
                let is_taken = Arc::make_mut(&mut self.list).apply(&changes);
                is_taken.then(|| {
                    self.note_current(seen);
                    Arc::unwrap_or_clone(changes)
                })
            }
            BackendUpdate::Patch(patch) => match self.list.patched(&patch) {
                Some(list) => self.take(list, seen),
                None => {
                    self.wants_whole = true;
                    None
                }
            },
            BackendUpdate::Whole(list) => self.take(Arc::unwrap_or_clone(list), seen),
            BackendUpdate::Unknown => {
                self.says_digest = true;
                None
            }
        }
    }

    /// What to say of the incarnations in this copy.
    #[must_use]
    pub fn known_incarnations(&self) -> KnownIncarnations {
        KnownIncarnations {
            sum: self.list.incarnation_sum(),
        }
    }

    /// Takes incarnations that another process knows. Returns what has changed, when something
    /// has; nothing in it but incarnations differs from before.
    pub fn merge_incarnations(&mut self, told: &[ReplicaIncarnation]) -> Option<BackendChanges> {
        if !self.list.lacks_any(told) {
            return None;
        }
        let changed = Arc::make_mut(&mut self.list).merge_incarnations(told);
        let fingerprint = self.list.fingerprint();
        Some(BackendChanges {
            base: fingerprint,
            result: fingerprint,
            changed,
            removed: Vec::new(),
        })
    }

    fn take(&mut self, mut list: BackendList, seen: Timestamp) -> Option<BackendChanges> {
        // A list that came over the wire names no incarnations.
        list.merge_incarnations(&self.list.incarnations());
        let changes = self.list.changes_to(&list);
        let is_first = self.seen.is_none();
        self.note_current(seen);
        if changes.is_empty() && !is_first {
            return None;
        }
        self.list = Arc::new(list);
        Some(changes)
    }

    /// Notes that the list is as the platform showed it at `seen`.
    fn note_current(&mut self, seen: Timestamp) {
        self.seen = Some(seen);
        self.says_digest = false;
        self.wants_whole = false;
    }
}
