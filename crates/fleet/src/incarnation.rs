//! Incarnations of replicas: a replica may restart under its old identifier.
//!
//! Builds without incarnations decode the same lists and compare the same fingerprints. So the
//! incarnation of a replica is not part of a list's encoding and hash. It is sent after the list to
//! processes that request it, and compared by a separate sum.

use crate::backend::BackendId;
use crate::backend_list::{BackendChanges, BackendList};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Number of incarnations that the history may always hold, however short the list is.
const MIN_HISTORY_ENTRIES: usize = 64;

/// The history holds at most one incarnation per this number of replicas in the list.
const HISTORY_DIVISOR: usize = 2;

/// One run of a replica, identified by its start time in Unix milliseconds; 0 if that is unknown.
/// A later run has a higher value.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Incarnation of a replica that does not report its start time.
    pub const UNKNOWN: Self = Self(0);

    /// Returns true if both incarnations are known and this one is later than `other`.
    #[must_use]
    pub fn is_after(self, other: Self) -> bool {
        other != Self::UNKNOWN && self > other
    }
}

/// Incarnation of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIncarnation {
    /// The replica.
    pub replica: BackendId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Summary of the incarnations that a process knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnations {
    /// Incarnation sum of its list, see [`BackendList::incarnation_sum`].
    pub sum: u64,
}

/// History of recently learned incarnations, kept by a control member.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncarnationHistory {
    /// Consecutive steps: each one starts from the sum that its predecessor produced.
    steps: VecDeque<IncarnationStep>,
    /// Total number of incarnations in all steps.
    entries: usize,
    sum: u64,
}

#[derive(Clone, Debug)]
struct IncarnationStep {
    /// Incarnation sum before the step.
    base: u64,
    changed: Vec<ReplicaIncarnation>,
}

impl IncarnationHistory {
    /// Records that `changes` produced `list`.
    pub(crate) fn record(&mut self, list: &BackendList, changes: &BackendChanges) {
        let sum = list.incarnation_sum();
        if sum == self.sum {
            return;
        }
        let ids = changes.changed.iter().map(|backend| &backend.id);
        let changed: Vec<ReplicaIncarnation> =
            ids.filter_map(|id| list.incarnation_of(id)).collect();
        self.entries += changed.len();
        let base = std::mem::replace(&mut self.sum, sum);
        self.steps.push_back(IncarnationStep { base, changed });
        let max_entries = (list.len() / HISTORY_DIVISOR).max(MIN_HISTORY_ENTRIES);
        while self.entries > max_entries || self.steps.len() > max_entries {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.entries -= oldest.changed.len();
        }
    }

    /// Returns the incarnations learned since a process had the known ones; `None` if it knows all
    /// of them, or if its sum is not in the history.
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
