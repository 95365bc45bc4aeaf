//! Checkers: one for each promise of the brief, over the history of a run.
//!
//! A checker sees only what callers and engines saw, never what luglink says of itself, except
//! for the final state of each program.

mod budget;
mod callers;
mod configuration;
mod engines;
mod history;
mod order;

use crate::observe::History;
use std::collections::BTreeMap;
use std::fmt;

/// A promise of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// The calls of one program run in the order the program issued them.
    ProgramOrder,
    /// A program's history is never lost and never mixed with another's.
    HistoryIntact,
    /// A program never spends beyond its budget.
    BudgetKept,
    /// No engine memory stays held by programs that have ended or been abandoned.
    MemoryReleased,
    /// Every caller receives the whole answer to its own request.
    WholeAnswers,
    /// What is refused as "not run" really did not run.
    NotRunIsNotRun,
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A leaving back end receives no new work after a few seconds.
    LeavingGetsNoWork,
    /// A planned stop cuts off no request in flight.
    PlannedStopCutsNothing,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigurationInForce,
}

impl Promise {
    /// Every promise, in the brief's order.
    pub const ALL: [Promise; 10] = [
        Self::ProgramOrder,
        Self::HistoryIntact,
        Self::BudgetKept,
        Self::MemoryReleased,
        Self::WholeAnswers,
        Self::NotRunIsNotRun,
        Self::AtMostOnce,
        Self::LeavingGetsNoWork,
        Self::PlannedStopCutsNothing,
        Self::ConfigurationInForce,
    ];

    /// The promise's name in expectations.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ProgramOrder => "program-order",
            Self::HistoryIntact => "history-intact",
            Self::BudgetKept => "budget-kept",
            Self::MemoryReleased => "memory-released",
            Self::WholeAnswers => "whole-answers",
            Self::NotRunIsNotRun => "not-run-is-not-run",
            Self::AtMostOnce => "at-most-once",
            Self::LeavingGetsNoWork => "leaving-gets-no-work",
            Self::PlannedStopCutsNothing => "planned-stop-cuts-nothing",
            Self::ConfigurationInForce => "configuration-in-force",
        }
    }
}

impl Promise {
    /// The promise in the brief's sense, in a sentence.
    #[must_use]
    pub const fn description(self) -> &'static str {
        match self {
            Self::ProgramOrder => "Calls of one program run in the order they were issued.",
            Self::HistoryIntact => "A program's history is never lost and never mixed up.",
            Self::BudgetKept => "A program never spends beyond its budget.",
            Self::MemoryReleased => "Engines hold nothing of programs that have ended.",
            Self::WholeAnswers => "Every caller gets the whole answer to its own request.",
            Self::NotRunIsNotRun => "What is refused as not run did not run.",
            Self::AtMostOnce => "What must not be repeated runs at most once.",
            Self::LeavingGetsNoWork => "A leaving engine gets no new work after 3 s.",
            Self::PlannedStopCutsNothing => "A planned stop cuts off no request in flight.",
            Self::ConfigurationInForce => {
                "An accepted change is in force everywhere within 19 s and is never lost."
            }
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenPromise {
    /// The promise.
    pub promise: Promise,
    /// What happened.
    pub what: String,
}

/// Checks every promise.
#[must_use]
pub fn check_all(history: &History) -> Vec<BrokenPromise> {
    Promise::ALL
        .iter()
        .flat_map(|promise| {
            let broken = check(*promise, history);
            broken.into_iter().map(|what| BrokenPromise {
                promise: *promise,
                what,
            })
        })
        .collect()
}

/// Checks one promise and says how it was broken, each time it was.
#[must_use]
pub fn check(promise: Promise, history: &History) -> Vec<String> {
    match promise {
        Promise::ProgramOrder => order::check(history),
        Promise::HistoryIntact => history::check(history),
        Promise::BudgetKept => budget::check(history),
        Promise::MemoryReleased => engines::check_memory(history),
        Promise::WholeAnswers => callers::check_whole_answers(history),
        Promise::NotRunIsNotRun => callers::check_not_run(history),
        Promise::AtMostOnce => callers::check_at_most_once(history),
        Promise::LeavingGetsNoWork => engines::check_leaving(history),
        Promise::PlannedStopCutsNothing => callers::check_planned_stop(history),
        Promise::ConfigurationInForce => configuration::check(history),
    }
}

/// Number of times each promise was broken.
#[must_use]
pub fn count(broken: &[BrokenPromise]) -> BTreeMap<Promise, usize> {
    let mut counts: BTreeMap<Promise, usize> =
        Promise::ALL.iter().map(|promise| (*promise, 0)).collect();
    for one in broken {
        *counts.entry(one.promise).or_default() += 1;
    }
    counts
}
