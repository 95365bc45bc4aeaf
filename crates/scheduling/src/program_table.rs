//! The programs that this gateway has under way, and the memory that they need until they end.
//!
//! Answers the load of programs that pause for their tools: they are in no engine's report, but
//! their cached prompts are needed again within moments, and read again at some ten times the
//! cost when they had to give way to programs that began meanwhile.

use crate::route_profile::RouteProfile;
use luglink_edge::{Configuration, Route};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Most programs that are noted: more than one gateway can have under way.
const MOST_PROGRAMS: usize = 8_192;

/// Steps, in shares of a program's life, for which the need of memory is looked ahead.
const STEPS: usize = 16;

/// Time over which what programs need is averaged: shorter than their lives, so that the average
/// has followed soon after a burst, and long enough for some tens of turns.
const AVERAGED_OVER: Duration = Duration::from_secs(2);

/// Time between two samples of it.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// A turn that begins.
#[derive(Clone, Copy, Debug)]
pub struct TurnStarted<'request> {
    /// Stands for its program.
    pub program: u64,
    /// Its route.
    pub route: &'request Route,
    /// Its service.
    pub service: &'request str,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Whether it is its program's first one.
    pub is_first_turn: bool,
}

/// What programs under way need, as one gateway sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnDemand {
    /// Tokens that they need in memory now, and after each step of their lives until they end.
    pub tokens: [f64; STEPS],
    /// Programs, those that pause included.
    pub programs: f64,
    /// Their turns under way.
    pub requests: f64,
}

impl OwnDemand {
    /// The most tokens that are needed at once.
    #[must_use]
    pub fn peak(&self) -> f64 {
        self.tokens.iter().copied().fold(0.0, f64::max)
    }

    /// So many times as much.
    #[must_use]
    pub fn times(&self, factor: f64) -> Self {
        self.towards(&Self::default(), 1.0 - factor)
    }

    /// The average with another one of that weight.
    #[must_use]
    pub fn towards(&self, other: &Self, weight: f64) -> Self {
        let between = |one: f64, other: f64| one + weight * (other - one);
        Self {
            tokens: std::array::from_fn(|step| between(self.tokens[step], other.tokens[step])),
            programs: between(self.programs, other.programs),
            requests: between(self.requests, other.requests),
        }
    }
}

/// An average of demands.
#[derive(Clone, Copy, Debug, Default)]
struct UsualDemand {
    average: OwnDemand,
    /// Sum of the weights of all samples so far; it tends to one.
    weight: f64,
    at: Timestamp,
}

impl UsualDemand {
    fn add(&mut self, demand: &OwnDemand, now: Timestamp) {
        let elapsed = now.since(self.at).max(SAMPLE_INTERVAL);
        let weight = 1.0 - (-elapsed.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp();
        self.weight += weight * (1.0 - self.weight);
        self.average = self.average.towards(demand, weight / self.weight);
        self.at = now;
    }
}

/// A program under way.
#[derive(Clone, Debug)]
struct Program {
    route: String,
    service: String,
    prompt: f64,
    in_flight: u32,
    /// When its last turn began or ended.
    seen: Timestamp,
}

/// The programs that this gateway has under way.
#[derive(Clone, Debug, Default)]
pub struct ProgramTable {
    programs: HashMap<u64, Program>,
    profiles: HashMap<String, RouteProfile>,
    usual: HashMap<String, UsualDemand>,
}

impl ProgramTable {
    /// Notes a turn that begins. Each one must be followed by [`Self::end_turn`].
    pub fn begin_turn(&mut self, turn: &TurnStarted<'_>, now: Timestamp) {
        // Before it is noted: at its beginning there is always one under way.
        let usual = self.usual.get(turn.service);
        if usual.is_none_or(|usual| now.since(usual.at) >= SAMPLE_INTERVAL) {
            self.demand(turn.service, now);
        }
        self.note(turn, now);
    }

    fn note(&mut self, turn: &TurnStarted<'_>, now: Timestamp) {
        let prompt = turn.prompt_tokens as f64;
        if !self.profiles.contains_key(&turn.route.name) {
            let name = turn.route.name.clone();
            self.profiles.insert(name, RouteProfile::default());
        }
        let Some(profile) = self.profiles.get_mut(&turn.route.name) else {
            return;
        };
        profile.note_turn(prompt, turn.is_first_turn, now);
        if let Some(program) = self.programs.get_mut(&turn.program) {
            if program.in_flight == 0 {
                profile.note_pause(now.since(program.seen));
            }
            program.prompt = prompt;
            program.in_flight += 1;
            program.seen = now;
            return;
        }
        if self.programs.len() >= MOST_PROGRAMS {
            return;
        }
        self.programs.insert(
            turn.program,
            Program {
                route: turn.route.name.clone(),
                service: turn.service.to_owned(),
                prompt,
                in_flight: 1,
                seen: now,
            },
        );
    }

    /// Notes that a turn of a program has ended, after the time that it took.
    pub fn end_turn(&mut self, program: u64, taken: Duration, now: Timestamp) {
        let Some(program) = self.programs.get_mut(&program) else {
            return;
        };
        program.in_flight = program.in_flight.saturating_sub(1);
        program.seen = now;
        if let Some(profile) = self.profiles.get_mut(&program.route) {
            profile.note_end(taken);
        }
    }

    /// Whether a program is known to be under way.
    #[must_use]
    pub fn knows(&self, program: u64) -> bool {
        self.programs.contains_key(&program)
    }

    /// What the programs under way at a service need. Forgets those that have ended.
    pub fn demand(&mut self, service: &str, now: Timestamp) -> OwnDemand {
        let profiles = &self.profiles;
        self.programs.retain(|_, program| {
            let expiry = profiles.get(&program.route).map(RouteProfile::expiry);
            program.in_flight > 0 || now.since(program.seen) < expiry.unwrap_or_default()
        });
        let mut demand = OwnDemand::default();
        let programs = self.programs.values();
        for program in programs.filter(|program| program.service == service) {
            self.add(program, &mut demand, now);
        }
        let usual = self.usual.entry(service.to_owned()).or_default();
        if now.since(usual.at) >= SAMPLE_INTERVAL || usual.weight == 0.0 {
            usual.add(&demand, now);
        }
        demand
    }

    /// The average of what [`Self::demand`] told lately: what a request under way stands for, at
    /// a gateway that has few at a time.
    #[must_use]
    pub fn average_demand(&self, service: &str) -> OwnDemand {
        let usual = self.usual.get(service);
        usual.map(|usual| usual.average).unwrap_or_default()
    }

    /// Adds what a program needs from now until it ends. One that pauses counts for as much as it
    /// is likely to be under way still, unknown to this gateway.
    fn add(&self, program: &Program, demand: &mut OwnDemand, now: Timestamp) {
        let profile = self.profiles.get(&program.route).copied();
        let profile = profile.unwrap_or_default();
        let left = 1.0 - profile.age(program.prompt);
        let lines = if program.in_flight > 0 {
            // Sub-agents have prompts of their own.
            f64::from(program.in_flight)
        } else {
            profile.pauses_still(now.since(program.seen)) * profile.goes_on(program.prompt)
        };
        demand.programs += lines.min(1.0);
        demand.requests += f64::from(program.in_flight);
        let growth = profile.growth() / STEPS as f64;
        let steps = (left * STEPS as f64).ceil() as usize;
        for (step, tokens) in demand.tokens.iter_mut().enumerate().take(steps.max(1)) {
            *tokens += lines * (program.prompt + growth * step as f64);
        }
    }

    /// Time from the beginning of a route's program to its end.
    #[must_use]
    pub fn lifetime(&self, route: &str) -> Duration {
        let profile = self.profiles.get(route).copied();
        profile.unwrap_or_default().lifetime()
    }

    /// Forgets routes that are not in force any more.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let names = configuration.route_names();
        self.profiles
            .retain(|name, _| names.contains(name.as_str()));
        self.usual
            .retain(|name, _| configuration.service(name).is_some());
    }
}
