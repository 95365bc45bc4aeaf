//! What really happened during a run, seen from outside luglink: by callers and by engines.

use crate::trace::CallEvent;
use luglink_program::ProgramView;
use luglink_resources::BudgetPolicy;
use luglink_types::{
    Budget, ChatMessage, EngineId, Epoch, ProgramId, RefusalCode, Revision, Timestamp, TokenUsage,
};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A request that an engine began to work on.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// The engine.
    pub engine: EngineId,
    /// When it took the request.
    pub at: Timestamp,
    /// Program of the request.
    pub program: Option<ProgramId>,
    /// Owner epoch of the sender.
    pub epoch: Epoch,
    /// Place of the call.
    pub sequence: u64,
    /// Place of the attempt.
    pub attempt: u64,
    /// First word of the answer; names the caller's request.
    pub marker: String,
    /// The whole prompt.
    pub prompt: Vec<ChatMessage>,
    /// Tokens it will generate.
    pub output_tokens: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// With the whole answer.
    Completed {
        /// The text.
        text: String,
        /// What the engine reported.
        usage: TokenUsage,
    },
    /// With a refusal that promises that nothing ran.
    Refused {
        /// Why.
        code: RefusalCode,
    },
    /// With a refusal that promises nothing, or without any answer.
    Unknown {
        /// Why, when there was an answer.
        code: Option<RefusalCode>,
    },
}

/// One call of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRecord {
    /// The trace's name of the request.
    pub request: String,
    /// The trace's name of the program.
    pub program: String,
    /// Tokens the caller sent.
    pub input_tokens: u64,
    /// Tokens the caller asked for.
    pub output_tokens: u64,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// When the caller sent it.
    pub sent_at: Timestamp,
    /// How often the caller sent it.
    pub sends: usize,
    /// When the first token came.
    pub first_token_at: Option<Timestamp>,
    /// Longest and other pauses between tokens.
    pub token_gaps: Vec<Duration>,
    /// When the final answer came.
    pub ended_at: Timestamp,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the daemon that had it was stopping as planned when it ended.
    pub during_planned_stop: bool,
}

impl CallRecord {
    /// A call of a trace that was sent once and of whose answer no part was seen.
    #[must_use]
    pub fn of(call: &CallEvent, sent_at: Timestamp, ended_at: Timestamp, outcome: Outcome) -> Self {
        Self {
            request: call.request.clone(),
            program: call.program.clone(),
            input_tokens: call.input_tokens,
            output_tokens: call.output_tokens,
            repeatable: call.repeatable,
            sent_at,
            sends: 1,
            first_token_at: None,
            token_gaps: Vec::new(),
            ended_at,
            outcome,
            during_planned_stop: false,
        }
    }
}

/// One plain lookup of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct LookupRecord {
    /// The trace's name of the request.
    pub request: String,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// When the caller sent it.
    pub sent_at: Timestamp,
    /// When the answer came.
    pub ended_at: Timestamp,
    /// Whether the answer was whole and its own.
    pub outcome: Outcome,
}

/// How the caller left its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It ended it.
    Ended,
    /// It went away.
    Abandoned,
}

/// One program of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramRecord {
    /// The trace's name.
    pub name: String,
    /// The trace's name of the parent.
    pub parent: Option<String>,
    /// Class.
    pub class: String,
    /// Tenant.
    pub tenant: String,
    /// luglink's identifier, once created.
    pub id: Option<ProgramId>,
    /// Budget.
    pub budget: Budget,
    /// When the caller asked for it.
    pub created_at: Timestamp,
    /// Time in which the caller was busy with tools.
    pub tool_time: Duration,
    /// When the caller first asked for its end.
    pub end_sent_at: Option<Timestamp>,
    /// When the caller left it.
    pub left_at: Option<(Timestamp, Departure)>,
    /// Why it could not be created.
    pub refused: Option<RefusalCode>,
    /// What luglink says of it at the end of the run.
    pub final_view: Option<ProgramView>,
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRecord {
    /// The operator's name for it.
    pub change_id: String,
    /// When the operator first sent it.
    pub sent_at: Timestamp,
    /// The revision that it was made against; `None` for whatever was current.
    pub expected: Option<Revision>,
    /// The budget that it sets.
    pub budget: Option<BudgetPolicy>,
    /// When it was accepted, and as what.
    pub accepted: Option<(Timestamp, Revision)>,
    /// Whether the operator got an answer at all.
    pub answered: bool,
}

/// A time in which an engine was leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The engine.
    pub engine: EngineId,
    /// From when.
    pub from: Timestamp,
    /// Until when, if it came back.
    pub until: Option<Timestamp>,
}

/// A time in which a daemon could not be reached, or was not running, by a fault of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Isolation {
    /// The daemon.
    pub daemon: u32,
    /// From when.
    pub from: Timestamp,
    /// Until when.
    pub until: Timestamp,
}

/// A revision seen in force at a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevisionSeen {
    /// The daemon.
    pub daemon: u32,
    /// Number of the daemon's process: a restart begins a new one.
    pub process: u32,
    /// When.
    pub at: Timestamp,
    /// The revision.
    pub revision: Revision,
}

/// Blocks found at an engine for a program that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldMemory {
    /// The engine.
    pub engine: EngineId,
    /// The program.
    pub program: ProgramId,
    /// Blocks that only this program owns.
    pub blocks: usize,
    /// Time since the program ended or counts as abandoned.
    pub since_end: Duration,
}

/// Everything seen during a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Programs.
    pub programs: Vec<ProgramRecord>,
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// Lookups.
    pub lookups: Vec<LookupRecord>,
    /// Work of engines and services.
    pub executions: Vec<Execution>,
    /// Runs of plain requests at services, by the trace's name.
    pub service_runs: Vec<String>,
    /// Changes.
    pub changes: Vec<ChangeRecord>,
    /// Revisions at daemons.
    pub revisions: Vec<RevisionSeen>,
    /// Engines that began to leave.
    pub leaving: Vec<Leaving>,
    /// Memory held for ended programs.
    pub held: Vec<HeldMemory>,
    /// Times in which daemons were cut off.
    pub isolations: Vec<Isolation>,
    /// Requests whose connection a planned stop broke.
    pub cut_by_stop: Vec<String>,
    /// Whether anything went wrong besides planned stops.
    pub unplanned_faults: bool,
    /// Budgets in force at the end.
    pub final_budgets: Vec<BudgetPolicy>,
}

impl History {
    /// An engine begins to leave, or is back.
    pub fn note_leaving(&mut self, engine: EngineId, leaves: bool, now: Timestamp) {
        if leaves {
            return self.leaving.push(Leaving {
                engine,
                from: now,
                until: None,
            });
        }
        let open = self
            .leaving
            .iter_mut()
            .filter(|leaving| leaving.engine == engine && leaving.until.is_none());
        for leaving in open {
            leaving.until = Some(now);
        }
    }
}

/// Collects a history from many places.
#[derive(Clone, Debug, Default)]
pub struct Observer(Arc<Mutex<History>>);

impl Observer {
    /// Adds to the history.
    pub fn note(&self, add: impl FnOnce(&mut History)) {
        add(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// An engine began to work on a request.
    pub fn executed(&self, execution: Execution) {
        self.note(|history| history.executions.push(execution));
    }

    /// An engine begins to leave, or is back.
    pub fn leaving(&self, engine: EngineId, leaves: bool, now: Timestamp) {
        self.note(|history| history.note_leaving(engine, leaves, now));
    }

    /// The history so far.
    #[must_use]
    pub fn history(&self) -> History {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
