//! Promises about single requests.

use crate::engine::answer_marker;
use crate::observe::{CallRecord, History, Outcome};
use luglink_types::count_tokens;
use std::collections::BTreeMap;

/// A completed answer must be the answer to the request, in full length.
pub(super) fn check_whole_answers(history: &History) -> Vec<String> {
    let calls = history.calls.iter().filter_map(|call| {
        let Outcome::Completed { text, .. } = &call.outcome else {
            return None;
        };
        wrong_answer(call, text)
    });
    let lookups = history.lookups.iter().filter_map(|lookup| {
        let Outcome::Completed { text, .. } = &lookup.outcome else {
            return None;
        };
        let own = format!("answer to {}", lookup.request);
        (*text != own).then(|| format!("lookup {} was answered `{text}`", lookup.request))
    });
    calls.chain(lookups).collect()
}

fn wrong_answer(call: &CallRecord, text: &str) -> Option<String> {
    let marker = answer_marker(&call.request);
    let first = text.split_ascii_whitespace().next().unwrap_or_default();
    if first != marker {
        return Some(format!("{} was answered `{first}`", call.request));
    }
    let tokens = count_tokens(text);
    (tokens != call.output_tokens).then(|| {
        format!(
            "{} was answered with {tokens} of {} tokens",
            call.request, call.output_tokens
        )
    })
}

/// Runs of each request, by the first word of its answer.
fn runs(history: &History) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for execution in &history.executions {
        *runs.entry(execution.marker.as_str()).or_default() += 1;
    }
    runs
}

fn service_runs(history: &History) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for request in &history.service_runs {
        *runs.entry(request.as_str()).or_default() += 1;
    }
    runs
}

/// A request that was refused as "not run" must not have run.
pub(super) fn check_not_run(history: &History) -> Vec<String> {
    let runs = runs(history);
    let calls = history.calls.iter().filter_map(|call| {
        let Outcome::Refused { code } = call.outcome else {
            return None;
        };
        let count = runs.get(answer_marker(&call.request).as_str())?;
        Some(format!(
            "{} was refused as {code} and ran {count} times",
            call.request
        ))
    });
    let service_runs = service_runs(history);
    let lookups = history.lookups.iter().filter_map(|lookup| {
        let Outcome::Refused { code } = lookup.outcome else {
            return None;
        };
        let count = service_runs.get(lookup.request.as_str())?;
        Some(format!(
            "lookup {} was refused as {code} and ran {count} times",
            lookup.request
        ))
    });
    calls.chain(lookups).collect()
}

/// A request that is not repeatable must run at most once.
pub(super) fn check_at_most_once(history: &History) -> Vec<String> {
    let runs = runs(history);
    let calls = history.calls.iter().filter(|call| !call.repeatable);
    let calls = calls.filter_map(|call| {
        let count = runs.get(answer_marker(&call.request).as_str())?;
        (*count > 1).then(|| format!("{} ran {count} times", call.request))
    });
    let service_runs = service_runs(history);
    let lookups = history.lookups.iter().filter(|lookup| !lookup.repeatable);
    let lookups = lookups.filter_map(|lookup| {
        let count = service_runs.get(lookup.request.as_str())?;
        (*count > 1).then(|| format!("lookup {} ran {count} times", lookup.request))
    });
    calls.chain(lookups).collect()
}

/// Whether the call's program ended while it ran, because a program above it was left: then the
/// end cut it off and not the stop.
fn ended_under_it(history: &History, call: &CallRecord) -> bool {
    let named = |name: &str| history.programs.iter().find(|it| it.name == name);
    let mut next = named(&call.program);
    while let Some(program) = next {
        // The end takes effect some time between the asking and the answer.
        let left_at = program.left_at.map(|(at, _)| at);
        let end = program.end_sent_at.or(left_at);
        if end.is_some_and(|at| at <= call.ended_at) {
            return true;
        }
        next = program.parent.as_deref().and_then(named);
    }
    false
}

/// A request at a daemon that stops as planned must not lose its answer. Its connection must not
/// break, and where nothing else went wrong its outcome must not be unknown either: a daemon that
/// gave its calls up in order to stop would keep every connection and still cut them off.
pub(super) fn check_planned_stop(history: &History) -> Vec<String> {
    let unknown = history
        .calls
        .iter()
        .filter(|call| call.during_planned_stop && !history.unplanned_faults)
        .filter(|call| matches!(call.outcome, Outcome::Unknown { .. }))
        .filter(|call| !ended_under_it(history, call))
        .map(|call| &call.request);
    history
        .cut_by_stop
        .iter()
        .chain(unknown)
        .map(|request| format!("{request} was cut off by a planned stop"))
        .collect()
}
