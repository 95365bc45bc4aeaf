//! The choice of a replica by when a request is expected to be finished there.
//!
//! All figures of a request come from the same few replicas that the plain way weighs, so it costs
//! the same before any number of replicas.

use super::index::ServiceIndex;
use super::record::Record;
use super::step_mean::faded;
use super::{Candidate, CandidateScope, Choice, Pool, RoutingRequest, home_rank};
use crate::finish::{Expected, ReplicaState, Work, batch_factor, expect};
use luglink_fleet::{Backend, BackendId};
use luglink_types::Timestamp;
use std::time::Duration;

/// How much seldomer a replica is drawn that costs more than the least: between two views many
/// requests of many gateways are placed by the same figures, and were each to go to the replica
/// that looks best, all would meet there. One within a tenth of the least is drawn half as often as
/// the best or more, one at twice the cost next to never.
const SHARPNESS: i32 = 5;

/// Times what another replica would cost up to which a turn stays at the one that holds its prompt.
/// Reading it elsewhere also holds up the requests that run there, and makes others leave in turn;
/// a replica that has turned slow or silent costs more than this within a second.
const KEEPS_PROMPT: f64 = 2.0;

/// Times the cost of the middle replica from which the one that holds a turn's prompt is slow for
/// reasons of its own. Under too much load all are slow, and turns that left would have their
/// prompts read again by engines that have no time for it.
const OUTLIER: f64 = 3.0;

/// Times what its speed earns that a replica may have of the requests, for it to get new programs
/// and turns that move while others have less. Those that it has stay when it has more: to read
/// them elsewhere lengthens the batches there. So that all of them together stay within a quarter
/// above what it earns, it is less than that.
const LOAD_BOUND: f64 = 1.15;

/// Share of its slots that a replica may always fill: a batch that small is scarcely slower.
const FREE_SHARE: f64 = 0.25;

/// Pause between events while none has been measured at any replica.
const USUAL_PAUSE_SECONDS: f64 = 0.05;

/// Samples from which a mean says something of its replica.
const ENOUGH_SAMPLES: f64 = 0.5;

/// Gateways that must have seen troubles for them to count in full. One gateway may have its own
/// reasons, such as its links.
const ENOUGH_WITNESSES: u16 = 2;

/// Share in which troubles count that one other gateway alone has seen.
const LONE_WITNESS_SHARE: f64 = 0.25;

/// Sends that a replica is taken to have answered before anything is known of it, so that the
/// first trouble does not mean that it always fails.
const ASSUMED_ANSWERS: f64 = 2.0;

/// Time in which half of what a view says of troubles is forgotten after it was taken.
const VIEW_HALF_LIFE: Duration = Duration::from_secs(1);

/// One in so many of a zone's replicas gets the programs whose prompts begin with the same part.
const SHARED_PART_SPREAD: usize = 2;

/// Fewest replicas for a shared part: one may be slow and one gone.
const LEAST_PART_HOMES: usize = 3;

/// A turn that goes elsewhere although the replica which holds its prompt may get it.
#[derive(Clone, Debug, PartialEq)]
pub struct Relocation {
    /// The replica that holds its prompt.
    pub from: BackendId,
    /// What was expected there.
    pub expected: Expected,
}

/// What a choice by expected finish went by.
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceBasis {
    /// What is expected of the chosen replica.
    pub expected: Expected,
    /// Set when the turn leaves the replica that holds its prompt.
    pub relocation: Option<Relocation>,
    /// Age of what is known from other gateways.
    pub view_age: Duration,
}

/// What is known of a replica, by itself or with the others of its zone.
#[derive(Clone, Copy)]
struct Known {
    /// Requests there now; `None` when only this gateway's are known.
    requests: Option<f64>,
    /// Requests there while the pause was measured.
    measured_at: f64,
    /// Pause between events, in seconds.
    pause: Option<f64>,
    trouble: f64,
}

/// What replicas of which nothing is known are taken to be like.
#[derive(Clone, Copy)]
struct Typical {
    /// Pause between events of a request that runs alone, in seconds.
    lone_pause: f64,
    requests: f64,
}

/// A candidate and what is expected of it.
struct Weighed<'pool> {
    candidate: Candidate<'pool>,
    expected: Expected,
    /// Whether it has no more of the requests than its speed earns, with some slack.
    has_room: bool,
}

impl Pool {
    /// Whether replicas are chosen by expected finish, for requests that say what they ask for.
    pub fn set_expected_finish(&mut self, is_on: bool) {
        self.by_finish = is_on;
    }

    /// Whether replicas are chosen by expected finish now. Without a view of the present a gateway
    /// of a fleet takes nearly all replicas for typical ones, and the plain way knows more.
    #[must_use]
    pub fn uses_expected_finish(&self, now: Timestamp) -> bool {
        self.by_finish && self.view.is_fresh(now)
    }

    /// Notes the pause between two events of a replica's stream.
    pub fn note_step(&mut self, id: &BackendId, pause: Duration, now: Timestamp) {
        if let Some(record) = self.records.get_mut(id) {
            record.steps.note(pause, now);
        }
    }

    /// Notes that a replica reads a prompt that begins with a shared part.
    pub fn note_shared_part(&mut self, id: &BackendId, part: u64, now: Timestamp) {
        if let Some(record) = self.records.get_mut(id) {
            record.parts.note(part, now);
        }
    }

    /// When `work` is expected to be finished at a replica; `None` when it may not get it.
    #[must_use]
    pub fn expected_at(&self, id: &BackendId, work: &Work, now: Timestamp) -> Option<Expected> {
        self.weighed_at(id, work, now)
            .map(|weighed| weighed.expected)
    }

    fn weighed_at(&self, id: &BackendId, work: &Work, now: Timestamp) -> Option<Weighed<'_>> {
        let candidate = self.candidate(id)?;
        let service = self.services.get(&candidate.backend.service)?;
        let mut all: Vec<Candidate<'_>> = self.used_of(service).collect();
        all.retain(|other| other.backend.id != *id);
        all.push(candidate);
        self.weigh(all, work, &RoutingRequest::default(), now).pop()
    }

    fn used_of<'pool>(
        &'pool self,
        service: &'pool ServiceIndex,
    ) -> impl Iterator<Item = Candidate<'pool>> {
        service.used().filter_map(|id| self.candidate(id))
    }

    /// The choice among `sound`, none of which has been tried; `None` when there are none.
    pub(super) fn soonest(
        &self,
        sound: Vec<Candidate<'_>>,
        work: &Work,
        wish: &RoutingRequest<'_>,
        is_connected: impl Fn(&BackendId) -> bool,
        now: Timestamp,
    ) -> Option<Choice> {
        let weighed = self.weigh(sound, work, wish, now);
        let holder = weighed
            .iter()
            .find(|weighed| wish.cached_at == Some(&weighed.candidate.backend.id));
        let any_has_room = weighed.iter().any(|weighed| weighed.has_room);
        let open: Vec<&Weighed<'_>> = weighed
            .iter()
            .filter(|weighed| weighed.has_room || !any_has_room)
            .collect();
        let drawn = draw(&open, wish, is_connected)?;
        let most = (cost(drawn) * KEEPS_PROMPT).max(middle_cost(&weighed) * OUTLIER);
        let stays = holder.filter(|holder| cost(holder) <= most);
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

    fn weigh<'pool>(
        &self,
        candidates: Vec<Candidate<'pool>>,
        work: &Work,
        wish: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> Vec<Weighed<'pool>> {
        let known: Vec<Known> = candidates
            .iter()
            .map(|candidate| self.known(*candidate, work, now))
            .collect();
        let typical = typical(&candidates, &known);
        let states: Vec<ReplicaState> = candidates
            .iter()
            .zip(&known)
            .map(|(candidate, known)| self.state(*candidate, *known, typical, work, wish, now))
            .collect();
        let requests: f64 = states.iter().map(|state| state.requests).sum();
        let speed: f64 = states.iter().map(speed).sum();
        let weighed = candidates.into_iter().zip(states);
        weighed
            .map(|(candidate, state)| {
                let earned = (requests + 1.0) * self::speed(&state) / speed;
                let free = (FREE_SHARE * f64::from(state.slots)).max(1.0);
                // A moment without requests, while programs call their tools, is no room.
                let load = state.requests.max(state.measured_at_requests);
                let most = (LOAD_BOUND * earned).max(free);
                Weighed {
                    candidate,
                    expected: expect(work, &state),
                    has_room: load + 1.0 <= most,
                }
            })
            .collect()
    }

    fn known(&self, candidate: Candidate<'_>, work: &Work, now: Timestamp) -> Known {
        let Candidate { backend, record } = candidate;
        let own_pause =
            (record.steps.weight_at(now) >= ENOUGH_SAMPLES).then(|| record.steps.micros() / 1e6);
        let own_in_flight = f64::from(record.in_flight);
        let own_trouble = record.trouble_at(now);
        let is_near = backend.zone == self.zone;
        let Some(aged) = self.view.sight(&backend.id, now) else {
            // A fresh view names all that the gateways of the zone use. Of other zones it tells
            // what this zone sends there only.
            let is_idle = is_near && self.view.is_fresh(now);
            return Known {
                requests: is_idle.then_some(own_in_flight),
                measured_at: own_in_flight,
                pause: own_pause,
                trouble: own_trouble,
            };
        };
        let sight = aged.sight;
        let samples = f64::from(sight.samples_tenths) / 10.0;
        let since = own_in_flight - f64::from(record.in_flight_at_view);
        let requests = (f64::from(sight.in_flight_tenths) / 10.0 + since).max(own_in_flight);
        let pause = (samples >= ENOUGH_SAMPLES).then(|| f64::from(sight.step_micros) / 1e6);
        let troubles = f64::from(sight.failures_tenths) / 10.0 * faded(aged.age, VIEW_HALF_LIFE);
        let answers = samples / work.events.max(1.0) + ASSUMED_ANSWERS;
        let share = troubles / (troubles + answers);
        let is_certain = sight.reporting_gateways >= ENOUGH_WITNESSES || own_trouble > 0.0;
        let weight = if is_certain { 1.0 } else { LONE_WITNESS_SHARE };
        Known {
            requests: is_near.then_some(requests),
            measured_at: self.view.usual_requests(&backend.id).unwrap_or(requests),
            pause: pause.or(own_pause),
            trouble: own_trouble.max(weight * share),
        }
    }

    fn state(
        &self,
        candidate: Candidate<'_>,
        known: Known,
        typical: Typical,
        work: &Work,
        wish: &RoutingRequest<'_>,
        now: Timestamp,
    ) -> ReplicaState {
        let Candidate { backend, record } = candidate;
        let own = f64::from(record.in_flight);
        let requests = known.requests.unwrap_or_else(|| own.max(typical.requests));
        let (pause, measured_at) = match known.pause {
            Some(pause) => (pause, known.measured_at),
            None => (typical.lone_pause, 0.0),
        };
        ReplicaState {
            slots: backend.slots,
            requests,
            measured_at_requests: measured_at,
            pause_seconds: pause,
            trouble: known.trouble,
            is_near: backend.zone == self.zone,
            tokens_to_read: tokens_to_read(backend, record, work, wish, now),
        }
    }

    /// Where a program whose prompt begins with a shared part may begin: the sooner of two of the
    /// replicas that read such prompts, unless others would be done sooner although they must read
    /// the part. The replicas for a part are the same at all gateways of a zone.
    #[must_use]
    pub fn candidates_by_finish(
        &self,
        service: &str,
        program: u64,
        work: &Work,
        count: usize,
        now: Timestamp,
    ) -> Vec<Backend> {
        let plain = || self.candidates(service, program, CandidateScope::Home, count, now);
        let Some(part) = work.shared.filter(|_| self.uses_expected_finish(now)) else {
            return plain();
        };
        let all = self.candidates(service, part.id, CandidateScope::Home, usize::MAX, now);
        let homes = (all.len() / SHARED_PART_SPREAD).max(LEAST_PART_HOMES);
        let (homes, others) = all.split_at(homes.min(all.len()));
        let of_part = ranked(homes, program).into_iter().take(count);
        let elsewhere = ranked(others, program).into_iter().take(count);
        let reading = Work {
            shared: None,
            ..*work
        };
        let held = Work {
            prompt_tokens: work.prompt_tokens.saturating_sub(part.tokens),
            ..reading
        };
        let weigh = |backend: Backend, work: &Work| {
            let weighed = self.weighed_at(&backend.id, work, now)?;
            Some((!weighed.has_room, cost(&weighed), backend))
        };
        let of_part = of_part.filter_map(|backend| weigh(backend, &held));
        let elsewhere = elsewhere.filter_map(|backend| weigh(backend, &reading));
        let mut drawn: Vec<(bool, f64, Backend)> = of_part.chain(elsewhere).collect();
        drawn.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
        let drawn = drawn.into_iter().take(count);
        drawn.map(|(_, _, backend)| backend).collect()
    }
}

fn ranked(backends: &[Backend], program: u64) -> Vec<Backend> {
    let mut ranked = backends.to_vec();
    ranked.sort_by_key(|backend| std::cmp::Reverse(home_rank(&backend.id, program)));
    ranked
}

/// What half of the replicas would cost at the most.
fn middle_cost(weighed: &[Weighed<'_>]) -> f64 {
    median(weighed.iter().map(cost).collect()).unwrap_or(0.0)
}

fn cost(weighed: &Weighed<'_>) -> f64 {
    weighed.expected.finish_seconds
}

/// One of the candidates, those that cost less more often; near equals much alike.
fn draw<'weighed, 'pool>(
    open: &[&'weighed Weighed<'pool>],
    wish: &RoutingRequest<'_>,
    is_connected: impl Fn(&BackendId) -> bool,
) -> Option<&'weighed Weighed<'pool>> {
    let least = open.iter().map(|weighed| cost(weighed));
    let least = least.min_by(f64::total_cmp)?;
    let lot = |weighed: &&Weighed<'_>| lot(weighed, least, wish);
    let drawn = *open
        .iter()
        .min_by(|left, right| lot(left).total_cmp(&lot(right)))?;
    if is_connected(&drawn.candidate.backend.id) {
        return Some(drawn);
    }
    // One that is no worse with a connection at rest spares opening one.
    let limit = drawn.expected.after_connecting().finish_seconds;
    let mut nearly = open.iter().filter(|weighed| cost(weighed) <= limit);
    let connected = nearly.find(|weighed| is_connected(&weighed.candidate.backend.id));
    Some(connected.map_or(drawn, |connected| *connected))
}

/// What a replica draws: the least lot wins, with a chance in proportion to the replica's weight.
/// Different for each request.
fn lot(weighed: &Weighed<'_>, least: f64, wish: &RoutingRequest<'_>) -> f64 {
    let hash = home_rank(&weighed.candidate.backend.id, wish.draw);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    let weight = (least / cost(weighed)).powi(SHARPNESS);
    -uniform.ln() / weight
}

fn tokens_to_read(
    backend: &Backend,
    record: &Record,
    work: &Work,
    wish: &RoutingRequest<'_>,
    now: Timestamp,
) -> u32 {
    if wish.cached_at == Some(&backend.id) {
        return work.new_tokens;
    }
    let shared = work.shared.filter(|part| record.parts.holds(part.id, now));
    let held = shared.map_or(0, |part| part.tokens);
    work.prompt_tokens.saturating_sub(held)
}

/// Events that the replica gives a request that runs alone, per second.
fn speed(state: &ReplicaState) -> f64 {
    let lone = state.pause_seconds / batch_factor(state.measured_at_requests, state.slots);
    1.0 / lone.max(1e-6)
}

fn typical(candidates: &[Candidate<'_>], known: &[Known]) -> Typical {
    let both = || candidates.iter().zip(known);
    let lone_pause = |(candidate, known): (&Candidate<'_>, &Known)| {
        let factor = batch_factor(known.measured_at, candidate.backend.slots);
        known.pause.map(|pause| pause / factor)
    };
    Typical {
        lone_pause: median(both().filter_map(lone_pause).collect()).unwrap_or(USUAL_PAUSE_SECONDS),
        requests: median(known.iter().filter_map(|known| known.requests).collect()).unwrap_or(0.0),
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
