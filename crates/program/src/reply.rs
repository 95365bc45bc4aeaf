//! Replies to commands and queries.

use crate::call::StoredAnswer;
use crate::command::ProgramSpec;
use crate::program::ProgramStatus;
use crate::window::StartWindow;
use luglink_types::{
    AttemptNumber, Charge, ChatMessage, DaemonId, EngineId, Epoch, ProgramId, Refusal, Sequence,
};
use serde::{Deserialize, Serialize};

/// Ownership of a program, granted to the daemon that created it or took it over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owned {
    /// The program.
    pub program: ProgramId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sequence number of the next call.
    pub next_sequence: Sequence,
    /// Specification of the program.
    pub spec: ProgramSpec,
    /// Messages of the conversation so far.
    pub history: Vec<ChatMessage>,
    /// Engines that may hold cached prompts of the program.
    pub engines: Vec<EngineId>,
    /// Time of creation in microseconds, by the control members' clock.
    pub created_at_micros: u64,
}

/// Reply to a durable intent, which permits the daemon to dispatch the attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begun {
    /// Sequence number of the call.
    pub sequence: Sequence,
    /// Attempt to dispatch.
    pub attempt: AttemptNumber,
    /// History before the call's new messages. Set if the owner's copy may be incomplete because
    /// the messages of an earlier, uncertain call were appended with this intent, or because the
    /// reply to an earlier send of this intent was lost.
    pub history: Option<Vec<ChatMessage>>,
    /// Interval in which the attempt may be dispatched and started.
    pub window: StartWindow,
}

/// Public view of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// Specification of the program.
    pub spec: ProgramSpec,
    /// Current status.
    pub status: ProgramStatus,
    /// Daemon that serves the program.
    pub owner: DaemonId,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sequence number of the next call.
    pub next_sequence: Sequence,
    /// Amount that has been spent.
    pub spent: Charge,
    /// Amount that calls in flight reserve.
    pub reserved: Charge,
    /// Messages of the conversation.
    pub history: Vec<ChatMessage>,
    /// Calls with an unknown outcome.
    pub uncertain_calls: Vec<Sequence>,
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The daemon owns the program.
    Owned(Box<Owned>),
    /// The attempt may be dispatched.
    Begun(Begun),
    /// The call is already completed, with this answer.
    AlreadyAnswered(StoredAnswer),
    /// The outcome is durable.
    Finished {
        /// Sequence number of the program's next call.
        next_sequence: Sequence,
    },
    /// The command took effect and returns no value.
    Done,
    /// The command was refused and changed nothing, except that a refused retry closes its call.
    Refused(Refusal),
}
