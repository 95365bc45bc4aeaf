//! The protocols of model engines and callers: OpenAI-compatible chat completions, and what
//! engines publish beside them (cache events, load reports, fenced orders).
//!
//! Plain serde types, shared by the daemon and the lab's stand-ins.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod chat;
mod events;
mod headers;
mod orders;
mod problem;

pub use chat::{
    ChatChoice, ChatChunk, ChatChunkChoice, ChatCompletion, ChatDelta, ChatRequest,
    PromptTokensDetails, StreamOptions, Usage,
};
pub use events::{EngineEvents, EngineLoad};
pub use headers::{
    HEADER_ATTEMPT, HEADER_CLASS, HEADER_EPOCH, HEADER_IDEMPOTENCY_KEY, HEADER_MODEL_ADAPTER,
    HEADER_PRIORITY, HEADER_PROGRAM, HEADER_REPEATABLE, HEADER_SEQUENCE, HEADER_START_BY,
    HEADER_TENANT,
};
pub use orders::{EngineOrder, OrderFence, OrderKind, OrderResponse};
pub use problem::{EngineError, EngineErrorBody, EngineErrorCode, Problem};
