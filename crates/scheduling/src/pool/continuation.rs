//! Replicas that may continue a stream which another replica or request began.

use super::index::ServiceIndex;
use super::{Candidate, Pool};
use luglink_fleet::{Backend, BackendChanges, BackendId, StreamOrigin};
use luglink_types::Timestamp;
use std::time::Duration;

impl Pool {
    /// Sets the time after the first list that shows a replica as draining during which the replica
    /// still gets streams that no other one may continue. Without it, it gets none.
    pub fn set_draining_continuation(&mut self, limit: Duration) {
        self.draining_continuation = limit;
    }

    /// Records the replicas that begin to drain by `changes`, which are about to be applied. `seen`
    /// is the time at which their list was read. A replica that the pool has only known as draining
    /// is not recorded: it may have begun to drain long ago.
    pub fn note_draining(&mut self, changes: &BackendChanges, seen: Timestamp) {
        for changed in &changes.changed {
            if !changed.draining {
                self.draining_since.remove(&changed.id);
            } else if self.usable(&changed.id).is_some() {
                self.draining_since.insert(changed.id.clone(), seen);
            }
        }
    }

    /// Returns true if a replica may get requests that continue a stream.
    #[must_use]
    pub fn has_continuation(&self, origin: &StreamOrigin, now: Timestamp) -> bool {
        let service = self.services.get(&origin.service);
        let usable = service.into_iter().flat_map(ServiceIndex::usable);
        let mut usable = usable.filter_map(|id| self.backends.get(id));
        usable.any(|backend| origin.may_continue_at(backend))
            || self
                .draining(now)
                .any(|backend| origin.may_continue_at(backend))
    }

    /// Returns the replicas that may continue a stream: draining ones only if there is no other.
    /// Compares all replicas of the service: few requests continue a stream, and few replicas may
    /// have its version.
    pub(super) fn continuing_candidates<'pool>(
        &'pool self,
        service: &'pool ServiceIndex,
        tried: &[BackendId],
        origin: &StreamOrigin,
        now: Timestamp,
    ) -> Vec<Candidate<'pool>> {
        let may_continue =
            |backend: &&Backend| origin.may_continue_at(backend) && !tried.contains(&backend.id);
        let usable = service.usable().filter_map(|id| self.backends.get(id));
        let mut candidates: Vec<&Backend> = usable.filter(may_continue).collect();
        if candidates.is_empty() {
            candidates = self.draining(now).filter(may_continue).collect();
        }
        let candidates = candidates.into_iter();
        candidates
            .map(|backend| self.with_record(backend))
            .collect()
    }

    /// Returns the replicas that have begun to drain recently.
    fn draining(&self, now: Timestamp) -> impl Iterator<Item = &Backend> {
        let limit = self.draining_continuation;
        let draining = self.draining_since.iter();
        let recent = draining.filter(move |(_, since)| now.since(**since) < limit);
        recent.filter_map(|(id, _)| self.backends.get(id))
    }
}
