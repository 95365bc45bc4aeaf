//! Programs running at this gateway, and the memory that they need until they end.
//!
//! Programs that pause for their tools are in no engine's report, but need their cached prompts
//! again within moments. A prompt that was evicted for programs that started meanwhile must be read
//! again, which costs about ten times as much as using the cached one.

use crate::route_profile::RouteProfile;
use luglink_edge::{Configuration, Route};
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of tracked programs, more than one gateway can run.
const MAX_PROGRAMS: usize = 8_192;

/// Number of equal steps of a program's life for which the memory need is projected.
const LOOKAHEAD_STEPS: usize = 16;

/// Time constant of the average demand: shorter than the lives of programs, so that the average
/// soon follows a burst, and long enough for some tens of turns.
const AVERAGING_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Interval between two samples of the demand.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Start of a turn.
#[derive(Clone, Copy, Debug)]
pub struct TurnStarted<'request> {
    /// Identifier of the program.
    pub program: u64,
    /// Route of the turn.
    pub route: &'request Route,
    /// Service of the turn.
    pub service: &'request str,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// True for the first turn of a program.
    pub is_first_turn: bool,
}

/// Demand of the running programs as observed by one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LocalDemand {
    /// Tokens needed in memory now, and after each step of the programs' lives until they end.
    pub tokens: [f64; LOOKAHEAD_STEPS],
    /// Number of programs, including paused ones.
    pub programs: f64,
    /// Number of turns in flight.
    pub requests: f64,
}

impl LocalDemand {
    /// Returns the maximum number of tokens needed at once.
    #[must_use]
    pub fn peak(&self) -> f64 {
        self.tokens.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the demand multiplied by a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        self.interpolate(&Self::default(), 1.0 - factor)
    }

    /// Returns the average with another demand of weight `weight`.
    #[must_use]
    pub fn interpolate(&self, other: &Self, weight: f64) -> Self {
        let blend = |one: f64, other: f64| one + weight * (other - one);
        Self {
            tokens: std::array::from_fn(|step| blend(self.tokens[step], other.tokens[step])),
            programs: blend(self.programs, other.programs),
            requests: blend(self.requests, other.requests),
        }
    }
}

/// Moving average of demands.
#[derive(Clone, Copy, Debug, Default)]
struct AverageDemand {
    average: LocalDemand,
    /// Sum of the weights of all samples so far; approaches one.
    weight: f64,
    at: Timestamp,
}

impl AverageDemand {
    fn add(&mut self, demand: &LocalDemand, now: Timestamp) {
        let elapsed = now.since(self.at).max(SAMPLE_INTERVAL);
        let weight = 1.0 - (-elapsed.as_secs_f64() / AVERAGING_TIME_CONSTANT.as_secs_f64()).exp();
        self.weight += weight * (1.0 - self.weight);
        self.average = self.average.interpolate(demand, weight / self.weight);
        self.at = now;
    }
}

/// Running program.
#[derive(Clone, Debug)]
struct Program {
    route: String,
    service: String,
    prompt: f64,
    in_flight: u32,
    /// Time at which its last turn started or ended.
    last_active: Timestamp,
}

/// Programs running at this gateway.
#[derive(Clone, Debug, Default)]
pub struct ProgramTable {
    programs: HashMap<u64, Program>,
    profiles: HashMap<String, RouteProfile>,
    averages: HashMap<String, AverageDemand>,
}

impl ProgramTable {
    /// Records the start of a turn. Each one must be followed by [`Self::end_turn`].
    pub fn begin_turn(&mut self, turn: &TurnStarted<'_>, now: Timestamp) {
        // The sample precedes the new turn: afterwards there is always at least one in flight.
        let average = self.averages.get(turn.service);
        if average.is_none_or(|average| now.since(average.at) >= SAMPLE_INTERVAL) {
            self.demand(turn.service, now);
        }
        self.record_start(turn, now);
    }

    fn record_start(&mut self, turn: &TurnStarted<'_>, now: Timestamp) {
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
                profile.note_pause(now.since(program.last_active));
            }
            program.prompt = prompt;
            program.in_flight += 1;
            program.last_active = now;
            return;
        }
        if self.programs.len() >= MAX_PROGRAMS {
            return;
        }
        self.programs.insert(
            turn.program,
            Program {
                route: turn.route.name.clone(),
                service: turn.service.to_owned(),
                prompt,
                in_flight: 1,
                last_active: now,
            },
        );
    }

    /// Records the end of a program's turn, which took `taken`.
    pub fn end_turn(&mut self, program: u64, taken: Duration, now: Timestamp) {
        let Some(program) = self.programs.get_mut(&program) else {
            return;
        };
        program.in_flight = program.in_flight.saturating_sub(1);
        program.last_active = now;
        if let Some(profile) = self.profiles.get_mut(&program.route) {
            profile.note_end(taken);
        }
    }

    /// Returns true if a program is known to be running.
    #[must_use]
    pub fn knows(&self, program: u64) -> bool {
        self.programs.contains_key(&program)
    }

    /// Returns the demand of the programs running at a service. Removes those that have ended.
    pub fn demand(&mut self, service: &str, now: Timestamp) -> LocalDemand {
        let profiles = &self.profiles;
        self.programs.retain(|_, program| {
            let expiry = profiles.get(&program.route).map(RouteProfile::expiry);
            program.in_flight > 0 || now.since(program.last_active) < expiry.unwrap_or_default()
        });
        let mut demand = LocalDemand::default();
        let programs = self.programs.values();
        for program in programs.filter(|program| program.service == service) {
            self.add(program, &mut demand, now);
        }
        let average = self.averages.entry(service.to_owned()).or_default();
        if now.since(average.at) >= SAMPLE_INTERVAL || average.weight == 0.0 {
            average.add(&demand, now);
        }
        demand
    }

    /// Returns the average of recent results of [`Self::demand`]. Its ratios give the demand per
    /// request in flight, also at a gateway that has few requests at a time.
    #[must_use]
    pub fn average_demand(&self, service: &str) -> LocalDemand {
        let average = self.averages.get(service);
        average.map(|average| average.average).unwrap_or_default()
    }

    /// Adds the demand of a program from now until it ends. A paused program counts with the
    /// probability that it is still running, which this gateway cannot observe.
    fn add(&self, program: &Program, demand: &mut LocalDemand, now: Timestamp) {
        let profile = self.profiles.get(&program.route).copied();
        let profile = profile.unwrap_or_default();
        let remaining_life = 1.0 - profile.progress(program.prompt);
        let weight = if program.in_flight > 0 {
            // Sub-agents have prompts of their own.
            f64::from(program.in_flight)
        } else {
            profile.pausing_probability(now.since(program.last_active))
                * profile.continue_probability(program.prompt)
        };
        demand.programs += weight.min(1.0);
        demand.requests += f64::from(program.in_flight);
        let growth = profile.growth() / LOOKAHEAD_STEPS as f64;
        let steps = (remaining_life * LOOKAHEAD_STEPS as f64).ceil() as usize;
        for (step, tokens) in demand.tokens.iter_mut().enumerate().take(steps.max(1)) {
            *tokens += weight * (program.prompt + growth * step as f64);
        }
    }

    /// Returns the time from the start of a route's program to its end.
    #[must_use]
    pub fn lifetime(&self, route: &str) -> Duration {
        let profile = self.profiles.get(route).copied();
        profile.unwrap_or_default().lifetime()
    }

    /// Removes routes and services that are no longer configured.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        let names = configuration.route_names();
        self.profiles
            .retain(|name, _| names.contains(name.as_str()));
        self.averages
            .retain(|name, _| configuration.service(name).is_some());
    }
}
