//! Lives of replicas: a replica may start again under its old identifier.
//!
//! Builds that know nothing of incarnations read the same lists, and compare them by the same
//! fingerprints. So a replica's incarnation is no part of how a list is laid out or hashed; it
//! travels behind the list, for those who ask for it, and is compared by a sum of its own.

use crate::backend::BackendId;
use crate::backend_list::{BackendChanges, BackendList};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Incarnations that are remembered for those who lack some, however short the list is.
const REMEMBERED_AT_LEAST: usize = 64;

/// Part of the list that the remembered incarnations may come to.
const REMEMBERED_PART: usize = 2;

/// One life of a replica: the Unix millisecond of its start; 0 when that was not told. A later
/// life has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Of a replica that does not say when it started.
    pub const UNKNOWN: Self = Self(0);

    /// Whether this is a later life than `other`, as far as both are known.
    #[must_use]
    pub fn is_after(self, other: Self) -> bool {
        other != Self::UNKNOWN && self > other
    }
}

/// A replica and its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIncarnation {
    /// The replica.
    pub replica: BackendId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// What a process says of the incarnations that it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnations {
    /// Sum over its list, see [`BackendList::incarnation_sum`].
    pub sum: u64,
}

/// What a member remembers of incarnations that became known lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncarnationHistory {
    /// Each from the sum that the one before it led to.
    steps: VecDeque<IncarnationStep>,
    /// Incarnations in all steps together.
    remembered: usize,
    sum: u64,
}

#[derive(Clone, Debug)]
struct IncarnationStep {
    base: u64,
    changed: Vec<ReplicaIncarnation>,
}

impl IncarnationHistory {
    /// Notes that `changes` have led to `list`.
    pub(crate) fn note(&mut self, list: &BackendList, changes: &BackendChanges) {
        let sum = list.incarnation_sum();
        if sum == self.sum {
            return;
        }
        let ids = changes.changed.iter().map(|backend| &backend.id);
        let changed: Vec<ReplicaIncarnation> =
            ids.filter_map(|id| list.incarnation_of(id)).collect();
        self.remembered += changed.len();
        let base = std::mem::replace(&mut self.sum, sum);
        self.steps.push_back(IncarnationStep { base, changed });
        let allowed = (list.len() / REMEMBERED_PART).max(REMEMBERED_AT_LEAST);
        while self.remembered > allowed || self.steps.len() > allowed {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.remembered -= oldest.changed.len();
        }
    }

    /// What someone lacks of a list's incarnations; `None` when they know all, or when nobody
    /// remembers what they have.
    pub(crate) fn since(&self, known: KnownIncarnations) -> Option<Vec<ReplicaIncarnation>> {
        let first = self.steps.iter().rposition(|step| step.base == known.sum)?;
        let steps = self.steps.iter().skip(first);
        let latest: BTreeMap<&BackendId, Incarnation> = steps
            .flat_map(|step| &step.changed)
            .map(|changed| (&changed.replica, changed.incarnation))
            .collect();
        let latest = latest.into_iter().map(|(replica, incarnation)| {
            let replica = replica.clone();
            ReplicaIncarnation {
                replica,
                incarnation,
            }
        });
        Some(latest.collect())
    }
}
