//! Which replica gets a request.
//!
//! A request costs the same before ten replicas and before ten thousand: it is weighed between
//! those that this gateway has used lately, which are few, and one drawn from those that it has
//! not, which are all alike to it. A program's home is one of its zone's working set, so many of
//! the zone's replicas as the load needs, the same at all gateways.

mod by_finish;
mod held_parts;
mod index;
mod record;
mod step_mean;
mod working_set;

use crate::finish::Work;
use crate::load_view::LoadView;
pub use by_finish::{ChoiceBasis, Relocation};
use index::ServiceIndex;
use luglink_fleet::{Backend, BackendChanges, BackendId, GatewayLoad, ReplicaKey, StatsReport};
use luglink_types::Timestamp;
use record::Record;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Load that a replica in another zone must be below a near one to be taken instead, in shares
/// of its slots.
const OTHER_ZONE_COST: f64 = 0.08;

/// Load that a replica without a connection at rest counts as having more: a new connection
/// costs it and the request time, and far more of them are opened when each gateway spreads few
/// requests over all replicas.
const CONNECTION_COST: f64 = 0.04;

/// Load up to which a replica that already holds the prompt is preferred, in shares of slots
/// above the least loaded one.
const CACHE_WORTH: f64 = 0.5;

/// Load, in shares of slots, that a replica which always fails counts as having more.
const TROUBLE_COST: f64 = 3.0;

/// What a request wants of a replica.
#[derive(Clone, Debug, Default)]
pub struct RoutingRequest<'request> {
    /// The service.
    pub service: &'request str,
    /// The replica that served the turn before, and still holds its prompt.
    pub cached_at: Option<&'request BackendId>,
    /// Replicas that have been tried.
    pub tried: &'request [BackendId],
    /// Breaks ties; differs between requests.
    pub draw: u64,
    /// What it asks of a model engine, where that is known.
    pub work: Option<Work>,
}

/// Where a program may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateScope {
    /// At replicas that may be its home.
    Home,
    /// At others of the same zone, which are not needed at the load of now.
    Spare,
    /// At the others, in other zones.
    OtherZones,
}

/// How many replicas a service has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Extent {
    /// Replicas that may get work.
    pub usable: usize,
    /// Zones in which replicas are listed.
    pub zones: usize,
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub backend: Backend,
    /// Requests of this gateway that are at it.
    pub in_flight: u32,
    /// What it went by, when it went by expected finish.
    pub basis: Option<ChoiceBasis>,
}

/// The replicas of all services.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    zone: String,
    backends: HashMap<BackendId, Backend>,
    services: BTreeMap<String, ServiceIndex>,
    /// What is known of the replicas that this gateway has used.
    records: HashMap<BackendId, Record>,
    /// What all gateways of the zone saw of the replicas.
    view: LoadView,
    /// Whether requests that say what they ask for are placed by expected finish.
    by_finish: bool,
}

/// A replica that a request may go to, as this gateway sees it.
#[derive(Clone, Copy)]
struct Candidate<'pool> {
    backend: &'pool Backend,
    record: &'pool Record,
}

impl Pool {
    /// An empty pool of a gateway in `zone`.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// Takes changes of the list. What is known of replicas that are still there stays.
    pub fn apply(&mut self, changes: &BackendChanges) {
        for id in &changes.removed {
            self.remove(id);
        }
        for backend in &changes.changed {
            self.put(backend.clone());
        }
    }

    fn put(&mut self, mut backend: Backend) {
        if let Some(before) = self.backends.get(&backend.id) {
            let before = before.clone();
            self.unindex(&before);
            if backend.incarnation.is_after(before.incarnation)
                && let Some(record) = self.records.get_mut(&backend.id)
            {
                record.begin_new_life();
            }
            // Changes that came over the wire name no incarnations.
            backend.incarnation = backend.incarnation.max(before.incarnation);
        }
        let service = self.services.entry(backend.service.clone()).or_default();
        service.add(&backend);
        if self.records.contains_key(&backend.id) {
            service.note_used(&backend.id);
        }
        self.backends.insert(backend.id.clone(), backend);
    }

    fn remove(&mut self, id: &BackendId) {
        if let Some(backend) = self.backends.remove(id) {
            self.unindex(&backend);
        }
        self.records.remove(id);
    }

    fn unindex(&mut self, backend: &Backend) {
        let Some(service) = self.services.get_mut(&backend.service) else {
            return;
        };
        service.remove(backend);
        if service.is_empty() {
            self.services.remove(&backend.service);
        }
    }

    /// Whether a replica is on the list, leaving or not.
    #[must_use]
    pub fn lists(&self, id: &BackendId) -> bool {
        self.backends.contains_key(id)
    }

    /// Whether a replica that a request was sent to is in another life by now: what the request
    /// meets says nothing of the replica that is listed.
    #[must_use]
    pub fn has_restarted(&self, sent_to: &Backend) -> bool {
        let listed = self.backends.get(&sent_to.id);
        listed.is_some_and(|listed| listed.incarnation.is_after(sent_to.incarnation))
    }

    /// Replicas in `changes` that the pool knows in an earlier life.
    #[must_use]
    pub fn restarted(&self, changes: &BackendChanges) -> Vec<BackendId> {
        let is_restart = |backend: &&Backend| {
            let listed = self.backends.get(&backend.id);
            listed.is_some_and(|listed| backend.incarnation.is_after(listed.incarnation))
        };
        let restarted = changes.changed.iter().filter(is_restart);
        restarted.map(|backend| backend.id.clone()).collect()
    }

    /// The listed replica of that identifier, when it may get work.
    #[must_use]
    pub fn usable(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id).filter(|backend| !backend.draining)
    }

    fn candidate(&self, id: &BackendId) -> Option<Candidate<'_>> {
        Some(Candidate {
            backend: self.usable(id)?,
            record: self.records.get(id).unwrap_or(&record::UNUSED),
        })
    }

    /// Chooses a replica, or `None` when no replica of the service may get the request. Replicas
    /// that failed lately are taken only when no other is left. `is_connected` says whether a
    /// connection to a replica is at rest.
    #[must_use]
    pub fn choose(
        &self,
        wish: &RoutingRequest<'_>,
        is_connected: impl Fn(&BackendId) -> bool,
        now: Timestamp,
    ) -> Option<Choice> {
        let service = self.services.get(wish.service)?;
        let fits = |id: &&BackendId| !wish.tried.contains(id);
        let used: Vec<Candidate<'_>> = service
            .used()
            .filter(fits)
            .filter_map(|id| self.candidate(id))
            .collect();
        let cached = wish.cached_at.filter(|id| fits(id) && !service.is_used(id));
        let cached = cached.and_then(|id| self.candidate(id));
        let cached = cached.filter(|cached| cached.backend.service == wish.service);
        let drawn = service.draw_unused(&self.zone, wish);
        let drawn = drawn.into_iter().filter_map(|id| self.candidate(id));
        let all: Vec<Candidate<'_>> = used.into_iter().chain(cached).chain(drawn).collect();
        let sound = all
            .iter()
            .copied()
            .filter(|candidate| candidate.record.ejected_until <= now);
        let work = wish
            .work
            .as_ref()
            .filter(|_| self.uses_expected_finish(now));
        let soonest = work.and_then(|work| {
            let sound = sound.clone().collect();
            self.soonest(sound, work, wish, &is_connected, now)
        });
        if soonest.is_some() {
            return soonest;
        }
        let best = self.cheapest(sound, wish, is_connected, now).or_else(|| {
            let ejected = all.iter().copied();
            ejected.min_by_key(|candidate| candidate.record.ejected_until)
        })?;
        Some(Choice {
            backend: best.backend.clone(),
            in_flight: best.record.in_flight,
            basis: None,
        })
    }

    /// The first of the cheapest. Whether a connection is at rest is asked only of those that
    /// could still be it: that is dearer to find out than all the rest together.
    fn cheapest<'pool>(
        &self,
        candidates: impl Iterator<Item = Candidate<'pool>>,
        wish: &RoutingRequest<'_>,
        is_connected: impl Fn(&BackendId) -> bool,
        now: Timestamp,
    ) -> Option<Candidate<'pool>> {
        let fastest = self.fastest(wish.service);
        let mut best: Option<(f64, Candidate<'_>)> = None;
        for candidate in candidates {
            let mut cost = self.cost(candidate, wish, fastest, now);
            let is_beaten = |cost: f64| best.is_some_and(|(least, _)| least <= cost);
            if is_beaten(cost) {
                continue;
            }
            if !is_connected(&candidate.backend.id) {
                cost += CONNECTION_COST;
            }
            if !is_beaten(cost) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    fn fastest(&self, service: &str) -> f64 {
        let service = self.services.get(service);
        let used = service.into_iter().flat_map(ServiceIndex::used);
        used.filter_map(|id| self.records.get(id))
            .filter(|record| record.answer_ms > 0.0)
            .map(|record| record.answer_ms)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    fn cost(
        &self,
        candidate: Candidate<'_>,
        wish: &RoutingRequest<'_>,
        fastest: f64,
        now: Timestamp,
    ) -> f64 {
        let Candidate { backend, record } = candidate;
        let slots = f64::from(backend.slots.max(1));
        let load = f64::from(record.in_flight) / slots;
        let slowness = if fastest > 0.0 && record.answer_ms > 2.0 * fastest {
            (record.answer_ms / fastest - 1.0) / slots
        } else {
            0.0
        };
        let zone = if backend.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let cached = if wish.cached_at == Some(&backend.id) {
            -CACHE_WORTH
        } else {
            0.0
        };
        let trouble = TROUBLE_COST * record.trouble_at(now);
        load + slowness + zone + cached + trouble + tie_breaker(&backend.id, wish.draw)
    }

    /// The replica that all gateways of a zone with the same list agree on for a program, so that
    /// its prompts meet their cache without a word between gateways. It is one of the zone when
    /// every zone has enough of them, and otherwise the same for all zones.
    #[must_use]
    pub fn home(&self, service: &str, program: u64) -> Option<BackendId> {
        let homes = self
            .services
            .get(service)?
            .reached(&self.zone, CandidateScope::Home);
        homes.max_by_key(|id| home_rank(id, program)).cloned()
    }

    /// The replicas at which a program may begin, the same at all gateways of a zone with the
    /// same list: its home, and those that would be it next, or else those that would be it if
    /// programs did not stay in their zones. Those that failed lately are passed over while others
    /// are left.
    #[must_use]
    pub fn candidates(
        &self,
        service: &str,
        program: u64,
        reach: CandidateScope,
        count: usize,
        now: Timestamp,
    ) -> Vec<Backend> {
        let Some(service) = self.services.get(service) else {
            return Vec::new();
        };
        let reached = service.reached(&self.zone, reach);
        let mut ranked: Vec<(bool, u64, Candidate<'_>)> = reached
            .filter_map(|id| self.candidate(id))
            .map(|candidate| {
                let is_sound = candidate.record.ejected_until <= now;
                let rank = home_rank(&candidate.backend.id, program);
                (is_sound, rank, candidate)
            })
            .collect();
        ranked.sort_unstable_by_key(|(is_sound, rank, _)| std::cmp::Reverse((*is_sound, *rank)));
        let best = ranked.into_iter().take(count);
        best.map(|(_, _, candidate)| candidate.backend.clone())
            .collect()
    }

    /// Takes what the gateways of the zone have under way together.
    pub fn follow_zone_load(&mut self, load: &GatewayLoad, now: Timestamp) {
        for service in &load.services {
            let in_flight = f64::from(service.in_flight_hundredths) / 100.0;
            if let Some(index) = self.services.get_mut(&service.service) {
                index.follow_load(in_flight, now);
            }
        }
    }

    /// How many replicas a service has.
    #[must_use]
    pub fn service_size(&self, service: &str) -> Extent {
        let service = self.services.get(service);
        service.map(ServiceIndex::service_size).unwrap_or_default()
    }

    /// Lets more replicas of the zone get work at once: those that did are found busy.
    pub fn grow_working_set(&mut self, service: &str) {
        if let Some(index) = self.services.get_mut(service) {
            index.grow_working_set();
        }
    }

    /// Requests of this gateway under way at each service.
    pub fn in_flight(&self) -> impl Iterator<Item = (&str, u32)> {
        self.services.iter().map(|(name, service)| {
            let records = service.used().filter_map(|id| self.records.get(id));
            (name.as_str(), records.map(|record| record.in_flight).sum())
        })
    }

    /// What this gateway sees of the replicas that it uses, for the others of its zone.
    #[must_use]
    pub fn replica_stats(&self, now: Timestamp) -> StatsReport {
        let used = self.records.iter();
        let replica_stats = used.filter_map(|(id, record)| record.sight(ReplicaKey::of(id), now));
        StatsReport::sum([&StatsReport(replica_stats.collect())])
    }

    /// Takes what all gateways of the zone saw together.
    pub fn set_zone_view(&mut self, replica_stats: &StatsReport, now: Timestamp) {
        self.view.take(replica_stats, now);
        for record in self.records.values_mut() {
            record.in_flight_at_view = record.in_flight;
        }
    }

    /// What is known of a replica, to be changed; `None` when it is not listed.
    fn record(&mut self, id: &BackendId) -> Option<&mut Record> {
        let backend = self.backends.get(id)?;
        if !self.records.contains_key(id) {
            let service = self.services.get_mut(&backend.service)?;
            service.note_used(id);
            let records = &self.records;
            let is_idle = |id: &BackendId| records.get(id).is_none_or(Record::is_idle);
            let forgotten = service.forget_one(is_idle);
            if let Some(forgotten) = forgotten {
                self.records.remove(&forgotten);
            }
        }
        Some(self.records.entry(id.clone()).or_default())
    }

    /// Notes that there is a connection to a replica, so that it is weighed with those in use.
    pub fn note_connected(&mut self, id: &BackendId) {
        self.record(id);
    }

    /// Notes that a request goes to a replica.
    pub fn begin(&mut self, id: &BackendId) {
        if let Some(record) = self.record(id) {
            record.in_flight += 1;
        }
    }

    /// Notes that a request has left a replica.
    pub fn end(&mut self, id: &BackendId) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Notes that a replica answered, and after what time.
    pub fn succeeded(&mut self, id: &BackendId, time: Duration) {
        if let Some(record) = self.record(id) {
            record.succeeded(time);
        }
    }

    /// Notes that a replica failed a request that it answered, or keeps one for much too long.
    pub fn note_failure(&mut self, id: &BackendId, now: Timestamp) {
        if let Some(record) = self.record(id) {
            record.note_failure(now);
        }
    }

    /// Notes that a replica could not be reached or broke a request off. It pauses, longer with
    /// each failure in a row. Returns until when.
    pub fn failed(&mut self, id: &BackendId, now: Timestamp) -> Option<Timestamp> {
        self.record(id).map(|record| record.failed(now))
    }
}

/// Rank of a replica as a program's home: highest random weight.
fn home_rank(id: &BackendId, program: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.0.as_bytes(), program)
}

/// Less than any other difference in cost, and different for each request.
fn tie_breaker(id: &BackendId, draw: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.0.as_bytes(), draw);
    // 2^-32 of the upper half of the hash, scaled below one request's share of a replica.
    (hash >> 32) as f64 / 4_294_967_296.0 * 0.04
}
