//! A program never spends beyond its budget, counted at the engines.

use crate::engine::answer_marker;
use crate::observe::{History, ProgramRecord};
use luglink_types::UNLIMITED;
use std::collections::BTreeMap;

/// What engines did for a program and those below it.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    runs: u64,
    tokens: u64,
}

pub(super) fn check(history: &History) -> Vec<String> {
    let own = spent_by_program(history);
    let mut broken = Vec::new();
    for program in &history.programs {
        let spent = spent_by_tree(history, &own, &program.name);
        let budget = &program.budget;
        let runs_allowed = budget.calls.saturating_add(budget.retries);
        if budget.calls != UNLIMITED && spent.runs > runs_allowed {
            broken.push(format!(
                "{} ran {} times with a budget of {} calls and {} retries",
                program.name, spent.runs, budget.calls, budget.retries
            ));
        }
        if spent.tokens > budget.tokens {
            broken.push(format!(
                "{} spent {} of {} tokens",
                program.name, spent.tokens, budget.tokens
            ));
        }
        broken.extend(check_account(program, spent));
    }
    broken
}

fn spent_by_program(history: &History) -> BTreeMap<&str, Spent> {
    let calls: BTreeMap<String, _> = history
        .calls
        .iter()
        .map(|call| (answer_marker(&call.request), call))
        .collect();
    let mut spent: BTreeMap<&str, Spent> = BTreeMap::new();
    for execution in &history.executions {
        let Some(call) = calls.get(&execution.marker) else {
            continue;
        };
        let entry = spent.entry(call.program.as_str()).or_default();
        entry.runs += 1;
        entry.tokens += call.input_tokens + execution.output_tokens;
    }
    spent
}

fn spent_by_tree(history: &History, own: &BTreeMap<&str, Spent>, name: &str) -> Spent {
    let mut spent = own.get(name).copied().unwrap_or_default();
    let children = history
        .programs
        .iter()
        .filter(|program| program.parent.as_deref() == Some(name));
    for child in children {
        let below = spent_by_tree(history, own, &child.name);
        spent.runs += below.runs;
        spent.tokens += below.tokens;
    }
    spent
}

/// What luglink itself says was spent and reserved.
fn check_account(program: &ProgramRecord, really: Spent) -> Option<String> {
    let view = program.final_view.as_ref()?;
    let total = view.spent.plus(&view.reserved);
    let over = total.tokens > program.budget.tokens || total.calls > program.budget.calls;
    // An account that shows less than was spent would let the program overspend later.
    let runs = total.calls.saturating_add(total.retries);
    let under = total.tokens < really.tokens || runs < really.runs;
    (over || under).then(|| {
        format!(
            "the account of {} stands at {total:?}, engines ran {} times for {} tokens",
            program.name, really.runs, really.tokens
        )
    })
}
