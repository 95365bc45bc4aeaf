//! The whole list of replicas, and what differs between two of them.
//!
//! A list may name ten thousand replicas, and every gateway holds one. So whatever is done for each
//! change (taking it, and knowing whether two lists are the same) costs what has changed, and
//! what is done for two lists whose difference nobody remembers costs a digest.

use crate::backend::{Backend, BackendId};
use crate::incarnation::{Incarnation, ReplicaIncarnation};
use serde::{Deserialize, Serialize};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Replicas in one bucket of a digest, about. A bucket that differs is sent whole: with fewer in
/// each the digest grows, with more what is sent for a change does.
const REPLICAS_PER_BUCKET: usize = 32;

/// Most buckets of a digest: of two million replicas. More is taken for damage.
const MAX_BUCKETS: usize = 1 << 16;

/// All replicas, as one look at the platform's list showed them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendList {
    backends: BTreeMap<BackendId, Backend>,
    /// Sum of the hashes of all replicas: a change takes its own from it, in any order.
    sum: u64,
    /// The same of what is known of their incarnations.
    incarnation_sum: u64,
}

impl BackendList {
    /// A list. A page that was read later may name a replica again: its latest life counts, and
    /// that one is leaving when one of the entries says so.
    #[must_use]
    pub fn new(backends: Vec<Backend>) -> Self {
        let mut list = Self::default();
        for backend in backends {
            let is_outdated = list.backends.get(&backend.id).is_some_and(|known| {
                let is_earlier_life = known.incarnation > backend.incarnation;
                let is_known_to_leave = known.draining && known.incarnation == backend.incarnation;
                is_earlier_life || is_known_to_leave
            });
            if !is_outdated {
                list.put(backend);
            }
        }
        list
    }

    /// The replicas, by their identifiers.
    pub fn backends(&self) -> impl ExactSizeIterator<Item = &Backend> {
        self.backends.values()
    }

    /// Number of replicas.
    #[must_use]
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Whether there is no replica.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Differs between lists that differ.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        xxh3_64_with_seed(&self.sum.to_le_bytes(), self.backends.len() as u64)
    }

    /// Sum over what is known of the replicas' incarnations; differs between lists that differ in
    /// them.
    #[must_use]
    pub fn incarnation_sum(&self) -> u64 {
        self.incarnation_sum
    }

    fn put(&mut self, mut backend: Backend) {
        if let Some(known) = self.backends.get(&backend.id) {
            backend.incarnation = backend.incarnation.max(known.incarnation);
        }
        let incarnation = backend.incarnation_hash();
        self.incarnation_sum = self.incarnation_sum.wrapping_add(incarnation);
        self.sum = self.sum.wrapping_add(backend.hash_value());
        match self.backends.entry(backend.id.clone()) {
            Entry::Vacant(place) => {
                place.insert(backend);
            }
            Entry::Occupied(mut place) => {
                let before = place.insert(backend);
                self.take_off(&before);
            }
        }
    }

    fn remove(&mut self, id: &BackendId) {
        if let Some(before) = self.backends.remove(id) {
            self.take_off(&before);
        }
    }

    fn take_off(&mut self, before: &Backend) {
        self.sum = self.sum.wrapping_sub(before.hash_value());
        let incarnation = before.incarnation_hash();
        self.incarnation_sum = self.incarnation_sum.wrapping_sub(incarnation);
    }

    /// What is known of the incarnation of a replica.
    #[must_use]
    pub fn incarnation_of(&self, id: &BackendId) -> Option<ReplicaIncarnation> {
        let backend = self.backends.get(id)?;
        (backend.incarnation != Incarnation::UNKNOWN).then(|| ReplicaIncarnation {
            replica: id.clone(),
            incarnation: backend.incarnation,
        })
    }

    /// What is known of all incarnations.
    #[must_use]
    pub fn incarnations(&self) -> Vec<ReplicaIncarnation> {
        let ids = self.backends.keys();
        ids.filter_map(|id| self.incarnation_of(id)).collect()
    }

    /// The replica that is told of, when a later life of it is told.
    fn older_than(&self, told: &ReplicaIncarnation) -> Option<&Backend> {
        let known = self.backends.get(&told.replica);
        known.filter(|known| known.incarnation < told.incarnation)
    }

    /// Whether any of these is later than what is known here.
    pub(crate) fn lacks_any(&self, told: &[ReplicaIncarnation]) -> bool {
        told.iter().any(|told| self.older_than(told).is_some())
    }

    /// Takes incarnations of replicas that it names, where they are later than those that it
    /// knows. Returns the replicas that have changed.
    pub(crate) fn merge_incarnations(&mut self, told: &[ReplicaIncarnation]) -> Vec<Backend> {
        let mut changed = Vec::new();
        for told in told {
            let Some(mut backend) = self.older_than(told).cloned() else {
                continue;
            };
            backend.incarnation = told.incarnation;
            changed.push(backend.clone());
            self.put(backend);
        }
        changed
    }

    /// What turns this list into `newer`.
    #[must_use]
    pub fn changes_to(&self, newer: &Self) -> BackendChanges {
        let is_new = |backend: &&Backend| self.backends.get(&backend.id) != Some(*backend);
        let changed = newer.backends().filter(is_new).cloned().collect();
        let is_gone = |id: &&BackendId| !newer.backends.contains_key(*id);
        let removed = self.backends.keys().filter(is_gone).cloned().collect();
        BackendChanges {
            base: self.fingerprint(),
            result: newer.fingerprint(),
            changed,
            removed,
        }
    }

    /// Takes changes. Returns false, and stays as it is, when they start from another list.
    pub fn apply(&mut self, changes: &BackendChanges) -> bool {
        if changes.base != self.fingerprint() {
            return false;
        }
        for id in &changes.removed {
            self.remove(id);
        }
        for backend in &changes.changed {
            self.put(backend.clone());
        }
        true
    }

    /// A digest of this list by which another one finds what differs.
    #[must_use]
    pub fn digest(&self) -> ListDigest {
        let buckets = (self.len() / REPLICAS_PER_BUCKET)
            .next_power_of_two()
            .min(MAX_BUCKETS);
        self.digest_of(buckets)
    }

    fn digest_of(&self, buckets: usize) -> ListDigest {
        let mut sums = vec![0_u64; buckets];
        for backend in self.backends() {
            let sum = &mut sums[bucket_of(&backend.id, buckets)];
            *sum = sum.wrapping_add(backend.hash_value());
        }
        ListDigest(sums.into_iter().map(|sum| (sum >> 32) as u32).collect())
    }

    /// What a list with that digest needs to become this one; `None` when it is no digest.
    #[must_use]
    pub fn patch_for(&self, digest: &ListDigest) -> Option<BackendPatch> {
        let buckets = digest.0.len();
        if !buckets.is_power_of_two() || buckets > MAX_BUCKETS {
            return None;
        }
        let own = self.digest_of(buckets);
        let pairs = own.0.iter().zip(&digest.0).enumerate();
        let differing: BTreeSet<usize> = pairs
            .filter(|(_, (own, other))| own != other)
            .map(|(bucket, _)| bucket)
            .collect();
        let is_in_one = |backend: &&Backend| differing.contains(&bucket_of(&backend.id, buckets));
        Some(BackendPatch {
            result: self.fingerprint(),
            buckets: buckets as u32,
            backends: self.backends().filter(is_in_one).cloned().collect(),
            replaced: differing.into_iter().map(|bucket| bucket as u32).collect(),
        })
    }

    /// The list after a patch; `None` when the patch was for another digest, or two replicas that
    /// differ have the same part of a hash.
    #[must_use]
    pub fn patched(&self, patch: &BackendPatch) -> Option<Self> {
        let buckets = patch.buckets as usize;
        if !buckets.is_power_of_two() {
            return None;
        }
        let replaced: BTreeSet<usize> = patch.replaced.iter().map(|b| *b as usize).collect();
        let mut patched = self.clone();
        for id in self.backends.keys() {
            if replaced.contains(&bucket_of(id, buckets)) {
                patched.remove(id);
            }
        }
        for backend in &patch.backends {
            patched.put(backend.clone());
        }
        (patched.fingerprint() == patch.result).then_some(patched)
    }
}

/// The bucket of a replica among `buckets`, which is a power of two.
fn bucket_of(id: &BackendId, buckets: usize) -> usize {
    (id.stable_hash() as usize) & (buckets - 1)
}

impl Serialize for BackendList {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.backends())
    }
}

impl<'de> Deserialize<'de> for BackendList {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Vec::<Backend>::deserialize(deserializer).map(Self::new)
    }
}

/// The difference between two lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendChanges {
    /// Fingerprint of the list that they start from.
    pub base: u64,
    /// Fingerprint of the list that they lead to.
    pub result: u64,
    /// Replicas that are new or have changed.
    pub changed: Vec<Backend>,
    /// Replicas that are gone.
    pub removed: Vec<BackendId>,
}

impl BackendChanges {
    /// Number of replicas that they name.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Whether they change nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// These changes and those after them as one, each replica named once.
    pub fn merged<'steps>(steps: impl IntoIterator<Item = &'steps Self>) -> Self {
        let mut ends: BTreeMap<&BackendId, Option<&Backend>> = BTreeMap::new();
        let mut base = None;
        let mut result = 0;
        for step in steps {
            base.get_or_insert(step.base);
            result = step.result;
            ends.extend(step.removed.iter().map(|id| (id, None)));
            ends.extend(
                step.changed
                    .iter()
                    .map(|backend| (&backend.id, Some(backend))),
            );
        }
        let removed = ends.iter().filter(|(_, end)| end.is_none());
        Self {
            base: base.unwrap_or_default(),
            result,
            removed: removed.map(|(id, _)| (*id).clone()).collect(),
            changed: ends.values().filter_map(|end| end.cloned()).collect(),
        }
    }
}

/// Parts of hashes of a list's replicas, summed by buckets of their identifiers. The number of
/// buckets is a power of two.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest(Vec<u32>);

/// The buckets in which a list differs from another one, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendPatch {
    /// Fingerprint of the list that it leads to.
    pub result: u64,
    /// Number of buckets of the digest that it answers.
    buckets: u32,
    /// The buckets that differ.
    replaced: Vec<u32>,
    /// All replicas of these buckets.
    backends: Vec<Backend>,
}

impl BackendPatch {
    /// Number of replicas in it.
    #[must_use]
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Whether it has no replica; it may empty buckets all the same.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }
}
