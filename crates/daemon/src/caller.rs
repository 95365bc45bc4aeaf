//! What callers ask.

use luglink_types::{
    Budget, ChatMessage, ClassName, IdempotencyKey, ModelName, Priority, ProgramId, Sequence,
    ServiceName, TenantName,
};

/// One request of one caller, numbered by the shell. Answers carry it back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// Who a program belongs to and what it may do, as its caller states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramDefaults {
    /// Who pays.
    pub tenant: TenantName,
    /// Program class.
    pub class: ClassName,
    /// Model.
    pub model: ModelName,
    /// Adapter on the model.
    pub adapter: Option<String>,
    /// Priority; the class's when not stated.
    pub priority: Option<Priority>,
    /// Ceilings.
    pub budget: Budget,
}

/// Asks for a new program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreateRequest {
    /// What it is.
    pub program: ProgramDefaults,
    /// The program that starts it.
    pub parent: Option<ProgramId>,
    /// The caller's name for the request: the same one gives the same program.
    pub key: Option<IdempotencyKey>,
}

/// The program a call belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// One that exists.
    Existing(ProgramId),
    /// A program of just this call.
    OneShot(Box<ProgramDefaults>),
}

/// Asks for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The program.
    pub target: CallTarget,
    /// Place in the program, when the caller states it.
    pub sequence: Option<Sequence>,
    /// The caller's name for the call: the same one gives the same answer and no second run.
    pub key: Option<IdempotencyKey>,
    /// New messages.
    pub messages: Vec<ChatMessage>,
    /// Ceiling of generated tokens; the pool's when not stated.
    pub max_output_tokens: Option<u64>,
    /// Whether it may run twice after a failure.
    pub repeatable: bool,
    /// Whether the caller wants parts of the answer as they come.
    pub stream: bool,
}

/// Asks a plain service.
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
    /// Whether it may run twice.
    pub repeatable: bool,
}
