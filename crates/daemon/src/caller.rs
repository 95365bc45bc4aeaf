//! Requests of callers.

use luglink_types::{
    Budget, ChatMessage, ClassName, IdempotencyKey, ModelName, Priority, ProgramId, Sequence,
    ServiceName, TenantName,
};

/// Number of a caller's request, assigned by the process that drives the daemon. Answers carry the
/// same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// Parameters of a new program, as stated by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramParameters {
    /// Tenant that is charged.
    pub tenant: TenantName,
    /// Program class.
    pub class: ClassName,
    /// Model.
    pub model: ModelName,
    /// Adapter of the model.
    pub adapter: Option<String>,
    /// Priority; defaults to that of the class.
    pub priority: Option<Priority>,
    /// Limits on what the program may spend.
    pub budget: Budget,
}

/// A request to create a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreateRequest {
    /// Parameters of the program.
    pub program: ProgramParameters,
    /// Program that starts this one as a sub-program.
    pub parent: Option<ProgramId>,
    /// Idempotency key: a repeated key returns the same program.
    pub key: Option<IdempotencyKey>,
}

/// The program that a call belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// An existing program.
    Existing(ProgramId),
    /// A new program that consists of this call only.
    OneShot(Box<ProgramParameters>),
}

/// A request to run a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The program.
    pub target: CallTarget,
    /// Sequence number in the program, if the caller states it.
    pub sequence: Option<Sequence>,
    /// Idempotency key: a repeated key returns the same answer without a second run.
    pub key: Option<IdempotencyKey>,
    /// New messages.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of generated tokens; defaults to that of the pool.
    pub max_output_tokens: Option<u64>,
    /// True if the call may run twice after a failure.
    pub repeatable: bool,
    /// True if the caller wants the answer streamed.
    pub stream: bool,
}

/// A request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupRequest {
    /// The service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// True if the request may run twice.
    pub repeatable: bool,
}
