//! What a daemon wants done.

use crate::caller::TicketId;
use crate::control_client::OperationId;
use luglink_control::Request;
use luglink_program::{Owned, ProgramView, StoredAnswer};
use luglink_routing::AttemptId;
use luglink_types::{
    AttemptNumber, ChatMessage, EngineId, Epoch, MemberId, ModelName, Priority, ProgramId, Refusal,
    Sequence, Timestamp,
};

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a caller. All but [`Answer::Part`] are final.
    Answer {
        /// The request.
        ticket: TicketId,
        /// The answer.
        answer: Answer,
    },
    /// Send a request to a control member.
    Control {
        /// The member.
        member: MemberId,
        /// Given back with the response.
        operation: OperationId,
        /// The request.
        request: Box<Request>,
    },
    /// Send a request to a replica.
    Dispatch(Box<Dispatch>),
    /// Stop a request at a replica; nobody wants its result.
    Cancel {
        /// The request.
        attempt: AttemptId,
    },
    /// Every accepted request of a draining daemon is answered: it may stop.
    Drained,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The program exists.
    Created(Box<Owned>),
    /// Part of a streamed answer.
    Part(String),
    /// The whole answer of a call.
    Completed {
        /// The program.
        program: ProgramId,
        /// The answer.
        answer: StoredAnswer,
    },
    /// The program.
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
    /// No answer, and why.
    Refused(Refusal),
}

/// A request to a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Given back with each event of the request.
    pub attempt: AttemptId,
    /// The replica.
    pub engine: EngineId,
    /// Its IP number and port.
    pub address: String,
    /// What to send.
    pub body: DispatchBody,
}

/// What to send to a replica.
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
    /// The program, which names the cached prefix at the engine.
    pub program: ProgramId,
    /// Fence: the engine refuses a lower epoch of the same program.
    pub epoch: Epoch,
    /// Place of the call.
    pub sequence: Sequence,
    /// Place of the attempt.
    pub attempt_number: AttemptNumber,
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<String>,
    /// Priority.
    pub priority: Priority,
    /// The whole prompt, history first.
    pub messages: Vec<ChatMessage>,
    /// Ceiling of generated tokens.
    pub max_output_tokens: u64,
    /// The engine must refuse to start it later; see [`luglink_program::StartWindow`].
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
