//! History of a replica attribute that is sent after the list instead of in it.

use crate::backend::BackendId;
use crate::backend_list::{BackendChanges, BackendList};
use std::collections::{BTreeMap, VecDeque};

/// Number of attributes that a history may always hold, however short the list is.
const MIN_HISTORY_ENTRIES: usize = 64;

/// A history holds at most one attribute per this number of replicas in the list.
const HISTORY_DIVISOR: usize = 2;

/// Attribute of one replica that builds without it neither encode nor compare.
pub(crate) trait ReplicaAttribute: Clone {
    /// Returns the sum over all known attributes of a list, which identifies them.
    fn sum_of(list: &BackendList) -> u64;

    /// Returns the attribute of a listed replica, if it is known.
    fn of(list: &BackendList, replica: &BackendId) -> Option<Self>;

    /// Returns the replica that has the attribute.
    fn replica(&self) -> &BackendId;
}

/// History of recently learned attributes, kept by a control member.
#[derive(Clone, Debug)]
pub(crate) struct AttributeHistory<Attribute> {
    /// Consecutive steps: each one starts from the sum that its predecessor produced.
    steps: VecDeque<AttributeStep<Attribute>>,
    /// Total number of attributes in all steps.
    entries: usize,
    sum: u64,
}

#[derive(Clone, Debug)]
struct AttributeStep<Attribute> {
    /// Sum before the step.
    base: u64,
    changed: Vec<Attribute>,
}

impl<Attribute> Default for AttributeHistory<Attribute> {
    fn default() -> Self {
        Self {
            steps: VecDeque::new(),
            entries: 0,
            sum: 0,
        }
    }
}

impl<Attribute: ReplicaAttribute> AttributeHistory<Attribute> {
    /// Records that `changes` produced `list`.
    pub(crate) fn record(&mut self, list: &BackendList, changes: &BackendChanges) {
        let sum = Attribute::sum_of(list);
        if sum == self.sum {
            return;
        }
        let ids = changes.changed.iter().map(|backend| &backend.id);
        let changed: Vec<Attribute> = ids.filter_map(|id| Attribute::of(list, id)).collect();
        self.entries += changed.len();
        let base = std::mem::replace(&mut self.sum, sum);
        self.steps.push_back(AttributeStep { base, changed });
        let max_entries = (list.len() / HISTORY_DIVISOR).max(MIN_HISTORY_ENTRIES);
        while self.entries > max_entries || self.steps.len() > max_entries {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.entries -= oldest.changed.len();
        }
    }

    /// Returns the attributes learned since a process had those with the sum `known`; `None` if
    /// that sum is not in the history.
    pub(crate) fn since(&self, known: u64) -> Option<Vec<Attribute>> {
        let first = self.steps.iter().rposition(|step| step.base == known)?;
        let steps = self.steps.iter().skip(first);
        let latest: BTreeMap<&BackendId, &Attribute> = steps
            .flat_map(|step| &step.changed)
            .map(|changed| (changed.replica(), changed))
            .collect();
        Some(latest.into_values().cloned().collect())
    }
}
