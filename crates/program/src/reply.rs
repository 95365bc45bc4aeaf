//! Replies of the replicated state to commands and queries.

use crate::call::StoredAnswer;
use crate::command::ProgramSpec;
use crate::program::ProgramStatus;
use crate::window::StartWindow;
use luglink_types::{
    AttemptNumber, Charge, ChatMessage, DaemonId, EngineId, Epoch, ProgramId, Refusal, Sequence,
};
use serde::{Deserialize, Serialize};

/// Ownership of a program, given to the daemon that created it or took it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owned {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Place of the next call.
    pub next_sequence: Sequence,
    /// What the program is.
    pub spec: ProgramSpec,
    /// The history so far.
    pub history: Vec<ChatMessage>,
    /// Engines that may hold some of the program's cache.
    pub engines: Vec<EngineId>,
    /// Time of creation in microseconds of the control members' clock.
    pub created_at_micros: u64,
}

/// An intent is durable: the daemon may dispatch the attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begun {
    /// Place of the call.
    pub sequence: Sequence,
    /// The attempt to dispatch.
    pub attempt: AttemptNumber,
    /// The history before the call's new messages, when the owner's copy may lack some of it:
    /// the messages of an earlier, uncertain call have just become part of it, or the reply to
    /// an earlier send of the same intent was lost.
    pub history: Option<Vec<ChatMessage>>,
    /// When the attempt may be dispatched and until when an engine may start it.
    pub window: StartWindow,
}

/// What anyone may see of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// What it is.
    pub spec: ProgramSpec,
    /// Whether it runs.
    pub status: ProgramStatus,
    /// The daemon that serves it.
    pub owner: DaemonId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Place of the next call.
    pub next_sequence: Sequence,
    /// Spent for good.
    pub spent: Charge,
    /// Reserved by calls in flight.
    pub reserved: Charge,
    /// The conversation.
    pub history: Vec<ChatMessage>,
    /// Calls that nobody can tell the outcome of.
    pub uncertain_calls: Vec<Sequence>,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The daemon owns the program.
    Owned(Box<Owned>),
    /// The attempt may be dispatched.
    Begun(Begun),
    /// The call had been answered before; this is its answer.
    AlreadyAnswered(StoredAnswer),
    /// The outcome is durable.
    Finished {
        /// Place of the program's next call.
        next_sequence: Sequence,
    },
    /// The command took effect and has nothing to tell.
    Done,
    /// The command changed nothing but, for a refused retry, closed its call.
    Refused(Refusal),
}
