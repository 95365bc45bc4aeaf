//! A program's history is never lost and never mixed with another's.

use crate::engine::answer_marker;
use crate::observe::{CallRecord, History, Outcome, ProgramRecord};
use luglink_types::{ChatMessage, Role};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(history: &History) -> Vec<String> {
    let mut calls: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
    for call in &history.calls {
        calls.entry(&call.program).or_default().push(call);
    }
    let mut broken = Vec::new();
    for program in &history.programs {
        let own = calls
            .get(program.name.as_str())
            .cloned()
            .unwrap_or_default();
        broken.extend(check_final(program, &own));
    }
    broken.extend(check_prompts(history));
    broken
}

/// The history at the end holds every completed turn, in order, and nothing of others.
fn check_final(program: &ProgramRecord, calls: &[&CallRecord]) -> Vec<String> {
    let Some(view) = &program.final_view else {
        return Vec::new();
    };
    let name = &program.name;
    let mut broken = foreign_messages(name, &view.history, calls);
    let mut position = 0;
    for call in calls {
        let Outcome::Completed { text, .. } = &call.outcome else {
            continue;
        };
        let found = view.history[position..]
            .iter()
            .position(|message| message.role == Role::Assistant && message.content == *text);
        match found {
            Some(offset) => position += offset + 1,
            None => broken.push(format!("{name} has lost the answer to {}", call.request)),
        }
    }
    broken
}

fn foreign_messages(name: &str, messages: &[ChatMessage], calls: &[&CallRecord]) -> Vec<String> {
    let own: BTreeSet<String> = calls
        .iter()
        .flat_map(|call| {
            [
                format!("request={}", call.request),
                answer_marker(&call.request),
            ]
        })
        .collect();
    messages
        .iter()
        .filter_map(|message| message.content.split_ascii_whitespace().next())
        .filter(|first| first.starts_with("request=") || first.starts_with("re:"))
        .filter(|first| !own.contains(*first))
        .map(|first| format!("the history of {name} holds `{first}` of another program"))
        .collect()
}

/// Every prompt that reached an engine holds the answers to the program's earlier calls.
fn check_prompts(history: &History) -> Vec<String> {
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for call in &history.calls {
        owners.insert(answer_marker(&call.request), &call.program);
    }
    let mut broken = Vec::new();
    for execution in &history.executions {
        let Some(program) = owners.get(&execution.marker) else {
            continue;
        };
        let answers = execution
            .prompt
            .iter()
            .filter(|it| it.role == Role::Assistant);
        for answer in answers {
            let first = answer
                .content
                .split_ascii_whitespace()
                .next()
                .unwrap_or_default();
            if owners.get(first) != Some(program) {
                broken.push(format!(
                    "the prompt of {} holds `{first}` of another program",
                    execution.marker
                ));
            }
        }
        broken.extend(check_earlier_answers(history, program, execution));
    }
    broken
}

fn check_earlier_answers(
    history: &History,
    program: &str,
    execution: &crate::observe::Execution,
) -> Option<String> {
    let earlier = history.calls.iter().filter(|call| {
        let completed = matches!(call.outcome, Outcome::Completed { .. });
        call.program == program && completed && call.ended_at < execution.at
    });
    let expected = earlier
        .filter(|call| answer_marker(&call.request) != execution.marker)
        .count();
    let found = execution
        .prompt
        .iter()
        .filter(|message| message.role == Role::Assistant)
        .count();
    (found < expected).then(|| {
        format!(
            "the prompt of {} holds {found} of {expected} earlier answers",
            execution.marker
        )
    })
}
