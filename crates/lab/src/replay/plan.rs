//! A trace, sorted by who acts.

use crate::trace::{CallEvent, ChangeEvent, FaultEvent, LookupEvent, ProgramEvent, TraceEvent};
use std::collections::BTreeMap;

/// What a program's caller does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProgramStep {
    /// A call after a pause.
    Call(CallEvent),
    /// The end, after a pause in milliseconds.
    End(u64),
    /// The caller goes away, after a pause in milliseconds.
    Abandon(u64),
}

/// One program and what its caller does, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramPlan {
    /// The program.
    pub program: ProgramEvent,
    /// The steps.
    pub steps: Vec<ProgramStep>,
}

/// A whole trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayPlan {
    /// Programs, in the order of the trace.
    pub programs: Vec<ProgramPlan>,
    /// Plain lookups.
    pub lookups: Vec<LookupEvent>,
    /// Faults.
    pub faults: Vec<FaultEvent>,
    /// Changes.
    pub changes: Vec<ChangeEvent>,
}

impl ReplayPlan {
    /// Sorts a trace.
    #[must_use]
    pub fn new(events: &[TraceEvent]) -> Self {
        let mut plan = Self::default();
        let mut places: BTreeMap<&str, usize> = BTreeMap::new();
        for event in events {
            match event {
                TraceEvent::Program(program) => {
                    places.insert(&program.program, plan.programs.len());
                    plan.programs.push(ProgramPlan {
                        program: program.clone(),
                        steps: Vec::new(),
                    });
                }
                TraceEvent::Call(call) => {
                    plan.step(&places, &call.program, ProgramStep::Call(call.clone()));
                }
                TraceEvent::End(end) => {
                    plan.step(&places, &end.program, ProgramStep::End(end.after_ms));
                }
                TraceEvent::Abandon(abandon) => {
                    let step = ProgramStep::Abandon(abandon.after_ms);
                    plan.step(&places, &abandon.program, step);
                }
                TraceEvent::Lookup(lookup) => plan.lookups.push(lookup.clone()),
                TraceEvent::Fault(fault) => plan.faults.push(fault.clone()),
                TraceEvent::Change(change) => plan.changes.push(change.clone()),
            }
        }
        plan
    }

    fn step(&mut self, places: &BTreeMap<&str, usize>, program: &str, step: ProgramStep) {
        if let Some(place) = places.get(program) {
            self.programs[*place].steps.push(step);
        }
    }
}
