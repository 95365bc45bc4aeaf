//! What a member remembers of the lists before its own, so that those who have one of them are
//! told what has changed.

use crate::backend_list::{BackendChanges, BackendList, ListDigest};
use crate::incarnation::{IncarnationHistory, KnownIncarnations, ReplicaIncarnation};
use crate::list_copy::{BackendReport, BackendUpdate, KnownList, ListCopy};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Part of the list that the remembered changes may come to together. Whoever lacks more is sent
/// the parts in which its list differs, which is then hardly more.
const REMEMBERED_PART: usize = 2;

/// Changes that are remembered however short the list is.
const REMEMBERED_AT_LEAST: usize = 64;

/// A member's copy of the list, and the changes that led to it. It takes no more memory than two
/// lists, however many changes there are and however many ask.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    copy: ListCopy,
    /// The latest changes, each from the result of the one before it.
    steps: VecDeque<Arc<BackendChanges>>,
    /// Replicas that `steps` name together.
    remembered: usize,
    /// Changes from earlier lists to this one, worked out once for all who have them.
    merged: BTreeMap<u64, Arc<BackendChanges>>,
    incarnations: IncarnationHistory,
}

impl ListHistory {
    /// The copy.
    #[must_use]
    pub fn copy(&self) -> &ListCopy {
        &self.copy
    }

    /// Takes a list that was just read.
    pub fn replace(&mut self, list: BackendList, seen: Timestamp) {
        let changes = self.copy.replace(list, seen);
        self.remember(changes);
    }

    /// Takes another member's report.
    pub fn follow(&mut self, report: BackendReport, now: Timestamp) {
        let changes = self.copy.follow(report, now);
        self.remember(changes);
    }

    /// Takes incarnations that another member knows.
    pub fn merge_incarnations(&mut self, told: &[ReplicaIncarnation]) {
        let changes = self.copy.merge_incarnations(told);
        self.remember(changes);
    }

    /// What an asker lacks of the incarnations, beside what it is told of the list; `None` when
    /// there is nothing to tell. All of them are told only to one that has this list then: another
    /// one may know newer ones.
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
        let since = self.incarnations.since(known);
        let all = || will_have_this_list.then(|| list.incarnations());
        since.or_else(all).filter(|lacking| !lacking.is_empty())
    }

    fn remember(&mut self, changes: Option<BackendChanges>) {
        let Some(changes) = changes else { return };
        self.incarnations.note(self.copy.list(), &changes);
        if changes.base == changes.result {
            return;
        }
        self.merged.clear();
        self.remembered += changes.len();
        self.steps.push_back(Arc::new(changes));
        let allowed = (self.copy.list().len() / REMEMBERED_PART).max(REMEMBERED_AT_LEAST);
        while self.remembered > allowed {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.remembered -= oldest.len();
        }
    }

    /// What an asker is told; `None` when there is no list, or its own is newer.
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
        // A list may have come back: the latest changes from it are the fewest.
        let first = self
            .steps
            .iter()
            .rposition(|step| step.base == fingerprint)?;
        let steps = self.steps.iter().skip(first);
        let changes = Arc::new(BackendChanges::merged(steps.map(AsRef::as_ref)));
        self.merged.insert(fingerprint, Arc::clone(&changes));
        Some(changes)
    }

    /// Whether what an asker lacks may be as large as the list itself.
    #[must_use]
    pub fn needs_large_update(&self, known: &KnownList) -> bool {
        let has_none = known.age.is_none() && self.copy.seen().is_some();
        has_none || known.digest.is_some()
    }

    /// Whether this list is news for an asker.
    #[must_use]
    pub fn has_update_for(&self, known: &KnownList, now: Timestamp) -> bool {
        let Some(age) = self.copy.age(now) else {
            return false;
        };
        let is_same = known.age.is_some() && known.fingerprint == self.copy.list().fingerprint();
        !is_same && ListCopy::is_newer(age, known)
    }
}
