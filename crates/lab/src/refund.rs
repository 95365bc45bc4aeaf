//! Refund of unused reservations against no refund: how many calls the same budgets pay for.
//!
//! "Model Budget Policy v1 (issue #179)" keeps the whole reservation of a call charged for ever.
//! Callers that cannot know the length of an answer must ask for a high ceiling, and under that
//! rule each answer costs its ceiling.

use crate::observe::Outcome;
use crate::replay::ReplayPlan;
use crate::sim::{SimConfig, SimPlan, simulate};
use crate::trace::{Deployment, GeneratorConfig, TraceEvent, generate};
use luglink_program::RefundRule;
use luglink_types::RefusalCode;
use serde::Serialize;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Ceilings that callers ask for, as multiples of the answer's real length.
pub const CEILINGS: [u64; 3] = [1, 4, 16];

/// Budget of each program, as a multiple of the tokens that it really needs.
const BUDGET_FACTOR: f64 = 1.5;

/// What one rule gave at one ceiling, over all seeds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RefundResult {
    /// The rule.
    pub rule: RefundRule,
    /// The ceiling, as a multiple of the answer's length.
    pub ceiling: u64,
    /// Calls made.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused because the budget was spent.
    pub over_budget: u64,
    /// Programs of which every call was answered.
    pub programs: u64,
}

/// Runs both rules at every ceiling on the same traces.
#[must_use]
pub fn compare_refunds(seeds: &Range<u64>) -> Vec<RefundResult> {
    let mut results = Vec::new();
    for ceiling in CEILINGS {
        for rule in [RefundRule::UnusedPart, RefundRule::Never] {
            results.push(run(rule, ceiling, seeds.clone()));
        }
    }
    results
}

fn run(rule: RefundRule, ceiling: u64, seeds: Range<u64>) -> RefundResult {
    let mut sum = RefundResult {
        rule,
        ceiling,
        ..RefundResult::default()
    };
    for seed in seeds {
        let mut config = SimConfig::today(Deployment::Kopano, seed);
        config.refund = rule;
        config.ceiling_factor = ceiling;
        config.keep_prompts = false;
        config.idle_timeout = Duration::from_secs(60);
        let plan = SimPlan {
            replay: ReplayPlan::new(&trace(seed)),
            faults: Vec::new(),
        };
        if let Ok(result) = simulate(config, plan) {
            add(&mut sum, &result.history);
        }
    }
    sum
}

/// A trace in which each program's budget is a little more than what it needs.
fn trace(seed: u64) -> Vec<TraceEvent> {
    let mut events = generate(&GeneratorConfig {
        deployment: Deployment::Kopano,
        seed,
        span_ms: 20_000,
        programs_per_second: 1.5,
        lookups_per_second: 0.0,
        pause_factor: 0.3,
    });
    let mut needs: BTreeMap<String, u64> = BTreeMap::new();
    for event in &events {
        if let TraceEvent::Call(call) = event {
            *needs.entry(call.program.clone()).or_default() +=
                call.input_tokens + call.output_tokens;
        }
    }
    for event in &mut events {
        if let TraceEvent::Program(program) = event {
            let need = needs.get(&program.program).copied().unwrap_or_default();
            program.budget.tokens = (need as f64 * BUDGET_FACTOR) as u64;
            // Helpers would draw on their parents; alone, each budget is its program's own.
            program.parent = None;
        }
    }
    events
}

fn add(sum: &mut RefundResult, history: &crate::observe::History) {
    let mut whole: BTreeMap<&str, bool> = BTreeMap::new();
    for call in &history.calls {
        let answered = matches!(call.outcome, Outcome::Completed { .. });
        let over = matches!(
            call.outcome,
            Outcome::Refused {
                code: RefusalCode::BudgetExhausted
            }
        );
        sum.calls += 1;
        sum.answered += u64::from(answered);
        sum.over_budget += u64::from(over);
        *whole.entry(&call.program).or_insert(true) &= answered;
    }
    sum.programs += whole.values().filter(|whole| **whole).count() as u64;
}
