//! The replicas of one service by zone, and which of them this gateway has used.

use super::working_set::WorkingSet;
use super::{CandidateScope, Extent, RoutingRequest};
use luglink_fleet::{Backend, BackendId};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Replicas of a service that every zone must have for its programs to stay in their zones, which
/// spares connections and bytes between zones. With fewer, two choices do not even out what the
/// few of a zone get. Were only the larger zones to keep theirs, their replicas would get those of
/// the others besides.
const ENOUGH_NEAR: usize = 8;

/// Replicas of a service of which a gateway remembers what it has seen of them, apart from those
/// that have its requests. A request is weighed between all of these, and a gateway of a large
/// fleet would come to have used every replica.
const REMEMBERED: usize = 64;

/// The replicas of one service in one zone.
#[derive(Clone, Debug, Default)]
struct ZoneIndex {
    /// Those that may get work, in an order that is the same at all gateways and says nothing of
    /// the replicas: neighbours in it are neighbours nowhere else.
    usable: BTreeSet<(u64, BackendId)>,
    /// Number of all that are listed, leaving ones included.
    listed: usize,
}

/// The replicas of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceIndex {
    zones: BTreeMap<String, ZoneIndex>,
    /// Replicas that this gateway has used, leaving ones included.
    used: BTreeSet<BackendId>,
    /// The same in the order of their first use.
    used_order: VecDeque<BackendId>,
    /// How many replicas of a zone get work, where programs stay in their zones.
    working_set: WorkingSet,
    /// Requests that a replica works on at once, as the last one that came says.
    slots: u32,
}

impl ServiceIndex {
    pub(super) fn follow_load(&mut self, in_flight: f64, now: Timestamp) {
        self.working_set.follow(in_flight, self.slots, now);
    }

    pub(super) fn grow_working_set(&mut self) {
        self.working_set.grow_working_set();
    }

    pub(super) fn add(&mut self, backend: &Backend) {
        let zone = self.zones.entry(backend.zone.clone()).or_default();
        zone.listed += 1;
        self.slots = backend.slots;
        if !backend.draining {
            zone.usable.insert(place(&backend.id));
        }
    }

    pub(super) fn remove(&mut self, backend: &Backend) {
        if let Some(zone) = self.zones.get_mut(&backend.zone) {
            zone.listed -= 1;
            zone.usable.remove(&place(&backend.id));
            if zone.listed == 0 {
                self.zones.remove(&backend.zone);
            }
        }
        if self.used.remove(&backend.id) {
            self.used_order.retain(|id| *id != backend.id);
        }
    }

    pub(super) fn service_size(&self) -> Extent {
        let usable = self.zones.values().map(|zone| zone.usable.len()).sum();
        Extent {
            usable,
            zones: self.zones.len(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Replicas that this gateway has used.
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

    /// Forgets that a replica was used, the one that was used first of those that are idle, when
    /// too many are remembered.
    pub(super) fn forget_one(&mut self, is_idle: impl Fn(&BackendId) -> bool) -> Option<BackendId> {
        if self.used.len() <= REMEMBERED {
            return None;
        }
        // The newest is about to be used.
        let others = self.used_order.len() - 1;
        let position = self.used_order.iter().take(others).position(is_idle)?;
        let forgotten = self.used_order.remove(position)?;
        self.used.remove(&forgotten);
        Some(forgotten)
    }

    /// Whether programs of a zone stay in it: it has replicas, and so many that take work are in
    /// every zone that has any.
    fn is_zonal(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
            && self
                .zones
                .values()
                .all(|index| index.usable.len() >= ENOUGH_NEAR)
    }

    /// Replicas at which programs of a zone may begin.
    pub(super) fn reached<'index>(
        &'index self,
        zone: &'index str,
        reach: CandidateScope,
    ) -> impl Iterator<Item = &'index BackendId> {
        let is_zonal = self.is_zonal(zone);
        let size = self.working_set.size();
        let (first, count) = match (is_zonal, reach) {
            (false, _) => (0, usize::MAX),
            (true, CandidateScope::Spare) => (size, size),
            (true, CandidateScope::Home | CandidateScope::OtherZones) => (0, size),
        };
        let zones = self.zones.iter().filter(move |(name, _)| {
            let is_home = *name == zone || !is_zonal;
            match reach {
                CandidateScope::Home => is_home,
                CandidateScope::Spare => is_home && is_zonal,
                CandidateScope::OtherZones => !is_home,
            }
        });
        zones.flat_map(move |(_, index)| {
            let ids = index.usable.iter().map(|(_, id)| id);
            ids.skip(first).take(count)
        })
    }

    /// Replicas that this gateway has not used, one of its zone, or one of each other zone when its
    /// own has none. They differ in nothing that it knows, so one is as good as all.
    pub(super) fn draw_unused<'index>(
        &'index self,
        zone: &str,
        wish: &RoutingRequest<'_>,
    ) -> Vec<&'index BackendId> {
        let near = self.zones.get(zone);
        let near = near.and_then(|index| self.draw_in(index, wish));
        if let Some(near) = near {
            return vec![near];
        }
        let others = self.zones.iter().filter(|(name, _)| *name != zone);
        others
            .filter_map(|(_, index)| self.draw_in(index, wish))
            .collect()
    }

    /// One of the working set while there is one that may be drawn, or else the next in order.
    fn draw_in<'index>(
        &self,
        index: &'index ZoneIndex,
        wish: &RoutingRequest<'_>,
    ) -> Option<&'index BackendId> {
        let is_free = |id: &&BackendId| !self.used.contains(id) && !wish.tried.contains(id);
        let size = self.working_set.size().min(index.usable.len());
        let ids = || index.usable.iter().map(|(_, id)| id);
        let start = (wish.draw % size.max(1) as u64) as usize;
        let set = ids().take(size).skip(start).chain(ids().take(start));
        let spare = ids().skip(size);
        set.chain(spare).find(is_free)
    }
}

fn place(id: &BackendId) -> (u64, BackendId) {
    (id.stable_hash(), id.clone())
}
