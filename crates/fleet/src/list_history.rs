//! History of a member's recent lists, so that a process with an earlier list gets only the
//! changes.

use crate::attribute_history::AttributeHistory;
use crate::backend_list::{BackendChanges, BackendList, ListDigest};
use crate::incarnation::{KnownIncarnations, ReplicaIncarnation};
use crate::list_copy::{BackendReport, BackendUpdate, KnownList, ListCopy};
use crate::software_version::{KnownReplicaVersions, ReplicaVersion};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The history holds at most one changed replica per this number of replicas in the list. A process
/// whose list is older gets a patch by digest, which is then hardly larger.
const HISTORY_DIVISOR: usize = 2;

/// Number of replicas that the history may always hold, however short the list is.
const MIN_HISTORY_ENTRIES: usize = 64;

/// A member's copy of the list, and the changes that led to it. The changes contain at most half as
/// many replicas as the list, or a small fixed number if the list is short. The cache of merged
/// changes adds to that: it has one entry for each earlier list that was requested, and is cleared
/// when the list changes.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    copy: ListCopy,
    /// Recent consecutive changes: the base of each is the result of its predecessor.
    steps: VecDeque<Arc<BackendChanges>>,
    /// Total number of replicas in `steps`.
    entries: usize,
    /// Merged changes from earlier lists to the current one, cached by the earlier list's
    /// fingerprint.
    merged: BTreeMap<u64, Arc<BackendChanges>>,
    incarnations: AttributeHistory<ReplicaIncarnation>,
    versions: AttributeHistory<ReplicaVersion>,
}

impl ListHistory {
    /// Returns the current copy.
    #[must_use]
    pub fn copy(&self) -> &ListCopy {
        &self.copy
    }

    /// Replaces the list with one that was just read.
    pub fn replace(&mut self, list: BackendList, seen: Timestamp) {
        let changes = self.copy.replace(list, seen);
        self.record(changes);
    }

    /// Applies another member's report.
    pub fn follow(&mut self, report: BackendReport, now: Timestamp) {
        let changes = self.copy.follow(report, now);
        self.record(changes);
    }

    /// Merges incarnations received from another member.
    pub fn merge_incarnations(&mut self, received: &[ReplicaIncarnation]) {
        let changes = self.copy.merge_incarnations(received);
        self.record(changes);
    }

    /// Returns the incarnations that the requester lacks, sent in addition to the list update;
    /// `None` if it lacks none. The full set is sent only to a requester that will have this list:
    /// another one may know newer incarnations.
    #[must_use]
    pub fn incarnations_after(
        &self,
        known: KnownIncarnations,
        will_have_this_list: bool,
    ) -> Option<Vec<ReplicaIncarnation>> {
        let list = self.copy.list();
        if list.incarnation_sum() == known.sum {
            return None;
        }
        let since = self.incarnations.since(known.sum);
        let all = || will_have_this_list.then(|| list.incarnations());
        since.or_else(all).filter(|lacking| !lacking.is_empty())
    }

    /// Merges software versions received from another member.
    pub fn merge_versions(&mut self, received: &[ReplicaVersion]) {
        let changes = self.copy.merge_versions(received);
        self.record(changes);
    }

    /// Returns the software versions that the requester lacks, under the same conditions as
    /// [`ListHistory::incarnations_after`].
    #[must_use]
    pub fn versions_after(
        &self,
        known: KnownReplicaVersions,
        will_have_this_list: bool,
    ) -> Option<Vec<ReplicaVersion>> {
        let list = self.copy.list();
        if list.version_sum() == known.sum {
            return None;
        }
        let since = self.versions.since(known.sum);
        let all = || will_have_this_list.then(|| list.versions());
        since.or_else(all).filter(|lacking| !lacking.is_empty())
    }

    fn record(&mut self, changes: Option<BackendChanges>) {
        let Some(changes) = changes else { return };
        self.incarnations.record(self.copy.list(), &changes);
        self.versions.record(self.copy.list(), &changes);
        if changes.base == changes.result {
            return;
        }
        self.merged.clear();
        self.entries += changes.len();
        self.steps.push_back(Arc::new(changes));
        let max_entries = (self.copy.list().len() / HISTORY_DIVISOR).max(MIN_HISTORY_ENTRIES);
        while self.entries > max_entries {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.entries -= oldest.len();
        }
    }

    /// Returns the report for a requester; `None` if there is no list here, or the requester's is
    /// newer.
    #[must_use]
    pub fn report(&mut self, known: &KnownList, now: Timestamp) -> Option<BackendReport> {
        let age = self.copy.age(now)?;
        let fingerprint = self.copy.list().fingerprint();
        let is_same = known.age.is_some() && known.fingerprint == fingerprint;
        if !is_same && !ListCopy::is_newer(age, known) {
            return None;
        }
        let update = match (is_same, known.age, &known.digest) {
            (true, _, _) => BackendUpdate::None,
            (false, None, _) => BackendUpdate::Whole(Arc::clone(self.copy.list())),
            (false, Some(_), digest) => self.update_from(known.fingerprint, digest.as_ref()),
        };
        Some(BackendReport {
            fingerprint,
            age,
            update,
        })
    }

    fn update_from(&mut self, fingerprint: u64, digest: Option<&ListDigest>) -> BackendUpdate {
        if let Some(changes) = self.changes_from(fingerprint) {
            return BackendUpdate::Changes(changes);
        }
        let Some(digest) = digest else {
            return BackendUpdate::Unknown;
        };
        let list = self.copy.list();
        list.patch_for(digest).map_or_else(
            || BackendUpdate::Whole(Arc::clone(list)),
            BackendUpdate::Patch,
        )
    }

    fn changes_from(&mut self, fingerprint: u64) -> Option<Arc<BackendChanges>> {
        if let Some(changes) = self.merged.get(&fingerprint) {
            return Some(Arc::clone(changes));
        }
        // The same list may have been current several times: the latest occurrence gives the
        // fewest changes.
        let first = self
            .steps
            .iter()
            .rposition(|step| step.base == fingerprint)?;
        let steps = self.steps.iter().skip(first);
        let changes = Arc::new(BackendChanges::merged(steps.map(AsRef::as_ref)));
        self.merged.insert(fingerprint, Arc::clone(&changes));
        Some(changes)
    }

    /// Returns true if the update for a requester may be as large as the list itself.
    #[must_use]
    pub fn needs_large_update(&self, known: &KnownList) -> bool {
        let has_none = known.age.is_none() && self.copy.seen().is_some();
        has_none || known.digest.is_some()
    }

    /// Returns true if this list is newer than the requester's and differs from it.
    #[must_use]
    pub fn has_update_for(&self, known: &KnownList, now: Timestamp) -> bool {
        let Some(age) = self.copy.age(now) else {
            return false;
        };
        let is_same = known.age.is_some() && known.fingerprint == self.copy.list().fingerprint();
        !is_same && ListCopy::is_newer(age, known)
    }
}
