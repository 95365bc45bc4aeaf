//! Shared vocabulary of luglink: identifiers, time, budgets, refusals, outcomes and messages.
//!
//! Everything here is plain data. No I/O, no clock, no randomness.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod budget;
mod identifier;
mod message;
mod outcome;
mod priority;
mod refusal;
mod switches;
mod time;

pub use budget::{Budget, BudgetDimension, Charge, UNLIMITED};
pub use identifier::{
    AttemptNumber, ChangeId, ClassName, DaemonId, EngineId, Epoch, GroupId, IdempotencyKey,
    MemberId, ModelName, ProgramId, ProgramIdError, Revision, Sequence, ServiceName, TenantName,
    ZoneName,
};
pub use message::{ChatMessage, Role, TokenUsage, count_tokens};
pub use outcome::OutcomeClass;
pub use priority::Priority;
pub use refusal::{Executed, Refusal, RefusalCode};
pub use switches::{FeatureMode, FeatureModes};
pub use time::Timestamp;
