//! An accepted configuration is in force everywhere within seconds and never reverts.

use crate::observe::{History, RevisionSeen};
use luglink_types::{Revision, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which an accepted revision must be in force at every running daemon.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(19);

pub(super) fn check(history: &History) -> Vec<String> {
    let mut by_process: BTreeMap<(u32, u32), Vec<&RevisionSeen>> = BTreeMap::new();
    for seen in &history.revisions {
        by_process
            .entry((seen.daemon, seen.process))
            .or_default()
            .push(seen);
    }
    let mut broken = Vec::new();
    for ((daemon, _), mut seen) in by_process {
        seen.sort_by_key(|seen| seen.at);
        broken.extend(check_monotone(daemon, &seen));
        for change in &history.changes {
            if let Some((at, revision)) = change.accepted {
                broken.extend(check_in_force(daemon, &seen, at, revision));
            }
        }
    }
    broken
}

fn check_monotone(daemon: u32, seen: &[&RevisionSeen]) -> Vec<String> {
    seen.windows(2)
        .filter(|pair| pair[1].revision < pair[0].revision)
        .map(|pair| {
            format!(
                "daemon {daemon} went back from revision {} to {}",
                pair[0].revision, pair[1].revision
            )
        })
        .collect()
}

/// The first look after the limit must show the revision, if the daemon was up before it.
fn check_in_force(
    daemon: u32,
    seen: &[&RevisionSeen],
    at: Timestamp,
    revision: Revision,
) -> Option<String> {
    let up_before = seen.first().is_some_and(|first| first.at <= at);
    let limit = at.plus(IN_FORCE_LIMIT);
    let late = seen.iter().find(|look| look.at > limit)?;
    (up_before && late.revision < revision).then(|| {
        format!(
            "daemon {daemon} had revision {} when {revision} should have been in force",
            late.revision
        )
    })
}
