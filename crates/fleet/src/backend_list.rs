//! The full list of replicas, and differences between two lists.
//!
//! A list may contain ten thousand replicas, and every gateway holds one. So the cost of applying
//! a change and of comparing two lists is proportional to the change. Only when the difference
//! between two lists is no longer in the history does the comparison need a digest of the list.

use crate::backend::{Backend, BackendId};
use crate::incarnation::{Incarnation, ReplicaIncarnation};
use crate::software_version::ReplicaVersion;
use serde::{Deserialize, Serialize};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Approximate number of replicas per bucket of a digest. A bucket that differs is sent in full:
/// smaller buckets make the digest larger, larger buckets make the patch larger.
const REPLICAS_PER_BUCKET: usize = 32;

/// Maximum number of buckets of a digest, enough for two million replicas. A digest with more is
/// rejected as corrupt.
const MAX_BUCKETS: usize = 1 << 16;

/// All replicas, as of one read of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BackendList {
    backends: BTreeMap<BackendId, Backend>,
    /// Sum of the hashes of all replicas. It does not depend on their order, so that a change of
    /// one replica updates it.
    sum: u64,
    /// Sum of the hashes of all known incarnations.
    incarnation_sum: u64,
    /// Sum of the hashes of all known software versions.
    version_sum: u64,
    /// Number of replicas whose software version is known.
    versions_known: usize,
}

impl BackendList {
    /// Creates a list. A replica may occur on several pages: the latest incarnation wins, and is
    /// draining if any of its entries says so.
    #[must_use]
    pub fn new(backends: Vec<Backend>) -> Self {
        let mut list = Self::default();
        for backend in backends {
            let is_outdated = list.backends.get(&backend.id).is_some_and(|known| {
                let is_earlier_incarnation = known.incarnation > backend.incarnation;
                let is_known_to_drain = known.draining && known.incarnation == backend.incarnation;
                is_earlier_incarnation || is_known_to_drain
            });
            if !is_outdated {
                list.put(backend);
            }
        }
        list
    }

    /// Returns the replicas, ordered by identifier.
    pub fn backends(&self) -> impl ExactSizeIterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns the number of replicas.
    #[must_use]
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns true if the list has no replicas.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Returns a hash of the list, without incarnations and software versions.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        xxh3_64_with_seed(&self.sum.to_le_bytes(), self.backends.len() as u64)
    }

    /// Returns the sum of the hashes of all known incarnations, which identifies them.
    #[must_use]
    pub fn incarnation_sum(&self) -> u64 {
        self.incarnation_sum
    }

    fn put(&mut self, mut backend: Backend) {
        if let Some(known) = self.backends.get(&backend.id) {
            backend.complete_from(known);
        }
        let incarnation = backend.incarnation_hash();
        self.incarnation_sum = self.incarnation_sum.wrapping_add(incarnation);
        self.version_sum = self.version_sum.wrapping_add(backend.version_hash());
        self.versions_known += usize::from(backend.version.is_some());
        self.sum = self.sum.wrapping_add(backend.hash_value());
        match self.backends.entry(backend.id.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(backend);
            }
            Entry::Occupied(mut entry) => {
                let previous = entry.insert(backend);
                self.subtract(&previous);
            }
        }
    }

    fn remove(&mut self, id: &BackendId) {
        if let Some(previous) = self.backends.remove(id) {
            self.subtract(&previous);
        }
    }

    /// Removes a replica's hashes from the sums.
    fn subtract(&mut self, previous: &Backend) {
        self.sum = self.sum.wrapping_sub(previous.hash_value());
        let incarnation = previous.incarnation_hash();
        self.incarnation_sum = self.incarnation_sum.wrapping_sub(incarnation);
        self.version_sum = self.version_sum.wrapping_sub(previous.version_hash());
        self.versions_known -= usize::from(previous.version.is_some());
    }

    /// Returns the sum of the hashes of all known software versions, which identifies them.
    #[must_use]
    pub fn version_sum(&self) -> u64 {
        self.version_sum
    }

    /// Returns true if the software version of any replica is not known.
    #[must_use]
    pub fn lacks_versions(&self) -> bool {
        self.versions_known < self.len()
    }

    /// Returns the software version of a replica, if it is known.
    #[must_use]
    pub fn version_of(&self, id: &BackendId) -> Option<ReplicaVersion> {
        self.backends.get(id)?.replica_version()
    }

    /// Returns all known software versions.
    #[must_use]
    pub fn versions(&self) -> Vec<ReplicaVersion> {
        let backends = self.backends.values();
        backends.filter_map(Backend::replica_version).collect()
    }

    /// Updates listed replicas of which another process knows a software version of the same or a
    /// later incarnation. Returns the replicas that have changed.
    pub(crate) fn merge_versions(&mut self, received: &[ReplicaVersion]) -> Vec<Backend> {
        let mut changed = Vec::new();
        for received in received {
            let Some(known) = self.backends.get(&received.replica) else {
                continue;
            };
            let is_outdated = received.incarnation < known.incarnation;
            if is_outdated || known.replica_version().as_ref() == Some(received) {
                continue;
            }
            let mut backend = known.clone();
            backend.incarnation = received.incarnation;
            backend.version = Some(received.version.clone());
            changed.push(backend.clone());
            self.put(backend);
        }
        changed
    }

    /// Fills in the incarnations and software versions that `earlier` knows and this list does
    /// not.
    pub(crate) fn complete_from(&mut self, earlier: &Self) {
        for known in earlier.backends() {
            let Some(listed) = self.backends.get(&known.id) else {
                continue;
            };
            let mut backend = listed.clone();
            backend.complete_from(known);
            if backend != *listed {
                self.put(backend);
            }
        }
    }

    /// Returns the incarnation of a replica, if it is known.
    #[must_use]
    pub fn incarnation_of(&self, id: &BackendId) -> Option<ReplicaIncarnation> {
        let backend = self.backends.get(id)?;
        (backend.incarnation != Incarnation::UNKNOWN).then(|| ReplicaIncarnation {
            replica: id.clone(),
            incarnation: backend.incarnation,
        })
    }

    /// Returns all known incarnations.
    #[must_use]
    pub fn incarnations(&self) -> Vec<ReplicaIncarnation> {
        let ids = self.backends.keys();
        ids.filter_map(|id| self.incarnation_of(id)).collect()
    }

    /// Returns the listed replica if its known incarnation is earlier than the received one.
    fn older_than(&self, received: &ReplicaIncarnation) -> Option<&Backend> {
        let known = self.backends.get(&received.replica);
        known.filter(|known| known.incarnation < received.incarnation)
    }

    /// Returns true if any of the received incarnations is later than the known one.
    pub(crate) fn lacks_any(&self, received: &[ReplicaIncarnation]) -> bool {
        received
            .iter()
            .any(|received| self.older_than(received).is_some())
    }

    /// Updates listed replicas for which a later incarnation was received. Returns the replicas
    /// that have changed.
    pub(crate) fn merge_incarnations(&mut self, received: &[ReplicaIncarnation]) -> Vec<Backend> {
        let mut changed = Vec::new();
        for received in received {
            let Some(mut backend) = self.older_than(received).cloned() else {
                continue;
            };
            // The version belongs to the earlier incarnation.
            backend.version = None;
            backend.incarnation = received.incarnation;
            changed.push(backend.clone());
            self.put(backend);
        }
        changed
    }

    /// Returns the changes that turn this list into `newer`.
    #[must_use]
    pub fn changes_to(&self, newer: &Self) -> BackendChanges {
        let is_changed = |backend: &&Backend| self.backends.get(&backend.id) != Some(*backend);
        let changed = newer.backends().filter(is_changed).cloned().collect();
        let is_removed = |id: &&BackendId| !newer.backends.contains_key(*id);
        let removed = self.backends.keys().filter(is_removed).cloned().collect();
        BackendChanges {
            base: self.fingerprint(),
            result: newer.fingerprint(),
            changed,
            removed,
        }
    }

    /// Applies changes. Returns false, without any effect, if their base is another list.
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

    /// Returns a digest from which another process finds the buckets that differ from its list.
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

    /// Returns the patch that turns a list with the given digest into this one; `None` if the
    /// digest is invalid.
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
        let is_differing =
            |backend: &&Backend| differing.contains(&bucket_of(&backend.id, buckets));
        Some(BackendPatch {
            result: self.fingerprint(),
            buckets: buckets as u32,
            backends: self.backends().filter(is_differing).cloned().collect(),
            replaced: differing.into_iter().map(|bucket| bucket as u32).collect(),
        })
    }

    /// Returns the list after a patch; `None` if the patch was made for another digest, or if a
    /// difference was missed because two different replicas have the same truncated hash.
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

/// Returns the bucket of a replica. `buckets` is a power of two.
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

/// Difference between two lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendChanges {
    /// Fingerprint of the list to which the changes apply.
    pub base: u64,
    /// Fingerprint of the resulting list.
    pub result: u64,
    /// Replicas that were added or changed.
    pub changed: Vec<Backend>,
    /// Replicas that were removed.
    pub removed: Vec<BackendId>,
}

impl BackendChanges {
    /// Returns the number of replicas in the changes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Returns true if there are no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Merges consecutive changes. Each replica occurs once in the result.
    pub fn merged<'steps>(steps: impl IntoIterator<Item = &'steps Self>) -> Self {
        // The final state of each replica; `None` if it was removed.
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

/// Truncated sums of the hashes of a list's replicas, one for each bucket of identifiers. The
/// number of buckets is a power of two.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest(Vec<u32>);

/// The buckets in which a list differs from another one, with all their replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendPatch {
    /// Fingerprint of the resulting list.
    pub result: u64,
    /// Number of buckets of the digest for which the patch was made.
    buckets: u32,
    /// Buckets that differ.
    replaced: Vec<u32>,
    /// All replicas in these buckets.
    backends: Vec<Backend>,
}

impl BackendPatch {
    /// Returns the number of replicas in the patch.
    #[must_use]
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Returns true if the patch has no replicas. It may still remove replicas by emptying buckets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }
}
