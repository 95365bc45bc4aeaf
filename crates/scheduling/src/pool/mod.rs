//! Choice of the replica that serves a request.
//!
//! A choice costs the same with ten replicas as with ten thousand: it compares the few replicas
//! that this gateway has used recently and one drawn from the unused ones, of which it has no data.
//! A program's home is part of its zone's working set, which has as many of the zone's replicas as
//! the load needs and is the same at all gateways.

mod by_finish;
mod continuation;
mod held_parts;
mod index;
mod record;
mod step_mean;
mod working_set;

use crate::finish::Work;
use crate::load_view::LoadView;
pub use by_finish::{ChoiceBasis, Relocation};
use index::ServiceIndex;
use luglink_fleet::{
    Backend, BackendChanges, BackendId, GatewayLoad, ReplicaKey, SoftwareVersion, StatsReport,
    StreamOrigin,
};
use luglink_types::Timestamp;
use record::Record;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Difference in load, in shares of the slots, by which a replica in another zone must be below a
/// near one to be preferred.
const OTHER_ZONE_COST: f64 = 0.08;

/// Load, in shares of the slots, that is added for a replica without an idle connection. A new
/// connection costs the replica and the request time, and far more of them are opened if each
/// gateway spreads few requests over all replicas.
const CONNECTION_COST: f64 = 0.04;

/// Load, in shares of the slots above the least loaded replica, up to which a replica that holds
/// the prompt is preferred.
const CACHE_BONUS: f64 = 0.5;

/// Load, in shares of the slots, that is added for a replica that always fails.
const FAILURE_COST: f64 = 3.0;

/// Properties of a request that the choice of a replica depends on.
#[derive(Clone, Debug, Default)]
pub struct RoutingRequest<'request> {
    /// Name of the service.
    pub service: &'request str,
    /// Replica that served the previous turn and still holds its prompt.
    pub cached_at: Option<&'request BackendId>,
    /// Replicas that have been tried.
    pub tried: &'request [BackendId],
    /// Random number of the request, which breaks ties and selects among replicas of similar cost.
    pub draw: u64,
    /// Work for a model engine, if known.
    pub work: Option<Work>,
    /// Origin of the stream that the request continues, if it continues one.
    pub origin: Option<&'request StreamOrigin>,
}

/// Set of replicas at which a program may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateScope {
    /// Replicas that may be its home.
    Home,
    /// Other replicas of the same zone, which the current load does not need.
    Spare,
    /// Replicas of other zones.
    OtherZones,
}

/// Size of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceSize {
    /// Number of replicas that may get work.
    pub usable: usize,
    /// Number of zones with listed replicas.
    pub zones: usize,
}

/// Result of the choice of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Chosen replica.
    pub backend: Backend,
    /// Requests of this gateway at the replica.
    pub in_flight: u32,
    /// Figures behind the choice, if it was made by expected finish.
    pub basis: Option<ChoiceBasis>,
}

/// Replicas of all services.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    zone: String,
    backends: HashMap<BackendId, Backend>,
    services: BTreeMap<String, ServiceIndex>,
    /// Records of the replicas that this gateway has used.
    records: HashMap<BackendId, Record>,
    /// Statistics of the replicas from all gateways of the zone.
    view: LoadView,
    /// True if requests that describe their work are placed by expected finish.
    expected_finish_enabled: bool,
    /// Listed replicas that have begun to drain, by the time of the list that first said so.
    draining_since: HashMap<BackendId, Timestamp>,
    /// Time for which these still get streams that no other replica may continue.
    draining_continuation: Duration,
}

/// Replica that may get a request, with this gateway's record of it.
#[derive(Clone, Copy)]
struct Candidate<'pool> {
    backend: &'pool Backend,
    record: &'pool Record,
}

impl Pool {
    /// Creates an empty pool for a gateway in `zone`.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// Applies changes of the list. Records of replicas that stay listed are kept, unless the
    /// replica has restarted.
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
                record.reset_for_restart();
            }
            // Changes received over the network contain no incarnations and no versions.
            backend.complete_from(&before);
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
        self.draining_since.remove(id);
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

    /// Returns a listed replica, draining or not.
    #[must_use]
    pub fn listed(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// Returns the services whose listed replicas all have the same known software version.
    pub fn sole_versions(&self) -> impl Iterator<Item = (&str, &SoftwareVersion)> {
        let services = self.services.iter();
        services.filter_map(|(name, service)| Some((name.as_str(), service.sole_version()?)))
    }

    /// Returns true if a replica has restarted since a request was sent to it. The result of the
    /// request then says nothing about the listed replica.
    #[must_use]
    pub fn has_restarted(&self, sent_to: &Backend) -> bool {
        let listed = self.backends.get(&sent_to.id);
        listed.is_some_and(|listed| listed.incarnation.is_after(sent_to.incarnation))
    }

    /// Returns the replicas in `changes` that the pool knows in an earlier incarnation.
    #[must_use]
    pub fn restarted(&self, changes: &BackendChanges) -> Vec<BackendId> {
        let is_restart = |backend: &&Backend| {
            let listed = self.backends.get(&backend.id);
            listed.is_some_and(|listed| backend.incarnation.is_after(listed.incarnation))
        };
        let restarted = changes.changed.iter().filter(is_restart);
        restarted.map(|backend| backend.id.clone()).collect()
    }

    /// Returns the listed replica with this identifier, if it may get work.
    #[must_use]
    pub fn usable(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id).filter(|backend| !backend.draining)
    }

    fn candidate(&self, id: &BackendId) -> Option<Candidate<'_>> {
        self.usable(id).map(|backend| self.with_record(backend))
    }

    fn with_record<'pool>(&'pool self, backend: &'pool Backend) -> Candidate<'pool> {
        let record = self.records.get(&backend.id);
        let record = record.unwrap_or(&record::UNUSED);
        Candidate { backend, record }
    }

    /// Chooses a replica, or returns `None` if no replica of the service may get the request.
    /// Ejected replicas are chosen only if no other is left. `is_connected` returns true for a
    /// replica with an idle connection.
    #[must_use]
    pub fn choose(
        &self,
        request: &RoutingRequest<'_>,
        is_connected: impl Fn(&BackendId) -> bool,
        now: Timestamp,
    ) -> Option<Choice> {
        let service = self.services.get(request.service)?;
        let all = match request.origin {
            None => self.compared_candidates(service, request),
            Some(origin) => self.continuing_candidates(service, request, origin, now),
        };
        let healthy = all
            .iter()
            .copied()
            .filter(|candidate| candidate.record.ejected_until <= now);
        let work = request
            .work
            .as_ref()
            .filter(|_| self.uses_expected_finish(now));
        let soonest = work.and_then(|work| {
            let healthy = healthy.clone().collect();
            self.choose_soonest(healthy, work, request, &is_connected, now)
        });
        if soonest.is_some() {
            return soonest;
        }
        let best = self
            .cheapest(healthy, request, is_connected, now)
            .or_else(|| {
                let ejected = all.iter().copied();
                ejected.min_by_key(|candidate| candidate.record.ejected_until)
            })?;
        Some(Choice {
            backend: best.backend.clone(),
            in_flight: best.record.in_flight,
            basis: None,
        })
    }

    /// Returns the replicas that are compared for a request: those that this gateway has used, the
    /// one that holds the prompt, and one drawn from the others.
    fn compared_candidates<'pool>(
        &'pool self,
        service: &'pool ServiceIndex,
        request: &RoutingRequest<'_>,
    ) -> Vec<Candidate<'pool>> {
        let is_untried = |id: &&BackendId| !request.tried.contains(id);
        let used = service.used().filter(is_untried);
        let used = used.filter_map(|id| self.candidate(id));
        let cached = request
            .cached_at
            .filter(|id| is_untried(id) && !service.is_used(id));
        let cached = cached.and_then(|id| self.candidate(id));
        let cached = cached.filter(|cached| cached.backend.service == request.service);
        let drawn = service.draw_unused(&self.zone, request);
        let drawn = drawn.into_iter().filter_map(|id| self.candidate(id));
        used.chain(cached).chain(drawn).collect()
    }

    /// Returns the first of the cheapest candidates. The connection check costs more than all the
    /// rest, so it is only made for candidates that can still win.
    fn cheapest<'pool>(
        &self,
        candidates: impl Iterator<Item = Candidate<'pool>>,
        request: &RoutingRequest<'_>,
        is_connected: impl Fn(&BackendId) -> bool,
        now: Timestamp,
    ) -> Option<Candidate<'pool>> {
        let fastest_answer_ms = self.fastest_answer_ms(request.service);
        let mut best: Option<(f64, Candidate<'_>)> = None;
        for candidate in candidates {
            let mut cost = self.cost(candidate, request, fastest_answer_ms, now);
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

    fn fastest_answer_ms(&self, service: &str) -> f64 {
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
        request: &RoutingRequest<'_>,
        fastest_answer_ms: f64,
        now: Timestamp,
    ) -> f64 {
        let Candidate { backend, record } = candidate;
        let slots = f64::from(backend.slots.max(1));
        let load = f64::from(record.in_flight) / slots;
        let slowness = if fastest_answer_ms > 0.0 && record.answer_ms > 2.0 * fastest_answer_ms {
            (record.answer_ms / fastest_answer_ms - 1.0) / slots
        } else {
            0.0
        };
        let zone = if backend.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let cached = if request.cached_at == Some(&backend.id) {
            -CACHE_BONUS
        } else {
            0.0
        };
        let failure_cost = FAILURE_COST * record.failure_ratio_at(now);
        load + slowness + zone + cached + failure_cost + tie_breaker(&backend.id, request.draw)
    }

    /// Returns the replica on which all gateways of a zone with the same list agree for a program,
    /// so that its prompts find their cache without communication between gateways. It is a replica
    /// of the zone if every zone has enough of them, and otherwise the same for all zones.
    #[must_use]
    pub fn home(&self, service: &str, program: u64) -> Option<BackendId> {
        let homes = self
            .services
            .get(service)?
            .in_scope(&self.zone, CandidateScope::Home);
        homes.max_by_key(|id| rendezvous_rank(id, program)).cloned()
    }

    /// Returns the replicas at which a program may start, the same at all gateways of a zone with
    /// the same list. For [`CandidateScope::Home`] these are its home and the next ones in rank,
    /// otherwise the first ones in rank of the scope. Ejected replicas are skipped while others
    /// are left.
    #[must_use]
    pub fn candidates(
        &self,
        service: &str,
        program: u64,
        scope: CandidateScope,
        count: usize,
        now: Timestamp,
    ) -> Vec<Backend> {
        let Some(service) = self.services.get(service) else {
            return Vec::new();
        };
        let in_scope = service.in_scope(&self.zone, scope);
        let mut ranked: Vec<(bool, u64, Candidate<'_>)> = in_scope
            .filter_map(|id| self.candidate(id))
            .map(|candidate| {
                let is_healthy = candidate.record.ejected_until <= now;
                let rank = rendezvous_rank(&candidate.backend.id, program);
                (is_healthy, rank, candidate)
            })
            .collect();
        ranked
            .sort_unstable_by_key(|(is_healthy, rank, _)| std::cmp::Reverse((*is_healthy, *rank)));
        let best = ranked.into_iter().take(count);
        best.map(|(_, _, candidate)| candidate.backend.clone())
            .collect()
    }

    /// Updates the working sets by the requests that all gateways of the zone have in flight.
    pub fn follow_zone_load(&mut self, load: &GatewayLoad, now: Timestamp) {
        for service in &load.services {
            let in_flight = f64::from(service.in_flight_hundredths) / 100.0;
            if let Some(index) = self.services.get_mut(&service.service) {
                index.follow_load(in_flight, now);
            }
        }
    }

    /// Returns the size of a service.
    #[must_use]
    pub fn service_size(&self, service: &str) -> ServiceSize {
        let service = self.services.get(service);
        service.map(ServiceIndex::service_size).unwrap_or_default()
    }

    /// Gives work to more replicas of the zone at once, because the current ones are busy.
    pub fn grow_working_set(&mut self, service: &str) {
        if let Some(index) = self.services.get_mut(service) {
            index.grow_working_set();
        }
    }

    /// Returns the requests of this gateway in flight at each service.
    pub fn in_flight(&self) -> impl Iterator<Item = (&str, u32)> {
        self.services.iter().map(|(name, service)| {
            let records = service.used().filter_map(|id| self.records.get(id));
            (name.as_str(), records.map(|record| record.in_flight).sum())
        })
    }

    /// Returns this gateway's statistics of the replicas that it uses, for the others of its zone.
    #[must_use]
    pub fn replica_stats(&self, now: Timestamp) -> StatsReport {
        let used = self.records.iter();
        let replica_stats = used.filter_map(|(id, record)| record.stats(ReplicaKey::of(id), now));
        StatsReport::sum([&StatsReport(replica_stats.collect())])
    }

    /// Sets the statistics from all gateways of the zone.
    pub fn set_zone_view(&mut self, replica_stats: &StatsReport, now: Timestamp) {
        self.view.take(replica_stats, now);
        for record in self.records.values_mut() {
            record.in_flight_at_view = record.in_flight;
        }
    }

    /// Returns the record of a replica for an update, or `None` if the replica is not listed.
    fn record(&mut self, id: &BackendId) -> Option<&mut Record> {
        let backend = self.backends.get(id)?;
        if !self.records.contains_key(id) {
            let service = self.services.get_mut(&backend.service)?;
            service.note_used(id);
            let records = &self.records;
            let is_idle = |id: &BackendId| records.get(id).is_none_or(Record::is_idle);
            let evicted = service.evict_idle(is_idle);
            if let Some(evicted) = evicted {
                self.records.remove(&evicted);
            }
        }
        Some(self.records.entry(id.clone()).or_default())
    }

    /// Records that there is a connection to a replica, so that it is compared with those in use.
    pub fn note_connected(&mut self, id: &BackendId) {
        self.record(id);
    }

    /// Records that a request is sent to a replica.
    pub fn begin(&mut self, id: &BackendId) {
        if let Some(record) = self.record(id) {
            record.in_flight += 1;
        }
    }

    /// Records that a request has left a replica.
    pub fn end(&mut self, id: &BackendId) {
        if let Some(record) = self.records.get_mut(id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records that a replica answered after `time`.
    pub fn succeeded(&mut self, id: &BackendId, time: Duration) {
        if let Some(record) = self.record(id) {
            record.succeeded(time);
        }
    }

    /// Records that a replica answered a request with a failure, or keeps one for much too long.
    pub fn note_failure(&mut self, id: &BackendId, now: Timestamp) {
        if let Some(record) = self.record(id) {
            record.note_failure(now);
        }
    }

    /// Records that a replica could not be reached or broke off a request. The replica is ejected,
    /// for longer with each consecutive failure. Returns the end of the ejection.
    pub fn failed(&mut self, id: &BackendId, now: Timestamp) -> Option<Timestamp> {
        self.record(id).map(|record| record.failed(now))
    }
}

/// Returns the rank of a replica as a program's home, by rendezvous hashing (highest random
/// weight).
fn rendezvous_rank(id: &BackendId, program: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.0.as_bytes(), program)
}

/// Returns a cost below 0.04 that differs between requests: less than the cost of another zone or
/// of a new connection, and than one request at a replica with up to 25 slots.
fn tie_breaker(id: &BackendId, draw: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(id.0.as_bytes(), draw);
    // The upper half of the hash times 2^-32, scaled below one request's share of a replica.
    (hash >> 32) as f64 / 4_294_967_296.0 * 0.04
}
