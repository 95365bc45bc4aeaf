//! An accepted configuration is in force everywhere within seconds and never reverts.

use crate::observe::{ChangeRecord, History, Isolation, RevisionSeen};
use luglink_types::{Revision, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
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
                let cut_off = isolations_of(history, daemon);
                broken.extend(check_in_force(daemon, &seen, &cut_off, at, revision));
            }
        }
    }
    broken.extend(check_linearizable(&history.changes));
    broken.extend(check_final(history));
    broken
}

/// Times in which the daemon could not have heard of anything.
fn isolations_of(history: &History, daemon: u32) -> Vec<Isolation> {
    let own = history.isolations.iter();
    own.filter(|isolation| isolation.daemon == daemon)
        .copied()
        .collect()
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
    cut_off: &[Isolation],
    at: Timestamp,
    revision: Revision,
) -> Option<String> {
    let up_before = seen.first().is_some_and(|first| first.at <= at);
    // A daemon that nobody can reach has the limit from when it can be reached again.
    let mut limit = at.plus(IN_FORCE_LIMIT);
    for isolation in cut_off {
        if isolation.from <= limit && isolation.until >= at {
            limit = limit.max(isolation.until.plus(IN_FORCE_LIMIT));
        }
    }
    let late = seen.iter().find(|look| look.at > limit)?;
    (up_before && late.revision < revision).then(|| {
        format!(
            "daemon {daemon} had revision {} when {revision} should have been in force",
            late.revision
        )
    })
}

/// Accepted changes take place one after the other: no two at one revision, none against a
/// revision other than the one before it, and in the order in which operators saw them.
fn check_linearizable(changes: &[ChangeRecord]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut taken = BTreeSet::new();
    let accepted: Vec<(&ChangeRecord, Timestamp, Revision)> = changes
        .iter()
        .filter_map(|change| change.accepted.map(|(at, revision)| (change, at, revision)))
        .collect();
    for (change, _, revision) in &accepted {
        if !taken.insert(*revision) {
            broken.push(format!("two changes were accepted as revision {revision}"));
        }
        if change
            .expected
            .is_some_and(|expected| expected.next() != *revision)
        {
            broken.push(format!(
                "{} was made against {:?} and accepted as {revision}",
                change.change_id, change.expected
            ));
        }
    }
    for (earlier, answered_at, first) in &accepted {
        for (later, _, second) in &accepted {
            if *answered_at < later.sent_at && first > second {
                broken.push(format!(
                    "{} was answered before {} was sent and came after it",
                    earlier.change_id, later.change_id
                ));
            }
        }
    }
    broken
}

/// What the last accepted change of a budget set is what is in force at the end: no update is
/// lost. Changes whose answer was lost may have come later and are left out.
fn check_final(history: &History) -> Vec<String> {
    let mut latest: BTreeMap<&str, (&ChangeRecord, Revision)> = BTreeMap::new();
    let unanswered: BTreeSet<&str> = history
        .changes
        .iter()
        .filter(|change| !change.answered)
        .filter_map(|change| change.budget.as_ref())
        .map(|budget| budget.name.as_str())
        .collect();
    for change in &history.changes {
        let (Some((_, revision)), Some(budget)) = (change.accepted, &change.budget) else {
            continue;
        };
        let entry = latest.entry(&budget.name).or_insert((change, revision));
        if revision > entry.1 {
            *entry = (change, revision);
        }
    }
    let in_force: BTreeMap<&str, _> = history
        .final_budgets
        .iter()
        .map(|budget| (budget.name.as_str(), budget))
        .collect();
    let lost = |(name, (change, revision)): (&str, (&ChangeRecord, Revision))| {
        let found = in_force.get(name)?;
        let set = change.budget.as_ref()?;
        (**found != *set && !unanswered.contains(name)).then(|| {
            format!(
                "{} of revision {revision} set {set:?}, in force at the end is {found:?}",
                change.change_id
            )
        })
    };
    latest.into_iter().filter_map(lost).collect()
}
