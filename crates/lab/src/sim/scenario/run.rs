//! Running a scenario over many seeds and checking every promise.

use crate::check::{BrokenPromise, check_all};
use crate::observe::{History, Outcome};
use crate::sim::digest::hexadecimal;
use crate::sim::faults::FaultCounts;
use crate::sim::scenario::catalogue::Scenario;
use crate::sim::simulate;
use luglink_types::RefusalCode;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A seed whose run broke a promise or went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SeedFailure {
    /// The seed.
    pub seed: u64,
    /// What went wrong.
    pub what: Vec<String>,
}

/// What a scenario's seeds gave, all together.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScenarioReport {
    /// The scenario.
    pub scenario: String,
    /// Seeds that were run.
    pub seeds: u64,
    /// Seeds that broke something.
    pub failures: Vec<SeedFailure>,
    /// Events that happened.
    pub events: u64,
    /// Calls that callers made.
    pub calls: u64,
    /// Calls answered in full.
    pub completed: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Those of them that were refused because the program had ended or spent its budget: that
    /// is what was asked for.
    pub rightly_refused: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Refusals and unknown outcomes by code.
    pub codes: BTreeMap<String, u64>,
    /// Attempts that daemons dispatched beyond one for each call they accepted.
    pub retries: u64,
    /// Faults that really happened.
    pub faults: FaultCounts,
    /// Longest time that a group had no reachable leader, in milliseconds.
    pub longest_without_leader_ms: u64,
    /// Middle of those times.
    pub median_without_leader_ms: u64,
    /// Middle and 95th percentile of the time to the first token of calls that were sent once.
    pub first_token_once_ms: Spread,
    /// The same of calls that had to be sent again: failures that callers felt.
    pub first_token_resent_ms: Spread,
    /// Virtual time, in seconds.
    pub virtual_seconds: f64,
    /// Wall time, in seconds.
    pub wall_seconds: f64,
    /// Digest of the seeds' digests, in order.
    pub digest: String,
    /// Calls answered in full, of those that were not refused rightly.
    pub served_share: f64,
    /// Whether that share is large enough.
    pub enough_served: bool,
}

impl ScenarioReport {
    /// Whether nothing was broken and enough was answered.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.failures.is_empty() && self.enough_served
    }
}

/// Two percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Middle.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
}

impl Spread {
    fn of(mut times: Vec<Duration>) -> Self {
        times.sort_unstable();
        let at = |percent: usize| millis(times.get(times.len() * percent / 100));
        Self {
            p50: at(50),
            p95: at(95),
        }
    }
}

/// Times to the first token of answered calls, by how often they were sent.
#[derive(Default)]
struct FirstTokens {
    once: Vec<Duration>,
    resent: Vec<Duration>,
}

impl FirstTokens {
    fn of(history: &History) -> Self {
        let mut times = Self::default();
        for call in &history.calls {
            let Some(first) = call.first_token_at else {
                continue;
            };
            let time = first.since(call.sent_at);
            if call.sends > 1 {
                times.resent.push(time);
            } else {
                times.once.push(time);
            }
        }
        times
    }
}

/// What one seed gave.
struct SeedResult {
    seed: u64,
    what: Vec<String>,
    events: u64,
    completed: u64,
    refused: u64,
    rightly_refused: u64,
    unknown: u64,
    codes: BTreeMap<String, u64>,
    retries: u64,
    faults: FaultCounts,
    leaderless: Vec<Duration>,
    first_tokens: FirstTokens,
    elapsed: Duration,
    digest: String,
}

/// Runs a scenario's seeds on `jobs` threads.
#[must_use]
pub fn run_scenario(scenario: Scenario, seeds: Range<u64>, jobs: usize) -> ScenarioReport {
    let begun = Instant::now();
    let next = AtomicU64::new(seeds.start);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let result = run_seed(scenario, seed);
                    results
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(result);
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|result| result.seed);
    summarize(scenario, results, begun.elapsed())
}

fn run_seed(scenario: Scenario, seed: u64) -> SeedResult {
    let (config, plan) = scenario.build(seed);
    let mut result = match simulate(config, plan) {
        Ok(result) => result,
        Err(error) => {
            return SeedResult {
                seed,
                what: vec![error.to_string()],
                events: 0,
                completed: 0,
                refused: 0,
                rightly_refused: 0,
                unknown: 0,
                codes: BTreeMap::new(),
                retries: 0,
                faults: FaultCounts::default(),
                leaderless: Vec::new(),
                first_tokens: FirstTokens::default(),
                elapsed: Duration::ZERO,
                digest: String::new(),
            };
        }
    };
    let broken = check_all(&result.history).into_iter().map(describe);
    result.problems.extend(broken);
    let count = |wanted: fn(&Outcome) -> bool| count_calls(&result.history, wanted);
    SeedResult {
        seed,
        completed: count(|outcome| matches!(outcome, Outcome::Completed { .. })),
        refused: count(|outcome| matches!(outcome, Outcome::Refused { .. })),
        rightly_refused: count(is_rightly_refused),
        unknown: count(|outcome| matches!(outcome, Outcome::Unknown { .. })),
        codes: codes(&result.history),
        first_tokens: FirstTokens::of(&result.history),
        retries: result.counters.retries,
        events: result.events,
        what: result.problems,
        faults: result.faults,
        leaderless: result.leaderless,
        elapsed: result.elapsed,
        digest: result.digest,
    }
}

fn codes(history: &History) -> BTreeMap<String, u64> {
    let mut codes = BTreeMap::new();
    for call in &history.calls {
        let name = match &call.outcome {
            Outcome::Completed { .. } => continue,
            Outcome::Refused { code } => format!("refused {code}"),
            Outcome::Unknown { code: Some(code) } => format!("unknown {code}"),
            Outcome::Unknown { code: None } => "no answer".to_owned(),
        };
        *codes.entry(name).or_default() += 1;
    }
    codes
}

fn is_rightly_refused(outcome: &Outcome) -> bool {
    let Outcome::Refused { code } = outcome else {
        return false;
    };
    matches!(
        code,
        RefusalCode::ProgramEnded | RefusalCode::BudgetExhausted | RefusalCode::DeadlineExceeded
    )
}

fn describe(broken: BrokenPromise) -> String {
    format!("{}: {}", broken.promise, broken.what)
}

fn count_calls(history: &History, wanted: impl Fn(&Outcome) -> bool) -> u64 {
    let calls = history.calls.iter();
    calls.filter(|call| wanted(&call.outcome)).count() as u64
}

fn summarize(scenario: Scenario, results: Vec<SeedResult>, wall: Duration) -> ScenarioReport {
    let mut report = ScenarioReport {
        scenario: scenario.as_str().to_owned(),
        seeds: results.len() as u64,
        wall_seconds: wall.as_secs_f64(),
        ..ScenarioReport::default()
    };
    let mut digest = Sha256::new();
    let mut leaderless = Vec::new();
    let mut first_tokens = FirstTokens::default();
    for result in results {
        digest.update(result.digest.as_bytes());
        report.events += result.events;
        report.completed += result.completed;
        report.refused += result.refused;
        report.rightly_refused += result.rightly_refused;
        report.unknown += result.unknown;
        for (code, count) in result.codes {
            *report.codes.entry(code).or_default() += count;
        }
        report.retries += result.retries;
        report.faults.add(&result.faults);
        report.virtual_seconds += result.elapsed.as_secs_f64();
        leaderless.extend(result.leaderless);
        first_tokens.once.extend(result.first_tokens.once);
        first_tokens.resent.extend(result.first_tokens.resent);
        if !result.what.is_empty() {
            report.failures.push(SeedFailure {
                seed: result.seed,
                what: result.what,
            });
        }
    }
    report.calls = report.completed + report.refused + report.unknown;
    let to_serve = report.calls - report.rightly_refused;
    let share = report.completed as f64 / (to_serve as f64).max(1.0);
    report.served_share = share;
    report.enough_served = share >= scenario.minimum_served();
    leaderless.sort_unstable();
    report.longest_without_leader_ms = millis(leaderless.last());
    report.median_without_leader_ms = millis(leaderless.get(leaderless.len() / 2));
    report.first_token_once_ms = Spread::of(first_tokens.once);
    report.first_token_resent_ms = Spread::of(first_tokens.resent);
    report.digest = hexadecimal(&digest.finalize());
    report
}

fn millis(duration: Option<&Duration>) -> u64 {
    duration.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
