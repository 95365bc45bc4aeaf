//! Runs of the bench.

use crate::compare::bound::least_latencies;
use crate::compare::statistics::Estimate;
use crate::observe::{History, Outcome};
use crate::replay::ReplayPlan;
use crate::report::Report;
use crate::sim::{SimConfig, SimPlan, SimResult, simulate};
use crate::trace::{Deployment, GeneratorConfig, generate};
use luglink_routing::Policy;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::ops::Range;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A policy, or the bound that no policy can pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Contender {
    /// A policy of the router.
    Policy(Policy),
    /// Knows pauses, lengths and future calls.
    Clairvoyant,
}

impl Contender {
    /// Every policy, and the bound.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let policies = Policy::ALL.into_iter().map(Self::Policy);
        policies.chain([Self::Clairvoyant]).collect()
    }
}

impl fmt::Display for Contender {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Policy(policy) => policy.fmt(formatter),
            Self::Clairvoyant => formatter.write_str("clairvoyant"),
        }
    }
}

impl FromStr for Contender {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "clairvoyant" {
            return Ok(Self::Clairvoyant);
        }
        text.parse()
            .map(Self::Policy)
            .map_err(|error: String| format!("{error} or clairvoyant"))
    }
}

/// A comparison.
#[derive(Clone, Debug)]
pub struct CompareConfig {
    /// The deployment.
    pub deployment: Deployment,
    /// Contenders.
    pub contenders: Vec<Contender>,
    /// Seeds.
    pub seeds: Range<u64>,
    /// Load as a share of saturation.
    pub load: f64,
    /// Threads.
    pub jobs: usize,
}

/// Programs a second, without sub-programs, at which the eight engines of a deployment are
/// saturated: beyond it the completed programs a second no longer grow under the best policy.
/// Found by `compare` at rising loads on the tuning seeds 1000 and 1001; see `docs/EXPERIMENTS.md`.
const fn saturation(deployment: Deployment) -> f64 {
    match deployment {
        Deployment::Kopano => 8.0,
        Deployment::Hub => 1.1,
    }
}

/// Time in which programs begin.
const fn span(deployment: Deployment) -> Duration {
    match deployment {
        Deployment::Kopano => Duration::from_secs(90),
        Deployment::Hub => Duration::from_secs(240),
    }
}

/// Plain lookups a second; they do not touch the engines.
const LOOKUPS_PER_SECOND: f64 = 1.0;

/// Measures of one run, by name.
type Measures = BTreeMap<String, f64>;

/// What one contender gave over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyReport {
    /// The contender.
    pub contender: String,
    /// Load as a share of saturation.
    pub load: f64,
    /// Means over seeds.
    pub measures: BTreeMap<String, Estimate>,
}

impl PolicyReport {
    /// The mean of a measure; 0 when the contender has none.
    #[must_use]
    pub fn mean(&self, name: &str) -> f64 {
        self.measures.get(name).map_or(0.0, |it| it.mean)
    }
}

/// Runs every contender on every seed.
#[must_use]
pub fn compare(config: &CompareConfig) -> Vec<PolicyReport> {
    let mut work = Vec::new();
    for contender in &config.contenders {
        for seed in config.seeds.clone() {
            work.push((*contender, seed));
        }
    }
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(Contender, u64, Measures)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..config.jobs.max(1) {
            scope.spawn(|| {
                while let Some((contender, seed)) = work.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let measures = run(config, *contender, *seed);
                    results
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push((*contender, *seed, measures));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(contender, seed, _)| (*contender, *seed));
    config
        .contenders
        .iter()
        .map(|contender| summarize(*contender, config.load, &results))
        .collect()
}

fn summarize(
    contender: Contender,
    load: f64,
    results: &[(Contender, u64, Measures)],
) -> PolicyReport {
    let mut values: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (_, _, measures) in results.iter().filter(|(own, _, _)| *own == contender) {
        for (name, value) in measures {
            values.entry(name.clone()).or_default().push(*value);
        }
    }
    PolicyReport {
        contender: contender.to_string(),
        load,
        measures: values
            .into_iter()
            .map(|(name, values)| (name, Estimate::of(&values)))
            .collect(),
    }
}

fn plan(config: &CompareConfig, seed: u64) -> ReplayPlan {
    let span_ms = u64::try_from(span(config.deployment).as_millis()).unwrap_or(u64::MAX);
    ReplayPlan::new(&generate(&GeneratorConfig {
        deployment: config.deployment,
        seed,
        span_ms,
        programs_per_second: saturation(config.deployment) * config.load,
        lookups_per_second: LOOKUPS_PER_SECOND,
        pause_factor: 1.0,
    }))
}

fn sim_config(deployment: Deployment, policy: Policy, seed: u64) -> SimConfig {
    let mut config = SimConfig::today(deployment, seed);
    config.policy = policy;
    config.program_groups = 4;
    config.idle_timeout = Duration::from_secs(60);
    config.keep_prompts = false;
    config
}

fn run(config: &CompareConfig, contender: Contender, seed: u64) -> Measures {
    let plan = plan(config, seed);
    let policy = match contender {
        Contender::Policy(policy) => policy,
        Contender::Clairvoyant => return bound(&plan),
    };
    let sim = sim_config(config.deployment, policy, seed);
    let deadlines = deadlines(&plan);
    let plan = SimPlan {
        replay: plan,
        faults: Vec::new(),
    };
    match simulate(sim, plan) {
        Ok(result) => measures(&result, &deadlines, span(config.deployment)),
        Err(_) => Measures::new(),
    }
}

fn bound(plan: &ReplayPlan) -> Measures {
    let engine = crate::engine::EngineConfig::default();
    let mut latencies = least_latencies(plan, &engine);
    latencies.sort_unstable();
    let mut measures = Measures::new();
    for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
        let place = ((latencies.len() as f64 * quantile) as usize).min(latencies.len() - 1);
        let millis = latencies[place].as_secs_f64() * 1_000.0;
        measures.insert(format!("program_latency_{name}_ms"), millis);
    }
    measures
}

fn deadlines(plan: &ReplayPlan) -> HashMap<String, Duration> {
    let deadline = |program: &crate::replay::ProgramPlan| {
        let event = &program.program;
        (
            event.program.clone(),
            Duration::from_millis(event.budget.deadline_ms),
        )
    };
    plan.programs.iter().map(deadline).collect()
}

fn measures(result: &SimResult, deadlines: &HashMap<String, Duration>, span: Duration) -> Measures {
    let report = Report::new(&result.history, &result.caches);
    let mut measures = report.measures;
    let good = good_programs(&result.history, deadlines);
    measures.insert(
        "goodput_per_second".to_owned(),
        good as f64 / span.as_secs_f64(),
    );
    measures.insert("problems".to_owned(), result.problems.len() as f64);
    measures
}

/// Programs of which every call was answered in full, and the last one within the deadline.
fn good_programs(history: &History, deadlines: &HashMap<String, Duration>) -> usize {
    let mut ends: HashMap<&str, Option<luglink_types::Timestamp>> = HashMap::new();
    for call in &history.calls {
        let completed = matches!(call.outcome, Outcome::Completed { .. });
        let end = ends.entry(&call.program).or_insert(Some(call.ended_at));
        *end = match (*end, completed) {
            (Some(end), true) => Some(end.max(call.ended_at)),
            _ => None,
        };
    }
    let is_good = |program: &&crate::observe::ProgramRecord| {
        let end = ends.get(program.name.as_str()).copied().flatten();
        let deadline = deadlines.get(&program.name).copied();
        match (end, deadline) {
            (Some(end), Some(deadline)) => end.since(program.created_at) <= deadline,
            _ => false,
        }
    };
    history.programs.iter().filter(is_good).count()
}
