//! Promises about engines.

use crate::observe::History;
use std::time::Duration;

/// Time after a program's end at which engines must hold nothing more of it.
const RELEASE_LIMIT: Duration = Duration::from_secs(10);

/// Time after which a leaving engine must get no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

pub(super) fn check_memory(history: &History) -> Vec<String> {
    history
        .held
        .iter()
        .filter(|held| held.blocks > 0 && held.since_end > RELEASE_LIMIT)
        .map(|held| {
            format!(
                "engine {} held {} blocks of {} for {:?} after its end",
                held.engine, held.blocks, held.program, held.since_end
            )
        })
        .collect()
}

pub(super) fn check_leaving(history: &History) -> Vec<String> {
    let mut broken = Vec::new();
    for leaving in &history.leaving {
        let late = history.executions.iter().filter(|execution| {
            let gone = leaving.until.is_none_or(|until| execution.at < until);
            let late = execution.at.since(leaving.from) > LEAVE_LIMIT;
            execution.engine == leaving.engine && gone && late
        });
        for execution in late {
            broken.push(format!(
                "engine {} got {} {:?} after it began to leave",
                leaving.engine,
                execution.marker,
                execution.at.since(leaving.from)
            ));
        }
    }
    broken
}
