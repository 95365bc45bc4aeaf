//! A copy of the list of replicas, kept up to date by reports of other processes.

use crate::backend::Backend;
use crate::backend_list::{BackendChanges, BackendList, BackendPatch, ListDigest};
use crate::incarnation::{KnownIncarnations, ReplicaIncarnation};
use crate::software_version::{KnownReplicaVersions, ReplicaVersion};
use luglink_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Assumed transfer time of a report: a round trip between neighbouring regions. It is added to the
/// reported age of a list.
const TRANSFER_TIME: Duration = Duration::from_millis(20);

/// Minimum difference in age by which one list is newer than another. Ages of the same read that
/// arrive through different members differ by transfer times. Ages of two reads differ by at least
/// the read interval, which is longer.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(150);

/// State of a process's copy, sent when it requests a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownList {
    /// Fingerprint of its list.
    pub fingerprint: u64,
    /// Time since the list was read from the platform; `None` if the process has no list yet.
    pub age: Option<Duration>,
    /// Digest of its list, sent after a member did not know the fingerprint.
    pub digest: Option<ListDigest>,
}

/// Update that brings the requester's list up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendUpdate {
    /// The list is up to date.
    None,
    /// Changes since the requester's list.
    Changes(Arc<BackendChanges>),
    /// Buckets in which the requester's list differs.
    Patch(BackendPatch),
    /// The full list.
    Whole(Arc<BackendList>),
    /// The requester's list is not in the history: it must send the digest.
    Unknown,
}

/// The list of replicas as a control member sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Fingerprint of the list.
    pub fingerprint: u64,
    /// Time since it was read from the platform.
    pub age: Duration,
    /// Update from the requester's list to this one.
    pub update: BackendUpdate,
}

/// A copy of the list. It is never replaced by an older one.
#[derive(Clone, Debug, Default)]
pub struct ListCopy {
    list: Arc<BackendList>,
    /// Time at which the list was read from the platform; `None` if there is no list yet.
    seen: Option<Timestamp>,
    /// True if a member did not know the fingerprint, so that the next request contains the digest.
    sends_digest: bool,
    /// True if a patch did not fit, so that the full list is needed.
    needs_full_list: bool,
}

impl ListCopy {
    /// Returns the list.
    #[must_use]
    pub fn list(&self) -> &Arc<BackendList> {
        &self.list
    }

    /// Returns the time at which the list was read from the platform; `None` if there is no list
    /// yet.
    #[must_use]
    pub fn seen(&self) -> Option<Timestamp> {
        self.seen
    }

    /// Returns the time since the list was read from the platform.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.seen.map(|seen| now.since(seen))
    }

    /// Returns the state of this copy for a request for a newer one.
    #[must_use]
    pub fn known(&self, now: Timestamp) -> KnownList {
        let has_list = self.seen.is_some() && !self.needs_full_list;
        KnownList {
            fingerprint: self.list.fingerprint(),
            age: self.age(now).filter(|_| has_list),
            digest: (has_list && self.sends_digest).then(|| self.list.digest()),
        }
    }

    /// Returns true if a list of this age is newer than the requester's.
    #[must_use]
    pub fn is_newer(age: Duration, known: &KnownList) -> bool {
        known
            .age
            .is_none_or(|known_age| age + MIN_AGE_DIFFERENCE < known_age)
    }

    /// Replaces the list with one that was just read. Returns the changes.
    pub fn replace(&mut self, list: BackendList, seen: Timestamp) -> Option<BackendChanges> {
        if self.seen.is_some_and(|known| known >= seen) {
            return None;
        }
        self.install(list, seen)
    }

    /// Applies a report. Returns the changes, if there are any.
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
                // Changes to a list that was replaced in the meantime are ignored; the next request
                // contains the fingerprint of the current list.
                let is_applied = Arc::make_mut(&mut self.list).apply(&changes);
                is_applied.then(|| {
                    self.mark_current(seen);
                    Arc::unwrap_or_clone(changes)
                })
            }
            BackendUpdate::Patch(patch) => match self.list.patched(&patch) {
                Some(list) => self.install(list, seen),
                None => {
                    self.needs_full_list = true;
                    None
                }
            },
            BackendUpdate::Whole(list) => self.install(Arc::unwrap_or_clone(list), seen),
            BackendUpdate::Unknown => {
                self.sends_digest = true;
                None
            }
        }
    }

    /// Returns the summary of the incarnations in this copy.
    #[must_use]
    pub fn known_incarnations(&self) -> KnownIncarnations {
        KnownIncarnations {
            sum: self.list.incarnation_sum(),
        }
    }

    /// Merges incarnations received from another process. Returns the changes, if there are any;
    /// they differ from the previous list in incarnations only.
    pub fn merge_incarnations(
        &mut self,
        received: &[ReplicaIncarnation],
    ) -> Option<BackendChanges> {
        if !self.list.lacks_any(received) {
            return None;
        }
        let changed = Arc::make_mut(&mut self.list).merge_incarnations(received);
        Some(self.attribute_changes(changed))
    }

    /// Returns the summary of the software versions in this copy.
    #[must_use]
    pub fn known_replica_versions(&self) -> KnownReplicaVersions {
        KnownReplicaVersions {
            sum: self.list.version_sum(),
        }
    }

    /// Merges software versions received from another process. Returns the changes, if there are
    /// any; they differ from the previous list in versions and incarnations only.
    pub fn merge_versions(&mut self, received: &[ReplicaVersion]) -> Option<BackendChanges> {
        if received.is_empty() {
            return None;
        }
        let changed = Arc::make_mut(&mut self.list).merge_versions(received);
        (!changed.is_empty()).then(|| self.attribute_changes(changed))
    }

    /// Returns changes that leave the fingerprint as it is.
    fn attribute_changes(&self, changed: Vec<Backend>) -> BackendChanges {
        let fingerprint = self.list.fingerprint();
        BackendChanges {
            base: fingerprint,
            result: fingerprint,
            changed,
            removed: Vec::new(),
        }
    }

    fn install(&mut self, mut list: BackendList, seen: Timestamp) -> Option<BackendChanges> {
        // A decoded list has no incarnations and no versions: keep the known ones.
        list.complete_from(&self.list);
        let changes = self.list.changes_to(&list);
        let is_first = self.seen.is_none();
        self.mark_current(seen);
        if changes.is_empty() && !is_first {
            return None;
        }
        self.list = Arc::new(list);
        Some(changes)
    }

    /// Marks the list as current as of `seen`.
    fn mark_current(&mut self, seen: Timestamp) {
        self.seen = Some(seen);
        self.sends_digest = false;
        self.needs_full_list = false;
    }
}
