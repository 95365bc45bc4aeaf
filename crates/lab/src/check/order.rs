//! The calls of one program run in the order the program issued them.

use crate::engine::answer_marker;
use crate::observe::History;
use std::collections::{BTreeMap, HashMap};

pub(super) fn check(history: &History) -> Vec<String> {
    let places = places(history);
    let mut broken = Vec::new();
    let mut latest: HashMap<&str, (usize, &str)> = HashMap::new();
    let mut executions: Vec<_> = history.executions.iter().collect();
    executions.sort_by_key(|execution| execution.at);
    for execution in executions {
        let Some((program, place)) = places.get(&execution.marker) else {
            continue;
        };
        let entry = latest
            .entry(*program)
            .or_insert((*place, &execution.marker));
        if *place < entry.0 {
            broken.push(format!(
                "{} of {program} ran after {}",
                execution.marker, entry.1
            ));
        } else {
            *entry = (*place, &execution.marker);
        }
    }
    broken
}

/// The place of each request in its program, by the first word of its answer.
fn places(history: &History) -> BTreeMap<String, (&str, usize)> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let mut sent: Vec<_> = history.calls.iter().collect();
    sent.sort_by_key(|call| call.sent_at);
    sent.iter()
        .map(|call| {
            let count = counts.entry(call.program.as_str()).or_default();
            *count += 1;
            (
                answer_marker(&call.request),
                (call.program.as_str(), *count),
            )
        })
        .collect()
}
