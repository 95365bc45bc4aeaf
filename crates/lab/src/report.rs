//! Measures of a run.

use crate::check::{BrokenPromise, Promise, check_all, count};
use crate::engine::CacheUse;
use crate::observe::{CallRecord, History, Outcome, ProgramRecord};
use crate::trace::{Expectation, ExpectedOutcome, MeasureExpectation, RequestExpectation};
use hdrhistogram::Histogram;
use luglink_routing::{BLOCK_TOKENS, BlockHash};
use luglink_types::Timestamp;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Everything that a run's table shows.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Measures by name. Times are in milliseconds.
    pub measures: BTreeMap<String, f64>,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// Broken promises by name.
    pub violations: BTreeMap<String, usize>,
    /// What was broken, in words.
    pub broken: Vec<String>,
    /// Expectations that did not hold.
    pub unmet: Vec<String>,
}

impl Report {
    /// Builds a report from what was seen and what engines say of their caches.
    #[must_use]
    pub fn new(history: &History, caches: &[CacheUse]) -> Self {
        let broken = check_all(history);
        let mut report = Self {
            violations: violation_counts(&broken),
            broken: broken
                .iter()
                .map(|broken| format!("{}: {}", broken.promise, broken.what))
                .collect(),
            ..Self::default()
        };
        report.add_programs(history);
        report.add_calls(history);
        report.add_caches(caches);
        report
    }

    /// Whether no promise was broken and every expectation held.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.broken.is_empty() && self.unmet.is_empty()
    }

    /// Compares the run with what was expected of it.
    pub fn expect(&mut self, history: &History, expectations: &[Expectation]) {
        for expectation in expectations {
            let unmet = match expectation {
                Expectation::Request(expected) => unmet_request(history, expected),
                Expectation::Invariant(expected) => match self.violations.get(&expected.name) {
                    None => Some(format!("there is no invariant `{}`", expected.name)),
                    Some(found) if *found == expected.violations => None,
                    Some(found) => Some(format!(
                        "{} was broken {found} times, expected {}",
                        expected.name, expected.violations
                    )),
                },
                Expectation::Measure(expected) => self.unmet_measure(expected),
            };
            self.unmet.extend(unmet);
        }
    }

    fn unmet_measure(&self, expected: &MeasureExpectation) -> Option<String> {
        let Some(value) = self.measures.get(&expected.name) else {
            return Some(format!("there is no measure `{}`", expected.name));
        };
        let too_high = expected.at_most.is_some_and(|limit| *value > limit);
        let too_low = expected.at_least.is_some_and(|limit| *value < limit);
        (too_high || too_low).then(|| {
            format!(
                "{} is {value:.1}, expected {:?} to {:?}",
                expected.name, expected.at_least, expected.at_most
            )
        })
    }

    fn set(&mut self, name: &str, value: f64) {
        self.measures.insert(name.to_owned(), value);
    }

    fn add_percentiles(&mut self, name: &str, values: impl Iterator<Item = Duration>) {
        // Three significant digits are finer than the run-to-run differences.
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return;
        };
        for value in values {
            let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
            // The histogram grows as needed; a value that it cannot hold is beyond any run.
            let _ = histogram.record(micros);
        }
        if histogram.is_empty() {
            return;
        }
        for (suffix, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            let micros = histogram.value_at_quantile(quantile);
            self.set(&format!("{name}_{suffix}_ms"), micros as f64 / 1_000.0);
        }
    }

    fn add_programs(&mut self, history: &History) {
        let ends = last_answers(history);
        let latency = |program: &ProgramRecord| {
            let end = ends.get(program.name.as_str())?;
            Some(end.since(program.created_at))
        };
        let all = history.programs.iter();
        self.add_percentiles("program_latency", all.clone().filter_map(latency));
        let without_tools = all
            .clone()
            .filter_map(|program| Some(latency(program)?.saturating_sub(program.tool_time)));
        self.add_percentiles("program_latency_without_tools", without_tools);
        let tools = all.clone().map(|program| program.tool_time);
        self.add_percentiles("tool_time", tools);
        let mut classes: Vec<&str> = all.clone().map(|it| it.class.as_str()).collect();
        classes.sort_unstable();
        classes.dedup();
        for class in classes {
            let of_class = all.clone().filter(|program| program.class == class);
            let name = format!("program_latency_{class}");
            self.add_percentiles(&name, of_class.filter_map(latency));
        }
        self.set("programs", history.programs.len() as f64);
    }

    fn add_calls(&mut self, history: &History) {
        let completed = |call: &&CallRecord| matches!(call.outcome, Outcome::Completed { .. });
        let first_token = |call: &CallRecord| Some(call.first_token_at?.since(call.sent_at));
        let calls = history.calls.iter().filter(completed);
        self.add_percentiles("first_token", calls.clone().filter_map(first_token));
        let gaps = calls
            .clone()
            .flat_map(|call| call.token_gaps.iter().copied());
        self.add_percentiles("between_tokens", gaps);
        let latencies = calls.clone().map(|call| call.ended_at.since(call.sent_at));
        self.add_percentiles("call_latency", latencies);
        self.set("calls", history.calls.len() as f64);
        self.set("calls_completed", calls.count() as f64);
        let lookups = history.lookups.iter();
        let answered = lookups.filter(|it| matches!(it.outcome, Outcome::Completed { .. }));
        self.set("lookups", history.lookups.len() as f64);
        self.set("lookups_completed", answered.clone().count() as f64);
        self.add_percentiles("lookup", answered.map(|it| it.ended_at.since(it.sent_at)));
        let outcomes = history.calls.iter().map(|call| &call.outcome);
        let outcomes = outcomes.chain(history.lookups.iter().map(|lookup| &lookup.outcome));
        let mut unknown = 0;
        for outcome in outcomes {
            match outcome {
                Outcome::Completed { .. } => {}
                Outcome::Refused { code } => {
                    *self.refusals.entry(code.as_str().to_owned()).or_default() += 1;
                }
                Outcome::Unknown { code } => {
                    unknown += 1;
                    let code = code.map_or("no_answer", luglink_types::RefusalCode::as_str);
                    *self.refusals.entry(code.to_owned()).or_default() += 1;
                }
            }
        }
        self.set("unknown", f64::from(unknown));
        let refused: u64 = self.refusals.values().sum();
        self.set("refused", refused as f64 - f64::from(unknown));
    }

    /// The wasted cache; see `docs/MEASURES.md`.
    fn add_caches(&mut self, caches: &[CacheUse]) {
        let held: f64 = caches.iter().map(|it| it.wasted_idle_block_seconds).sum();
        let useful: f64 = caches.iter().map(|it| it.useful_idle_block_seconds).sum();
        let mut computed: HashMap<BlockHash, u64> = HashMap::new();
        for (block, times) in caches.iter().flat_map(|it| it.computed.iter()) {
            *computed.entry(*block).or_default() += u64::from(*times);
        }
        let recomputed: u64 = computed.values().map(|times| times - 1).sum();
        let prompt: u64 = caches.iter().map(|it| it.prompt_tokens).sum();
        let hit: u64 = caches.iter().map(|it| it.hit_tokens).sum();
        self.set("wasted_held_block_seconds", held);
        self.set("useful_held_block_seconds", useful);
        self.set("recomputed_blocks", recomputed as f64);
        self.set("recomputed_tokens", (recomputed * BLOCK_TOKENS) as f64);
        self.set("prompt_tokens", prompt as f64);
        let rate = if prompt == 0 {
            0.0
        } else {
            hit as f64 / prompt as f64
        };
        self.set("prefix_hit_rate", rate);
    }
}

fn violation_counts(broken: &[BrokenPromise]) -> BTreeMap<String, usize> {
    let counts: BTreeMap<Promise, usize> = count(broken);
    counts
        .into_iter()
        .map(|(promise, times)| (promise.as_str().to_owned(), times))
        .collect()
}

/// When each program got its last whole answer.
fn last_answers(history: &History) -> HashMap<&str, Timestamp> {
    let mut ends: HashMap<&str, Timestamp> = HashMap::new();
    for call in &history.calls {
        if matches!(call.outcome, Outcome::Completed { .. }) {
            let end = ends.entry(call.program.as_str()).or_default();
            *end = (*end).max(call.ended_at);
        }
    }
    ends
}

fn unmet_request(history: &History, expected: &RequestExpectation) -> Option<String> {
    let name = &expected.request;
    let call = history.calls.iter().find(|call| call.request == *name);
    let lookup = history
        .lookups
        .iter()
        .find(|lookup| lookup.request == *name);
    let outcome = call
        .map(|call| &call.outcome)
        .or(lookup.map(|lookup| &lookup.outcome));
    let Some(outcome) = outcome else {
        return Some(format!("{name} was never sent"));
    };
    let (found, code) = match outcome {
        Outcome::Completed { .. } => (ExpectedOutcome::Completed, None),
        Outcome::Refused { code } => (ExpectedOutcome::Refused, Some(code.as_str())),
        Outcome::Unknown { code } => (
            ExpectedOutcome::Unknown,
            code.map(luglink_types::RefusalCode::as_str),
        ),
    };
    let code_differs = expected.code.is_some() && expected.code.as_deref() != code;
    (found != expected.outcome || code_differs).then(|| {
        format!(
            "{name} ended {found:?} ({}), expected {:?} ({})",
            code.unwrap_or("no code"),
            expected.outcome,
            expected.code.as_deref().unwrap_or("any code")
        )
    })
}
