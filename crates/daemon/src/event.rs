//! What a daemon is told.

use crate::caller::{CallRequest, CreateRequest, LookupRequest, TicketId};
use crate::control_client::OperationId;
use luglink_control::Response;
use luglink_routing::{AttemptId, BlockHash, LoadReport};
use luglink_types::{EngineId, MemberId, ProgramId, TokenUsage};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller wants a program.
    Create {
        /// The request.
        ticket: TicketId,
        /// What it asks.
        request: CreateRequest,
    },
    /// A caller wants a call.
    Call {
        /// The request.
        ticket: TicketId,
        /// What it asks.
        request: CallRequest,
    },
    /// A caller wants to see a program.
    View {
        /// The request.
        ticket: TicketId,
        /// The program.
        program: ProgramId,
    },
    /// A caller ends a program.
    End {
        /// The request.
        ticket: TicketId,
        /// The program.
        program: ProgramId,
        /// Whether the caller gives it up rather than having finished it.
        abandoned: bool,
    },
    /// A caller asks a plain service.
    Lookup {
        /// The request.
        ticket: TicketId,
        /// What it asks.
        request: LookupRequest,
    },
    /// A caller closed its connection before it was answered.
    CallerGone {
        /// The request.
        ticket: TicketId,
    },
    /// A control member responded.
    Control {
        /// The request.
        operation: OperationId,
        /// The response.
        response: Box<Response>,
    },
    /// A control member cannot be reached or closed the connection.
    MemberUnreachable {
        /// The member.
        member: MemberId,
    },
    /// A replica did something for a request.
    Engine {
        /// The request.
        attempt: AttemptId,
        /// What it did.
        event: EngineEvent,
    },
    /// A replica reported its load.
    Load {
        /// The replica.
        engine: EngineId,
        /// The report.
        report: LoadReport,
    },
    /// A replica stored or gave up cache blocks.
    Cache {
        /// The replica.
        engine: EngineId,
        /// Stored blocks.
        stored: Vec<BlockHash>,
        /// Blocks that are gone.
        removed: Vec<BlockHash>,
        /// The replica began anew: nothing that was known of its cache holds. Events that were
        /// merely missed change nothing: forgetting everything for them costs more than the few
        /// blocks that are believed wrongly.
        restarted: bool,
    },
    /// The platform says that replicas are leaving.
    Leaving {
        /// All that are leaving now.
        engines: Vec<EngineId>,
    },
    /// Stop taking work; see [`crate::Action::Drained`].
    Drain,
    /// Time has passed.
    Tick,
}

/// What a replica does for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// More of the answer.
    Part(String),
    /// The end of the answer.
    Completed {
        /// What the engine counted.
        usage: TokenUsage,
    },
    /// The response of a plain service.
    LookupDone {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Option<String>,
        /// Body.
        body: Vec<u8>,
    },
    /// The request never left this daemon: the connection was refused.
    NotSent,
    /// The replica refused the request before working on it.
    Rejected,
    /// The replica says that the request failed and may be sent again.
    Retryable,
    /// The connection broke after the request was sent.
    Broken,
}
