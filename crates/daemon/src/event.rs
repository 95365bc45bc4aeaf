//! Events that a daemon handles.

use crate::caller::{CallRequest, CreateRequest, LookupRequest, TicketId};
use crate::control_client::OperationId;
use luglink_control::Response;
use luglink_routing::{AttemptId, BlockHash, LoadReport};
use luglink_types::{EngineId, MemberId, ProgramId, TokenUsage};

/// An event for the daemon.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller creates a program.
    Create {
        /// Number of the caller's request.
        ticket: TicketId,
        /// The request.
        request: CreateRequest,
    },
    /// A caller runs a call.
    Call {
        /// Number of the caller's request.
        ticket: TicketId,
        /// The request.
        request: CallRequest,
    },
    /// A caller reads the state of a program.
    View {
        /// Number of the caller's request.
        ticket: TicketId,
        /// The program.
        program: ProgramId,
    },
    /// A caller ends a program.
    End {
        /// Number of the caller's request.
        ticket: TicketId,
        /// The program.
        program: ProgramId,
        /// True if the caller abandons the program, false if it has finished it.
        abandoned: bool,
    },
    /// A caller sends a request to a plain service.
    Lookup {
        /// Number of the caller's request.
        ticket: TicketId,
        /// The request.
        request: LookupRequest,
    },
    /// A caller closed its connection before it was answered.
    CallerGone {
        /// Number of the caller's request.
        ticket: TicketId,
    },
    /// A control member responded.
    Control {
        /// The operation that the response belongs to.
        operation: OperationId,
        /// The response.
        response: Box<Response>,
    },
    /// A control member cannot be reached or closed the connection.
    MemberUnreachable {
        /// The member.
        member: MemberId,
    },
    /// A replica made progress with an attempt, or the attempt failed.
    Engine {
        /// The attempt.
        attempt: AttemptId,
        /// The event.
        event: EngineEvent,
    },
    /// A replica reported its load.
    Load {
        /// The replica.
        engine: EngineId,
        /// The report.
        report: LoadReport,
    },
    /// A replica stored or evicted cache blocks.
    Cache {
        /// The replica.
        engine: EngineId,
        /// Stored blocks.
        stored: Vec<BlockHash>,
        /// Evicted blocks.
        removed: Vec<BlockHash>,
        /// True if the replica has restarted, so that all knowledge of its cache is stale. Missed
        /// events do not set it: discarding everything costs more than a few stale blocks.
        restarted: bool,
    },
    /// The platform reports the replicas that are leaving.
    Leaving {
        /// All replicas that are leaving now.
        engines: Vec<EngineId>,
    },
    /// The daemon must refuse new requests; [`crate::Action::Drained`] reports the end.
    Drain,
    /// A timer has expired.
    Tick,
}

/// An event of an attempt at a replica.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// Next part of the answer.
    Part(String),
    /// The end of the answer.
    Completed {
        /// Token counts of the engine.
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
    /// The request was not sent, for example because the connection was refused.
    NotSent,
    /// The replica refused the request before processing it.
    Rejected,
    /// The replica reported a failure after which the request may be retried.
    Retryable,
    /// The connection failed after the request was sent, or the response was invalid.
    Broken,
}
