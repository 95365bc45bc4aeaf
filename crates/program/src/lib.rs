//! The replicated state of agent programs: ownership, order, history, budget and outcomes.
//!
//! [`ProgramStore`] is a deterministic state machine. A replication group applies the same
//! [`Command`]s in the same order on every replica, each with the time its leader gave it, and
//! every replica reaches the same state. No I/O, no clock, no randomness.
//!
//! The life of a call: [`Command::Begin`] makes its intent durable and reserves its ceiling in
//! the budget; only then may a daemon dispatch it. [`Command::Finish`] makes its outcome
//! durable; only then may a daemon answer. An intent whose owner is gone becomes uncertain.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod account;
mod call;
mod command;
mod expiry;
mod program;
mod reply;
mod rules;
mod store;
mod window;

pub use account::{Account, RefundRule};
pub use call::{CallRecord, CallState, StoredAnswer, request_fingerprint};
pub use command::{
    BeginCall, Claim, Command, ConfirmRelease, CreateProgram, EndProgram, EndReason, FinishCall,
    ProgramSpec, RenewLease, RetryCall, TakeOver,
};
pub use program::{OwnerLease, Program, ProgramStatus};
pub use reply::{Begun, Owned, ProgramView, Reply};
pub use store::{ProgramStore, Release};
pub use window::{CLOCK_SKEW_BOUND, StartWindow};
