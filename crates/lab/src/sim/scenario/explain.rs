//! The story of one seed in lines, for finding the cause of a broken promise.

use crate::check::check_all;
use crate::observe::{History, Outcome};
use crate::sim::clock::ClockError;
use crate::sim::faults::SimFault;
use crate::sim::scenario::catalogue::Scenario;
use crate::sim::simulate;
use luglink_types::Timestamp;

/// One line of a story.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoryLine {
    /// When.
    pub at: Timestamp,
    /// What.
    pub what: String,
}

/// Everything that callers, engines and operators saw of one seed, in order of time.
///
/// # Errors
/// The simulator failed.
pub fn explain(scenario: Scenario, seed: u64) -> Result<Vec<StoryLine>, ClockError> {
    let (config, plan) = scenario.build(seed);
    let faults = plan.faults.clone();
    let result = simulate(config, plan)?;
    let mut lines = history_lines(&result.history);
    lines.extend(fault_lines(&faults, result.base));
    lines.sort();
    let end = result.base.plus(result.elapsed);
    let broken = check_all(&result.history);
    let broken = broken
        .iter()
        .map(|broken| format!("BROKEN {}: {}", broken.promise, broken.what));
    let problems = result.problems.into_iter().chain(broken);
    lines.extend(problems.map(|what| StoryLine { at: end, what }));
    Ok(lines)
}

fn fault_lines(faults: &[SimFault], base: Timestamp) -> Vec<StoryLine> {
    let line = |fault: &SimFault| StoryLine {
        at: base.plus(fault.at),
        what: format!(
            "FAULT {} {:?} for {:?}",
            fault.kind.as_str(),
            fault.target,
            fault.length
        ),
    };
    faults.iter().map(line).collect()
}

fn history_lines(history: &History) -> Vec<StoryLine> {
    let mut lines = Vec::new();
    let mut add = |at: Timestamp, what: String| lines.push(StoryLine { at, what });
    for program in &history.programs {
        let name = &program.name;
        add(program.created_at, format!("{name} is asked for"));
        if let Some((at, departure)) = program.left_at {
            add(at, format!("{name} is left: {departure:?}"));
        }
    }
    for call in &history.calls {
        let (program, request) = (&call.program, &call.request);
        let kind = if call.repeatable {
            "repeatable"
        } else {
            "once"
        };
        add(call.sent_at, format!("{program} sends {request} ({kind})"));
        add(
            call.ended_at,
            format!("{program} has {request}: {}", outcome(&call.outcome)),
        );
    }
    for run in &history.executions {
        add(
            run.at,
            format!(
                "engine {} runs {} epoch {} sequence {} attempt {}",
                run.engine, run.marker, run.epoch, run.sequence, run.attempt
            ),
        );
    }
    for change in &history.changes {
        let id = &change.change_id;
        add(change.sent_at, format!("{id} is sent"));
        if let Some((at, revision)) = change.accepted {
            add(at, format!("{id} is accepted as revision {revision}"));
        }
    }
    lines
}

fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed { usage, .. } => format!("answered, {usage:?}"),
        Outcome::Refused { code } => format!("refused {code}"),
        Outcome::Unknown { code } => format!("unknown {code:?}"),
    }
}
