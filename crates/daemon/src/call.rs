//! A call that a daemon has accepted and not answered yet.

use crate::caller::{CallRequest, TicketId};
use luglink_program::StartWindow;
use luglink_routing::AttemptId;
use luglink_types::{
    AttemptNumber, EngineId, IdempotencyKey, OutcomeClass, ProgramId, Sequence, Timestamp,
    TokenUsage,
};
use std::time::Duration;

/// A call, numbered by its daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CallId(pub(crate) u64);

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the program's earlier calls.
    Waiting,
    /// Waits for an engine.
    Queued,
    /// Its intent is on the way to the control members.
    Beginning,
    /// Waits until no lost attempt of the program can start any more.
    Delayed,
    /// An engine works on it.
    Running,
    /// Its next attempt is on the way to the control members.
    Retrying,
    /// Its outcome is on the way to the control members.
    Finishing,
}

/// The attempt that a call has chosen an engine for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CurrentAttempt {
    pub(crate) id: AttemptId,
    pub(crate) number: AttemptNumber,
    pub(crate) engine: EngineId,
}

/// A call.
#[derive(Clone, Debug)]
pub(crate) struct ActiveCall {
    pub(crate) program: ProgramId,
    /// Who waits for the answer; `None` once the caller is gone or answered.
    pub(crate) ticket: Option<TicketId>,
    pub(crate) request: CallRequest,
    pub(crate) key: IdempotencyKey,
    pub(crate) input_tokens: u64,
    pub(crate) max_output_tokens: u64,
    pub(crate) arrived_at: Timestamp,
    /// The program's deadline.
    pub(crate) deadline: Timestamp,
    pub(crate) phase: Phase,
    /// When the attempt may start.
    pub(crate) window: StartWindow,
    /// Predicted time to the last token at the chosen engine.
    pub(crate) predicted_duration: Duration,
    /// When the engine counts as hung if nothing more is heard of it.
    pub(crate) silence_deadline: Timestamp,
    pub(crate) sequence: Option<Sequence>,
    pub(crate) attempt: Option<CurrentAttempt>,
    pub(crate) attempts: u32,
    pub(crate) excluded: Vec<EngineId>,
    pub(crate) text: String,
    pub(crate) usage: TokenUsage,
    /// The outcome that is being recorded.
    pub(crate) outcome: Option<OutcomeClass>,
    /// Part of the answer has gone to the caller, so the call cannot start over unnoticed.
    pub(crate) part_sent: bool,
    /// An engine may have run an earlier attempt: no refusal may say that nothing ran.
    pub(crate) may_have_run: bool,
    /// Ownership was taken again because another daemon had it.
    pub(crate) reacquired: bool,
    /// The program consists of this call only and ends with it.
    pub(crate) one_shot: bool,
}

impl ActiveCall {
    /// Forgets what a failed attempt produced.
    pub(crate) fn reset_output(&mut self) {
        self.text.clear();
        self.usage = TokenUsage::default();
    }
}
