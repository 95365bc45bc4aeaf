//! A bound that knows everything: each program alone on an idle engine that still has all of its
//! cache, with tools as the trace says. No policy can be faster; how near one can come under load
//! is another question.

use crate::engine::EngineConfig;
use crate::replay::{ProgramPlan, ProgramStep, ReplayPlan};
use std::time::Duration;

/// Least latency of each program that makes calls.
pub(super) fn least_latencies(plan: &ReplayPlan, engine: &EngineConfig) -> Vec<Duration> {
    plan.programs
        .iter()
        .filter(|program| calls_of(program).next().is_some())
        .map(|program| least_latency(program, engine))
        .collect()
}

fn calls_of(program: &ProgramPlan) -> impl Iterator<Item = &crate::trace::CallEvent> {
    program.steps.iter().filter_map(|step| match step {
        ProgramStep::Call(call) => Some(call),
        _ => None,
    })
}

fn least_latency(program: &ProgramPlan, engine: &EngineConfig) -> Duration {
    let tools = |call: &crate::trace::CallEvent| Duration::from_millis(call.after_ms);
    calls_of(program)
        .map(|call| tools(call) + alone(call.input_tokens, call.output_tokens, engine))
        .sum()
}

/// Time of one call on an idle engine that has the whole history cached: the new tokens are
/// computed in chunks, then one step gives each token. The last chunk gives the first token.
fn alone(input: u64, output: u64, engine: &EngineConfig) -> Duration {
    let chunks = u32::try_from(input.div_ceil(engine.prefill_chunk_tokens)).unwrap_or(u32::MAX);
    let input = u32::try_from(input).unwrap_or(u32::MAX);
    let output = u32::try_from(output.saturating_sub(1)).unwrap_or(u32::MAX);
    let prefill = engine.step * chunks + engine.step_per_prefill_token * input;
    prefill + (engine.step + engine.step_per_sequence) * output
}
