//! Calls that a daemon has accepted and not answered yet.

use crate::caller::{CallRequest, TicketId};
use luglink_program::StartWindow;
use luglink_routing::AttemptId;
use luglink_types::{
    AttemptNumber, EngineId, IdempotencyKey, OutcomeClass, ProgramId, Sequence, Timestamp,
    TokenUsage,
};
use std::time::Duration;

/// Number of a call, unique in its daemon's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct CallId(pub(crate) u64);

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waiting for earlier calls of the program or for ownership of the program.
    Waiting,
    /// Waiting for an engine.
    Queued,
    /// The intent is being recorded by the control members.
    Beginning,
    /// Waiting until no lost attempt of the program can start any more.
    Delayed,
    /// Dispatched to an engine.
    Running,
    /// The next attempt is being recorded by the control members.
    Retrying,
    /// The outcome is being recorded by the control members.
    Finishing,
}

/// The current attempt of a call and the engine chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CurrentAttempt {
    pub(crate) id: AttemptId,
    pub(crate) number: AttemptNumber,
    pub(crate) engine: EngineId,
}

/// State of a call.
#[derive(Clone, Debug)]
pub(crate) struct ActiveCall {
    pub(crate) program: ProgramId,
    /// The caller's request; `None` once the caller has disconnected or been answered.
    pub(crate) ticket: Option<TicketId>,
    pub(crate) request: CallRequest,
    pub(crate) key: IdempotencyKey,
    pub(crate) input_tokens: u64,
    pub(crate) max_output_tokens: u64,
    pub(crate) arrived_at: Timestamp,
    /// The program's deadline.
    pub(crate) deadline: Timestamp,
    pub(crate) phase: Phase,
    /// Time in which the attempt may start.
    pub(crate) window: StartWindow,
    /// Predicted time until the last token at the chosen engine.
    pub(crate) predicted_duration: Duration,
    /// Time at which the engine is considered hung if it has sent no further event.
    pub(crate) silence_deadline: Timestamp,
    pub(crate) sequence: Option<Sequence>,
    pub(crate) attempt: Option<CurrentAttempt>,
    pub(crate) attempts: u32,
    pub(crate) excluded: Vec<EngineId>,
    pub(crate) text: String,
    pub(crate) usage: TokenUsage,
    /// Outcome that is being recorded.
    pub(crate) outcome: Option<OutcomeClass>,
    /// True if the caller has received part of the answer. The call cannot be restarted then,
    /// because the caller would notice.
    pub(crate) part_sent: bool,
    /// True if an engine may have run an earlier attempt. A refusal must not claim then that
    /// nothing ran.
    pub(crate) may_have_run: bool,
    /// True if the call must not cause another takeover of its program, because it has caused one
    /// already or the program has ended.
    pub(crate) reacquired: bool,
    /// True if the program consists of this call only and ends with it.
    pub(crate) one_shot: bool,
}

impl ActiveCall {
    /// Discards the output of a failed attempt.
    pub(crate) fn reset_output(&mut self) {
        self.text.clear();
        self.usage = TokenUsage::default();
    }
}
