//! Which replica gets a request.

use luglink_fleet::{Backend, BackendId, BackendList};
use luglink_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
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

/// Replicas of a service that every zone must have for its programs to stay in their zones, which
/// spares connections and bytes between zones. With fewer, two choices do not even out what the
/// few of a zone get. Were only the larger zones to keep theirs, their replicas would get those of
/// the others besides.
const ENOUGH_NEAR: usize = 8;

/// First pause of a replica that failed; doubles with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(200);

/// Longest pause of a replica that failed.
const LONGEST_EJECTION: Duration = Duration::from_secs(3);

/// Weight of a new sample in the average time to an answer.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Weight of a new failure in a replica's trouble.
const TROUBLE_WEIGHT: f64 = 0.3;

/// What is left of a replica's trouble after a success.
const TROUBLE_AFTER_SUCCESS: f64 = 0.85;

/// Time in which half of a replica's trouble is forgotten, so that it is tried again.
const TROUBLE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Load, in shares of slots, that a replica which always fails counts as having more.
const TROUBLE_COST: f64 = 3.0;

/// A replica as this gateway sees it.
#[derive(Clone, Debug)]
struct Member {
    backend: Backend,
    in_flight: u32,
    failures: u32,
    ejected_until: Timestamp,
    /// Share of failures lately, as of `troubled_at`. Unlike a pause it also tells a replica
    /// that fails now and then from one that does not.
    trouble: f64,
    troubled_at: Timestamp,
    /// Average time to the first sign of an answer, in milliseconds; 0 before the first sample.
    answer_ms: f64,
}

/// What a request wants of a replica.
#[derive(Clone, Debug, Default)]
pub struct Wish<'request> {
    /// The service.
    pub service: &'request str,
    /// The replica that served the turn before, and still holds its prompt.
    pub cached_at: Option<&'request BackendId>,
    /// Replicas that have been tried.
    pub tried: &'request [BackendId],
    /// Breaks ties; differs between requests.
    pub draw: u64,
}

/// Where a program may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// At replicas that may be its home.
    Home,
    /// At the others, in other zones.
    Elsewhere,
}

/// A choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub backend: Backend,
    /// Requests of this gateway that are at it.
    pub in_flight: u32,
}

/// The replicas of all services.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    zone: String,
    members: BTreeMap<BackendId, Member>,
    /// Services whose programs have their home in their gateway's zone.
    zonal_services: BTreeSet<String>,
    /// Requests at replicas that have left the list since.
    fingerprint: Option<u64>,
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

    /// Fingerprint of the list that the pool shows.
    #[must_use]
    pub fn fingerprint(&self) -> Option<u64> {
        self.fingerprint
    }

    /// Takes a new list. What is known of replicas that are still there stays.
    pub fn update(&mut self, list: &BackendList) {
        self.fingerprint = Some(list.fingerprint());
        let mut members = BTreeMap::new();
        for backend in list.backends() {
            let member = match self.members.remove(&backend.id) {
                Some(member) => Member {
                    backend: backend.clone(),
                    ..member
                },
                None => Member {
                    backend: backend.clone(),
                    in_flight: 0,
                    failures: 0,
                    ejected_until: Timestamp::ZERO,
                    trouble: 0.0,
                    troubled_at: Timestamp::ZERO,
                    answer_ms: 0.0,
                },
            };
            members.insert(backend.id.clone(), member);
        }
        self.members = members;
        self.zonal_services = zonal_services(list, &self.zone);
    }

    /// Whether a replica is on the list, leaving or not.
    #[must_use]
    pub fn lists(&self, id: &BackendId) -> bool {
        self.members.contains_key(id)
    }

    /// Identifiers of all listed replicas.
    pub fn ids(&self) -> impl Iterator<Item = &BackendId> {
        self.members.keys()
    }

    /// The listed replica of that identifier, when it may get work.
    #[must_use]
    pub fn usable(&self, id: &BackendId) -> Option<&Backend> {
        self.members
            .get(id)
            .map(|member| &member.backend)
            .filter(|backend| !backend.draining)
    }

    /// Chooses a replica, or `None` when no replica of the service may get the request. Replicas
    /// that failed lately are taken only when no other is left. `is_connected` says whether a
    /// connection to a replica is at rest.
    #[must_use]
    pub fn choose(
        &self,
        wish: &Wish<'_>,
        is_connected: impl Fn(&BackendId) -> bool,
        now: Timestamp,
    ) -> Option<Choice> {
        let fits = |member: &&Member| {
            member.backend.service == wish.service
                && !member.backend.draining
                && !wish.tried.contains(&member.backend.id)
        };
        let sound = self
            .members
            .values()
            .filter(fits)
            .filter(|member| member.ejected_until <= now);
        let best = self.cheapest(sound, wish, is_connected, now).or_else(|| {
            let ejected = self.members.values().filter(fits);
            ejected.min_by_key(|member| member.ejected_until)
        })?;
        Some(Choice {
            backend: best.backend.clone(),
            in_flight: best.in_flight,
        })
    }

    /// The first of the cheapest. Whether a connection is at rest is asked only of those that
    /// could still be it: that is dearer to find out than all the rest together.
    fn cheapest<'pool>(
        &self,
        members: impl Iterator<Item = &'pool Member>,
        wish: &Wish<'_>,
        is_connected: impl Fn(&BackendId) -> bool,
        now: Timestamp,
    ) -> Option<&'pool Member> {
        let fastest = self.fastest(wish.service);
        let mut best: Option<(f64, &Member)> = None;
        for member in members {
            let mut cost = self.cost(member, wish, fastest, now);
            let is_beaten = |cost: f64| best.is_some_and(|(least, _)| least <= cost);
            if is_beaten(cost) {
                continue;
            }
            if !is_connected(&member.backend.id) {
                cost += CONNECTION_COST;
            }
            if !is_beaten(cost) {
                best = Some((cost, member));
            }
        }
        best.map(|(_, member)| member)
    }

    fn fastest(&self, service: &str) -> f64 {
        self.members
            .values()
            .filter(|member| member.backend.service == service && member.answer_ms > 0.0)
            .map(|member| member.answer_ms)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    fn cost(&self, member: &Member, wish: &Wish<'_>, fastest: f64, now: Timestamp) -> f64 {
        let slots = f64::from(member.backend.slots.max(1));
        let load = f64::from(member.in_flight) / slots;
        let slowness = if fastest > 0.0 && member.answer_ms > 2.0 * fastest {
            (member.answer_ms / fastest - 1.0) / slots
        } else {
            0.0
        };
        let zone = if member.backend.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let cached = if wish.cached_at == Some(&member.backend.id) {
            -CACHE_WORTH
        } else {
            0.0
        };
        let trouble = TROUBLE_COST * member.trouble_at(now);
        load + slowness + zone + cached + trouble + tie_breaker(&member.backend.id, wish.draw)
    }

    /// The replica that all gateways of a zone with the same list agree on for a program, so that
    /// its prompts meet their cache without a word between gateways. It is one of the zone when
    /// every zone has enough of them, and otherwise the same for all zones.
    #[must_use]
    pub fn home(&self, service: &str, program: u64) -> Option<BackendId> {
        self.usable_members(service)
            .filter(|member| self.is_home(member))
            .map(|member| &member.backend.id)
            .max_by_key(|id| home_rank(id, program))
            .cloned()
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
        reach: Reach,
        count: usize,
        now: Timestamp,
    ) -> Vec<Backend> {
        let mut ranked: Vec<(bool, u64, &Backend)> = self
            .usable_members(service)
            .filter(|member| self.is_home(member) == (reach == Reach::Home))
            .map(|member| {
                let backend = &member.backend;
                let is_sound = member.ejected_until <= now;
                (is_sound, home_rank(&backend.id, program), backend)
            })
            .collect();
        ranked.sort_unstable_by_key(|(is_sound, rank, _)| std::cmp::Reverse((*is_sound, *rank)));
        let best = ranked.into_iter().take(count);
        best.map(|(_, _, backend)| backend.clone()).collect()
    }

    /// Replicas of a service that may get work.
    fn usable_members<'pool>(
        &'pool self,
        service: &'pool str,
    ) -> impl Iterator<Item = &'pool Member> {
        self.members
            .values()
            .filter(move |member| member.backend.service == service && !member.backend.draining)
    }

    /// Whether programs of this zone may have their home at a replica.
    fn is_home(&self, member: &Member) -> bool {
        let backend = &member.backend;
        backend.zone == self.zone || !self.zonal_services.contains(&backend.service)
    }

    /// Notes that a request goes to a replica.
    pub fn begin(&mut self, id: &BackendId) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight += 1;
        }
    }

    /// Notes that a request has left a replica.
    pub fn end(&mut self, id: &BackendId) {
        if let Some(member) = self.members.get_mut(id) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    /// Notes that a replica answered, and after what time.
    pub fn succeeded(&mut self, id: &BackendId, time: Duration) {
        if let Some(member) = self.members.get_mut(id) {
            member.failures = 0;
            member.ejected_until = Timestamp::ZERO;
            member.trouble *= TROUBLE_AFTER_SUCCESS;
            let sample = time.as_secs_f64() * 1_000.0;
            member.answer_ms = if member.answer_ms > 0.0 {
                member.answer_ms + SAMPLE_WEIGHT * (sample - member.answer_ms)
            } else {
                sample
            };
        }
    }

    /// Notes that a replica failed a request that it answered, or keeps one for much too long.
    pub fn troubled(&mut self, id: &BackendId, now: Timestamp) {
        if let Some(member) = self.members.get_mut(id) {
            let before = member.trouble_at(now);
            member.trouble = before + TROUBLE_WEIGHT * (1.0 - before);
            member.troubled_at = now;
        }
    }

    /// Notes that a replica could not be reached or broke a request off. It pauses, longer with
    /// each failure in a row. Returns until when.
    pub fn failed(&mut self, id: &BackendId, now: Timestamp) -> Option<Timestamp> {
        self.troubled(id, now);
        let member = self.members.get_mut(id)?;
        let doublings = member.failures.min(8);
        member.failures += 1;
        let pause = (FIRST_EJECTION * 2_u32.pow(doublings)).min(LONGEST_EJECTION);
        member.ejected_until = now.plus(pause);
        Some(member.ejected_until)
    }

    /// Share of a service's slots that this gateway has in use.
    #[must_use]
    pub fn usage(&self, service: &str) -> f64 {
        let mut slots = 0;
        let mut in_flight = 0;
        for member in self.members.values() {
            if member.backend.service == service && !member.backend.draining {
                slots += member.backend.slots;
                in_flight += member.in_flight;
            }
        }
        f64::from(in_flight) / f64::from(slots.max(1))
    }
}

impl Member {
    /// Share of failures lately, fading with time.
    fn trouble_at(&self, now: Timestamp) -> f64 {
        if self.trouble == 0.0 {
            return 0.0;
        }
        let half_lives =
            now.since(self.troubled_at).as_secs_f64() / TROUBLE_HALF_LIFE.as_secs_f64();
        self.trouble * 0.5_f64.powf(half_lives)
    }
}

/// Services whose programs stay in `zone`: it has replicas of them, and so many that take work are
/// in every zone that has any.
fn zonal_services(list: &BackendList, zone: &str) -> BTreeSet<String> {
    let mut zones: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
    for backend in list.backends() {
        let counts = zones.entry(backend.service.as_str()).or_default();
        let count = counts.entry(backend.zone.as_str()).or_default();
        *count += usize::from(!backend.draining);
    }
    let is_zonal = |counts: &BTreeMap<&str, usize>| {
        counts.contains_key(zone) && counts.values().all(|count| *count >= ENOUGH_NEAR)
    };
    let zonal = zones.into_iter().filter(|(_, counts)| is_zonal(counts));
    zonal.map(|(service, _)| service.to_owned()).collect()
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
