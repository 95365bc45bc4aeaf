//! Choice of a replica by the expected finish of a request.
//!
//! Only the few replicas that the choice by load compares are rated, so that the cost is the same
//! for any number of replicas.

use super::index::ServiceIndex;
use super::record::Record;
use super::step_mean::decay_factor;
use super::{Candidate, CandidateScope, Choice, Pool, RoutingRequest, rendezvous_rank};
use crate::finish::{Expected, ReplicaState, Work, batch_factor, expect};
use luglink_fleet::{Backend, BackendId};
use luglink_types::Timestamp;
use std::time::Duration;

/// Exponent by which the probability of a replica falls with its cost. Between two views, many
/// requests of many gateways are placed by the same figures; if each went to the replica that looks
/// best, all would meet there. A replica within a tenth of the least cost is drawn at least half as
/// often as the best one, a replica with twice the cost almost never.
const COST_EXPONENT: i32 = 5;

/// Multiple of another replica's cost up to which a turn stays at the replica that holds its
/// prompt. Reading the prompt elsewhere also delays the requests that run there, and makes others
/// leave in turn. A replica that has turned slow or stalls exceeds this within a second.
const STAY_COST_FACTOR: f64 = 2.0;

/// Multiple of the median cost from which the replica that holds a turn's prompt is an outlier.
/// Under overload all replicas are slow, and prompts of turns that moved would be read again by
/// engines that have no time for it.
const OUTLIER_FACTOR: f64 = 3.0;

/// Maximum load of a replica, relative to its share of the requests by speed, for it to get new
/// programs and turns that move while others have less load. Turns whose prompts it holds stay
/// beyond that, because reading them elsewhere lengthens the batches there. To keep the total
/// within a quarter above its share, the factor is lower than that.
const MAX_LOAD_FACTOR: f64 = 1.15;

/// Share of its slots that a replica may always fill: such a small batch is hardly slower.
const FREE_SLOT_RATIO: f64 = 0.25;

/// Pause between events that is assumed while none is known for any replica.
const DEFAULT_PAUSE_SECONDS: f64 = 0.05;

/// Minimum weight of the samples for a mean to be used.
const MIN_SAMPLES: f64 = 0.5;

/// Minimum number of gateways that must have observed failures for these to count in full. One
/// gateway may have local causes, such as its links.
const MIN_REPORTING_GATEWAYS: u16 = 2;

/// Weight of failures that only one other gateway has observed.
const SINGLE_GATEWAY_WEIGHT: f64 = 0.25;

/// Number of answered sends that is assumed before anything is known of a replica, so that its
/// first failure does not mean that it always fails.
const PRIOR_ANSWERS: f64 = 2.0;

/// Half-life of the failures in a view after it was taken.
const VIEW_HALF_LIFE: Duration = Duration::from_secs(1);

/// One in this many home candidates is used for the programs with the same shared part.
const SHARED_PART_DIVISOR: usize = 2;

/// Minimum number of replicas for a shared part: one may be slow and another one unavailable.
const MIN_PART_HOMES: usize = 3;

/// Turn that moves although the replica holding its prompt may serve it.
#[derive(Clone, Debug, PartialEq)]
pub struct Relocation {
    /// Replica that holds the prompt.
    pub from: BackendId,
    /// Expected times there.
    pub expected: Expected,
}

/// Figures behind a choice by expected finish.
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceBasis {
    /// Expected times at the chosen replica.
    pub expected: Expected,
    /// Set if the turn leaves the replica that holds its prompt.
    pub relocation: Option<Relocation>,
    /// Age of the other gateways' statistics.
    pub view_age: Duration,
}

/// Estimate of a replica from the statistics of this gateway and the others of its zone.
#[derive(Clone, Copy)]
struct ReplicaEstimate {
    /// Requests there now; `None` if only this gateway's are known.
    requests: Option<f64>,
    /// Requests there while the pause was measured.
    measured_at_requests: f64,
    /// Pause between events, in seconds.
    pause: Option<f64>,
    failure_ratio: f64,
}

/// Values that are assumed for replicas without statistics.
#[derive(Clone, Copy)]
struct TypicalReplica {
    /// Pause between events of a lone request, in seconds.
    solo_pause: f64,
    requests: f64,
}

/// Candidate with its expected times.
struct RatedCandidate<'pool> {
    candidate: Candidate<'pool>,
    expected: Expected,
    /// True if it has no more of the requests than its share by speed, with some tolerance.
    has_capacity: bool,
}

impl Pool {
    /// Sets whether replicas are chosen by expected finish for requests that describe their work.
    pub fn set_expected_finish(&mut self, is_on: bool) {
        self.expected_finish_enabled = is_on;
    }

    /// Returns true if replicas are chosen by expected finish now. Without a fresh view, a gateway
    /// of a fleet assumes typical values for nearly all replicas, and the choice by load is better.
    #[must_use]
    pub fn uses_expected_finish(&self, now: Timestamp) -> bool {
        self.expected_finish_enabled && self.view.is_fresh(now)
    }

    /// Records the pause between two events of a replica's stream.
    pub fn note_step(&mut self, id: &BackendId, pause: Duration, now: Timestamp) {
        if let Some(record) = self.records.get_mut(id) {
            record.steps.note(pause, now);
        }
    }

    /// Records that a replica reads a prompt that starts with a shared part.
    pub fn note_shared_part(&mut self, id: &BackendId, part: u64, now: Timestamp) {
        if let Some(record) = self.records.get_mut(id) {
            record.parts.note(part, now);
        }
    }

    /// Returns the expected times of `work` at a replica, or `None` if the replica may not get it.
    #[must_use]
    pub fn expected_at(&self, id: &BackendId, work: &Work, now: Timestamp) -> Option<Expected> {
        self.rate_at(id, work, now).map(|rated| rated.expected)
    }

    fn rate_at(&self, id: &BackendId, work: &Work, now: Timestamp) -> Option<RatedCandidate<'_>> {
        let candidate = self.candidate(id)?;
        let service = self.services.get(&candidate.backend.service)?;
        let mut all: Vec<Candidate<'_>> = self.used_candidates(service).collect();
        all.retain(|other| other.backend.id != *id);
        all.push(candidate);
        self.rate(all, work, &RoutingRequest::default(), now).pop()
    }

    fn used_candidates<'pool>(
        &'pool self,
        service: &'pool ServiceIndex,
    ) -> impl Iterator<Item = Candidate<'pool>> {
        service.used().filter_map(|id| self.candidate(id))
    }

    /// Chooses among `healthy` replicas that have not been tried. Returns `None` if there are none.
    pub(super) fn choose_soonest(
        &self,
        healthy: Vec<Candidate<'_>>,
        work: &Work,
        request: &RoutingRequest<'_>,
        is_connected: impl Fn(&BackendId) -> bool,
        now: Timestamp,
    ) -> Option<Choice> {
        let rated = self.rate(healthy, work, request, now);
        let holder = rated
            .iter()
            .find(|rated| request.cached_at == Some(&rated.candidate.backend.id));
        let any_has_capacity = rated.iter().any(|rated| rated.has_capacity);
        let open: Vec<&RatedCandidate<'_>> = rated
            .iter()
            .filter(|rated| rated.has_capacity || !any_has_capacity)
            .collect();
        let drawn = draw(&open, request, is_connected)?;
        let max_cost = (cost(drawn) * STAY_COST_FACTOR).max(median_cost(&rated) * OUTLIER_FACTOR);
        let stays = holder.filter(|holder| cost(holder) <= max_cost);
        let chosen = stays.unwrap_or(drawn);
        let relocation = holder
            .filter(|holder| holder.candidate.backend.id != chosen.candidate.backend.id)
            .map(|holder| Relocation {
                from: holder.candidate.backend.id.clone(),
                expected: holder.expected,
            });
        Some(Choice {
            backend: chosen.candidate.backend.clone(),
            in_flight: chosen.candidate.record.in_flight,
            basis: Some(ChoiceBasis {
                expected: chosen.expected,
                relocation,
                view_age: self.view.age(now),
            }),
        })
    }

    fn rate<'pool>(
        &self,
        candidates: Vec<Candidate<'pool>>,
        work: &Work,
        request: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> Vec<RatedCandidate<'pool>> {
        let estimates: Vec<ReplicaEstimate> = candidates
            .iter()
            .map(|candidate| self.estimate(*candidate, work, now))
            .collect();
        let typical = typical(&candidates, &estimates);
        let states: Vec<ReplicaState> = candidates
            .iter()
            .zip(&estimates)
            .map(|(candidate, estimate)| {
                self.state(*candidate, *estimate, typical, work, request, now)
            })
            .collect();
        let requests: f64 = states.iter().map(|state| state.requests).sum();
        let speed: f64 = states.iter().map(speed).sum();
        let rated = candidates.into_iter().zip(states);
        rated
            .map(|(candidate, state)| {
                let speed_share = (requests + 1.0) * self::speed(&state) / speed;
                let free = (FREE_SLOT_RATIO * f64::from(state.slots)).max(1.0);
                // A moment without requests, while programs call their tools, is not free capacity.
                let load = state.requests.max(state.measured_at_requests);
                let max_load = (MAX_LOAD_FACTOR * speed_share).max(free);
                RatedCandidate {
                    candidate,
                    expected: expect(work, &state),
                    has_capacity: load + 1.0 <= max_load,
                }
            })
            .collect()
    }

    fn estimate(&self, candidate: Candidate<'_>, work: &Work, now: Timestamp) -> ReplicaEstimate {
        let Candidate { backend, record } = candidate;
        let own_pause =
            (record.steps.weight_at(now) >= MIN_SAMPLES).then(|| record.steps.micros() / 1e6);
        let own_in_flight = f64::from(record.in_flight);
        let own_failure_ratio = record.failure_ratio_at(now);
        let is_near = backend.zone == self.zone;
        let Some(aged) = self.view.stats(&backend.id, now) else {
            // A fresh view contains all replicas that the gateways of the zone use. For other zones
            // it only contains the requests that this zone sends there.
            let is_idle = is_near && self.view.is_fresh(now);
            return ReplicaEstimate {
                requests: is_idle.then_some(own_in_flight),
                measured_at_requests: own_in_flight,
                pause: own_pause,
                failure_ratio: own_failure_ratio,
            };
        };
        let stats = aged.stats;
        let samples = f64::from(stats.samples_tenths) / 10.0;
        let since = own_in_flight - f64::from(record.in_flight_at_view);
        let requests = (f64::from(stats.in_flight_tenths) / 10.0 + since).max(own_in_flight);
        let pause = (samples >= MIN_SAMPLES).then(|| f64::from(stats.step_micros) / 1e6);
        let failures =
            f64::from(stats.failures_tenths) / 10.0 * decay_factor(aged.age, VIEW_HALF_LIFE);
        let answers = samples / work.events.max(1.0) + PRIOR_ANSWERS;
        let share = failures / (failures + answers);
        let is_certain =
            stats.reporting_gateways >= MIN_REPORTING_GATEWAYS || own_failure_ratio > 0.0;
        let weight = if is_certain {
            1.0
        } else {
            SINGLE_GATEWAY_WEIGHT
        };
        ReplicaEstimate {
            requests: is_near.then_some(requests),
            measured_at_requests: self.view.average_requests(&backend.id).unwrap_or(requests),
            pause: pause.or(own_pause),
            failure_ratio: own_failure_ratio.max(weight * share),
        }
    }

    fn state(
        &self,
        candidate: Candidate<'_>,
        estimate: ReplicaEstimate,
        typical: TypicalReplica,
        work: &Work,
        request: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> ReplicaState {
        let Candidate { backend, record } = candidate;
        let own = f64::from(record.in_flight);
        let requests = estimate
            .requests
            .unwrap_or_else(|| own.max(typical.requests));
        let (pause, measured_at_requests) = match estimate.pause {
            Some(pause) => (pause, estimate.measured_at_requests),
            None => (typical.solo_pause, 0.0),
        };
        ReplicaState {
            slots: backend.slots,
            requests,
            measured_at_requests,
            pause_seconds: pause,
            failure_ratio: estimate.failure_ratio,
            is_near: backend.zone == self.zone,
            tokens_to_read: tokens_to_read(backend, record, work, request, now),
        }
    }

    /// Returns the best `count` replicas at which a program may start. If its prompt starts with a
    /// shared part, `count` of the replicas that read such prompts are compared with `count`
    /// others, which must read the part first. Replicas with capacity precede others; within both
    /// groups, the earlier expected finish precedes. The replicas for a part are the same at all
    /// gateways of a zone.
    #[must_use]
    pub fn candidates_by_finish(
        &self,
        service: &str,
        program: u64,
        work: &Work,
        count: usize,
        now: Timestamp,
    ) -> Vec<Backend> {
        let by_load = || self.candidates(service, program, CandidateScope::Home, count, now);
        let Some(part) = work.shared.filter(|_| self.uses_expected_finish(now)) else {
            return by_load();
        };
        let all = self.candidates(service, part.id, CandidateScope::Home, usize::MAX, now);
        let homes = (all.len() / SHARED_PART_DIVISOR).max(MIN_PART_HOMES);
        let (homes, others) = all.split_at(homes.min(all.len()));
        let part_homes = rank_by_program(homes, program).into_iter().take(count);
        let elsewhere = rank_by_program(others, program).into_iter().take(count);
        let part_missing = Work {
            shared: None,
            ..*work
        };
        let part_held = Work {
            prompt_tokens: work.prompt_tokens.saturating_sub(part.tokens),
            ..part_missing
        };
        let rate = |backend: Backend, work: &Work| {
            let rated = self.rate_at(&backend.id, work, now)?;
            Some((!rated.has_capacity, cost(&rated), backend))
        };
        let part_homes = part_homes.filter_map(|backend| rate(backend, &part_held));
        let elsewhere = elsewhere.filter_map(|backend| rate(backend, &part_missing));
        let mut drawn: Vec<(bool, f64, Backend)> = part_homes.chain(elsewhere).collect();
        drawn.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let drawn = drawn.into_iter().take(count);
        drawn.map(|(_, _, backend)| backend).collect()
    }
}

fn rank_by_program(backends: &[Backend], program: u64) -> Vec<Backend> {
    let mut ranked = backends.to_vec();
    ranked.sort_by_key(|backend| std::cmp::Reverse(rendezvous_rank(&backend.id, program)));
    ranked
}

/// Returns the median cost of the replicas.
fn median_cost(rated: &[RatedCandidate<'_>]) -> f64 {
    median(rated.iter().map(cost).collect()).unwrap_or(0.0)
}

fn cost(rated: &RatedCandidate<'_>) -> f64 {
    rated.expected.finish_seconds
}

/// Draws a candidate, with a higher probability for a lower cost and similar ones for similar
/// costs.
fn draw<'rated, 'pool>(
    open: &[&'rated RatedCandidate<'pool>],
    request: &RoutingRequest<'_>,
    is_connected: impl Fn(&BackendId) -> bool,
) -> Option<&'rated RatedCandidate<'pool>> {
    let least_cost = open.iter().map(|rated| cost(rated));
    let least_cost = least_cost.min_by(f64::total_cmp)?;
    let sampling_key = |rated: &&RatedCandidate<'_>| sampling_key(rated, least_cost, request);
    let drawn = *open
        .iter()
        .min_by(|left, right| sampling_key(left).total_cmp(&sampling_key(right)))?;
    if is_connected(&drawn.candidate.backend.id) {
        return Some(drawn);
    }
    // A candidate that is no worse and has an idle connection saves opening a new one.
    let limit = drawn.expected.after_connecting().finish_seconds;
    let mut nearly = open.iter().filter(|rated| cost(rated) <= limit);
    let connected = nearly.find(|rated| is_connected(&rated.candidate.backend.id));
    Some(connected.map_or(drawn, |connected| *connected))
}

/// Returns the random key of a candidate, different for each request. The smallest key wins, with a
/// probability in proportion to the candidate's weight.
fn sampling_key(rated: &RatedCandidate<'_>, least_cost: f64, request: &RoutingRequest<'_>) -> f64 {
    let hash = rendezvous_rank(&rated.candidate.backend.id, request.draw);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let weight = (least_cost / cost(rated)).powi(COST_EXPONENT);
    -uniform.ln() / weight
}

fn tokens_to_read(
    backend: &Backend,
    record: &Record,
    work: &Work,
    request: &RoutingRequest<'_>,
    now: Timestamp,
) -> u32 {
    if request.cached_at == Some(&backend.id) {
        return work.new_tokens;
    }
    let shared = work.shared.filter(|part| record.parts.holds(part.id, now));
    let held = shared.map_or(0, |part| part.tokens);
    work.prompt_tokens.saturating_sub(held)
}

/// Returns the events per second that the replica generates for a lone request.
fn speed(state: &ReplicaState) -> f64 {
    let solo_pause = state.pause_seconds / batch_factor(state.measured_at_requests, state.slots);
    1.0 / solo_pause.max(1e-6)
}

fn typical(candidates: &[Candidate<'_>], estimates: &[ReplicaEstimate]) -> TypicalReplica {
    let both = || candidates.iter().zip(estimates);
    let solo_pause = |(candidate, estimate): (&Candidate<'_>, &ReplicaEstimate)| {
        let factor = batch_factor(estimate.measured_at_requests, candidate.backend.slots);
        estimate.pause.map(|pause| pause / factor)
    };
    TypicalReplica {
        solo_pause: median(both().filter_map(solo_pause).collect())
            .unwrap_or(DEFAULT_PAUSE_SECONDS),
        requests: median(
            estimates
                .iter()
                .filter_map(|estimate| estimate.requests)
                .collect(),
        )
        .unwrap_or(0.0),
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
