//! Replicas that may continue a stream which another replica or request began.

use super::index::ServiceIndex;
use super::{Candidate, Pool, RoutingRequest};
use luglink_fleet::{Backend, BackendChanges, BackendId, StreamOrigin};
use luglink_types::Timestamp;
use std::time::Duration;

/// Ratio of the time for which a draining replica gets its own streams again to that for which it gets those of
/// others.
const OWN_STREAM_RATIO: u32 = 2;

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

    /// Returns true if a replica has drained for so long that it may get no request any more, not even for
    /// a stream that it has begun itself.
    #[must_use]
    pub fn has_drained(&self, id: &BackendId, now: Timestamp) -> bool {
        let is_draining = |backend: &Backend| backend.draining;
        if !self.backends.get(id).is_some_and(is_draining) {
            return false;
        }
        let limit = self.draining_continuation * OWN_STREAM_RATIO;
        let since = self.draining_since.get(id);
        since.is_none_or(|since| now.since(*since) >= limit)
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

    /// Returns the replicas that may continue a stream: those of the few that are compared for any
    /// request, or else all others of the service, or else draining ones.
    pub(super) fn continuing_candidates<'pool>(
        &'pool self,
        service: &'pool ServiceIndex,
        request: &RoutingRequest<'_>,
        origin: &StreamOrigin,
        now: Timestamp,
    ) -> Vec<Candidate<'pool>> {
        let mut compared = self.compared_candidates(service, request);
        compared.retain(|candidate| origin.may_continue_at(candidate.backend));
        let is_healthy = |candidate: &Candidate<'_>| candidate.record.ejected_until <= now;
        if compared.iter().any(is_healthy) {
            return compared;
        }
        let may_continue = |backend: &&Backend| {
            origin.may_continue_at(backend) && !request.tried.contains(&backend.id)
        };
        let usable = service.usable().filter_map(|id| self.backends.get(id));
        let mut others: Vec<&Backend> = usable.filter(may_continue).collect();
        if others.is_empty() {
            others = self.draining(now).filter(may_continue).collect();
        }
        let others = others.into_iter();
        others.map(|backend| self.with_record(backend)).collect()
    }

    /// Returns the replicas that have begun to drain recently.
    fn draining(&self, now: Timestamp) -> impl Iterator<Item = &Backend> {
        let limit = self.draining_continuation;
        let draining = self.draining_since.iter();
        let recent = draining.filter(move |(_, since)| now.since(**since) < limit);
        recent.filter_map(|(id, _)| self.backends.get(id))
    }
}
