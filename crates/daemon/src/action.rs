//! Actions that a daemon requests.

use crate::caller::TicketId;
use crate::control_client::OperationId;
use luglink_control::Request;
use luglink_program::{Owned, ProgramView, StoredAnswer};
use luglink_routing::AttemptId;
use luglink_types::{
    AttemptNumber, ChatMessage, EngineId, Epoch, MemberId, ModelName, Priority, ProgramId, Refusal,
    Sequence, Timestamp,
};

/// An action for the process or simulator that drives the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a caller. Every answer except [`Answer::Part`] is final.
    Answer {
        /// The caller's request.
        ticket: TicketId,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to a control member.
    Control {
        /// The member.
        member: MemberId,
        /// Identifier that the response must carry.
        operation: OperationId,
        /// The request.
        request: Box<Request>,
    },
    /// Send a request to a replica.
    Dispatch(Box<Dispatch>),
    /// Stop an attempt at a replica; its result is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A draining daemon has answered every accepted request and may stop.
    Drained,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The program has been created or existed already under the same key.
    Created(Box<Owned>),
    /// Part of a streamed answer.
    Part(String),
    /// The complete answer to a call.
    Completed {
        /// The program.
        program: ProgramId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// State of a program.
    View(Box<ProgramView>),
    /// The program has ended.
    Ended,
    /// The response of a plain service.
    Lookup {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Option<String>,
        /// Body.
        body: Vec<u8>,
    },
    /// The request is refused for this reason.
    Refused(Refusal),
}

/// A request to a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Identifier that every event of the request must carry.
    pub attempt: AttemptId,
    /// The replica.
    pub engine: EngineId,
    /// The replica's IP address and port.
    pub address: String,
    /// The request's content.
    pub body: DispatchBody,
}

/// Content of a request to a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchBody {
    /// A model call.
    Chat(ChatDispatch),
    /// A plain request.
    Lookup(LookupDispatch),
}

/// A model call for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatDispatch {
    /// The program, which identifies the cached prefix at the engine.
    pub program: ProgramId,
    /// Fencing token: the engine refuses a lower epoch of the same program.
    pub epoch: Epoch,
    /// Sequence number of the call in the program.
    pub sequence: Sequence,
    /// Number of the attempt within the call.
    pub attempt_number: AttemptNumber,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<String>,
    /// Priority.
    pub priority: Priority,
    /// The complete prompt: the history, then the call's messages.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of generated tokens.
    pub max_output_tokens: u64,
    /// Latest start: the engine must refuse the call afterwards; see
    /// [`luglink_program::StartWindow`].
    pub start_by: Timestamp,
}

/// A plain request for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupDispatch {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}
