//! Types that all crates share: identifiers, time, budgets, refusals, outcomes and messages.
//!
//! All types are plain data. This crate does no I/O, reads no clock and uses no randomness.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod budget;
mod feature_modes;
mod identifier;
mod message;
mod outcome;
mod priority;
mod refusal;
mod time;

pub use budget::{Budget, BudgetDimension, Charge, UNLIMITED};
pub use feature_modes::{FeatureMode, FeatureModes};
pub use identifier::{
    AttemptNumber, ChangeId, ClassName, DaemonId, EngineId, Epoch, GroupId, IdempotencyKey,
    MemberId, ModelName, ProgramId, ProgramIdError, Revision, Sequence, ServiceName, TenantName,
    ZoneName,
};
pub use message::{ChatMessage, Role, TokenUsage, count_tokens};
pub use outcome::OutcomeClass;
pub use priority::Priority;
pub use refusal::{Executed, Refusal, RefusalCode};
pub use time::Timestamp;
