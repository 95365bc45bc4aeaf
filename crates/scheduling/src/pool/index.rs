//! Index of one service's replicas by zone, and of those that this gateway has used.

use super::working_set::WorkingSet;
use super::{CandidateScope, RoutingRequest, ServiceSize};
use luglink_fleet::{Backend, BackendId, SoftwareVersion};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Minimum number of a service's replicas in every zone for programs to stay in their zones, which
/// saves connections and traffic between zones. With fewer, two choices do not balance the load of
/// a zone's few replicas. If only the larger zones kept their programs, their replicas would also
/// get those of the others.
const MIN_REPLICAS_PER_ZONE: usize = 8;

/// Maximum number of a service's replicas that a gateway remembers as used, apart from those that
/// have its requests. Each choice compares all of these, and without a limit a gateway of a large
/// fleet would eventually compare every replica.
const MAX_USED_REPLICAS: usize = 64;

/// Replicas of one service in one zone.
#[derive(Clone, Debug, Default)]
struct ZoneIndex {
    /// Replicas that may get work, in a pseudo-random order that is the same at all gateways, so
    /// that neighbours in it have nothing else in common.
    usable: BTreeSet<(u64, BackendId)>,
    /// Number of listed replicas, including draining ones.
    listed: usize,
}

/// Replicas of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceIndex {
    zones: BTreeMap<String, ZoneIndex>,
    /// Replicas that this gateway has used, including draining ones.
    used: BTreeSet<BackendId>,
    /// The same replicas in the order of their first use.
    used_order: VecDeque<BackendId>,
    /// Number of a zone's replicas that get work, if programs stay in their zones.
    working_set: WorkingSet,
    /// Number of requests that a replica serves concurrently, by the replica added last.
    slots: u32,
    /// Number of listed replicas of each software version, including draining ones.
    versions: BTreeMap<Option<SoftwareVersion>, usize>,
}

impl ServiceIndex {
    pub(super) fn follow_load(&mut self, in_flight: f64, now: Timestamp) {
        self.working_set.follow(in_flight, self.slots, now);
    }

    pub(super) fn grow_working_set(&mut self) {
        self.working_set.grow();
    }

    pub(super) fn add(&mut self, backend: &Backend) {
        let zone = self.zones.entry(backend.zone.clone()).or_default();
        zone.listed += 1;
        self.slots = backend.slots;
        *self.versions.entry(backend.version.clone()).or_default() += 1;
        if !backend.draining {
            zone.usable.insert(index_key(&backend.id));
        }
    }

    pub(super) fn remove(&mut self, backend: &Backend) {
        if let Some(zone) = self.zones.get_mut(&backend.zone) {
            zone.listed -= 1;
            zone.usable.remove(&index_key(&backend.id));
            if zone.listed == 0 {
                self.zones.remove(&backend.zone);
            }
        }
        if let Some(listed) = self.versions.get_mut(&backend.version) {
            *listed -= 1;
            if *listed == 0 {
                self.versions.remove(&backend.version);
            }
        }
        if self.used.remove(&backend.id) {
            self.used_order.retain(|id| *id != backend.id);
        }
    }

    pub(super) fn service_size(&self) -> ServiceSize {
        let usable = self.zones.values().map(|zone| zone.usable.len()).sum();
        ServiceSize {
            usable,
            zones: self.zones.len(),
        }
    }

    /// Returns the software version of all listed replicas, if it is the same and known.
    pub(super) fn sole_version(&self) -> Option<&SoftwareVersion> {
        let mut versions = self.versions.keys();
        let first = versions.next()?.as_ref();
        first.filter(|_| versions.next().is_none())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the replicas that may get any work.
    pub(super) fn usable(&self) -> impl Iterator<Item = &BackendId> {
        let zones = self.zones.values();
        zones.flat_map(|index| index.usable.iter().map(|(_, id)| id))
    }

    /// Returns the replicas that this gateway has used.
    pub(super) fn used(&self) -> impl Iterator<Item = &BackendId> {
        self.used.iter()
    }

    pub(super) fn is_used(&self, id: &BackendId) -> bool {
        self.used.contains(id)
    }

    pub(super) fn note_used(&mut self, id: &BackendId) {
        if self.used.insert(id.clone()) {
            self.used_order.push_back(id.clone());
        }
    }

    /// Removes the idle replica that was used first, if too many are remembered.
    pub(super) fn evict_idle(&mut self, is_idle: impl Fn(&BackendId) -> bool) -> Option<BackendId> {
        if self.used.len() <= MAX_USED_REPLICAS {
            return None;
        }
        // The newest is about to be used.
        let others = self.used_order.len() - 1;
        let position = self.used_order.iter().take(others).position(is_idle)?;
        let evicted = self.used_order.remove(position)?;
        self.used.remove(&evicted);
        Some(evicted)
    }

    /// Returns true if programs of a zone stay in it: it has replicas, and every zone that has any
    /// has enough usable ones.
    fn keeps_programs_local(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
            && self
                .zones
                .values()
                .all(|index| index.usable.len() >= MIN_REPLICAS_PER_ZONE)
    }

    /// Returns the replicas at which programs of a zone may start.
    pub(super) fn in_scope<'index>(
        &'index self,
        zone: &'index str,
        scope: CandidateScope,
    ) -> impl Iterator<Item = &'index BackendId> {
        let keeps_programs_local = self.keeps_programs_local(zone);
        let size = self.working_set.size();
        let (first, count) = match (keeps_programs_local, scope) {
            (false, _) => (0, usize::MAX),
            (true, CandidateScope::Spare) => (size, size),
            (true, CandidateScope::Home | CandidateScope::OtherZones) => (0, size),
        };
        let zones = self.zones.iter().filter(move |(name, _)| {
            let is_home = *name == zone || !keeps_programs_local;
            match scope {
                CandidateScope::Home => is_home,
                CandidateScope::Spare => is_home && keeps_programs_local,
                CandidateScope::OtherZones => !is_home,
            }
        });
        zones.flat_map(move |(_, index)| {
            let ids = index.usable.iter().map(|(_, id)| id);
            ids.skip(first).take(count)
        })
    }

    /// Returns replicas that this gateway has not used: one of its zone, or one of each other zone
    /// if its own has none. The gateway has no data to prefer one of them, so one is enough.
    pub(super) fn draw_unused<'index>(
        &'index self,
        zone: &str,
        request: &RoutingRequest<'_>,
    ) -> Vec<&'index BackendId> {
        let near = self.zones.get(zone);
        let near = near.and_then(|index| self.draw_in(index, request));
        if let Some(near) = near {
            return vec![near];
        }
        let others = self.zones.iter().filter(|(name, _)| *name != zone);
        others
            .filter_map(|(_, index)| self.draw_in(index, request))
            .collect()
    }

    /// Returns a replica of the working set while one may be drawn, or else the next in order.
    fn draw_in<'index>(
        &self,
        index: &'index ZoneIndex,
        request: &RoutingRequest<'_>,
    ) -> Option<&'index BackendId> {
        let is_free = |id: &&BackendId| !self.used.contains(id) && !request.tried.contains(id);
        let size = self.working_set.size().min(index.usable.len());
        let ids = || index.usable.iter().map(|(_, id)| id);
        let start = (request.draw % size.max(1) as u64) as usize;
        let set = ids().take(size).skip(start).chain(ids().take(start));
        let spare = ids().skip(size);
        set.chain(spare).find(is_free)
    }
}

fn index_key(id: &BackendId) -> (u64, BackendId) {
    (id.stable_hash(), id.clone())
}
