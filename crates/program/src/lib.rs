//! Replicated state of agent programs: ownership, call order, history, budget and outcomes.
//!
//! [`ProgramStore`] is a deterministic state machine. Every replica of a group applies the same
//! [`Command`]s in the same order, each with the timestamp that the leader assigned to it, and
//! reaches the same state. It uses no I/O, no clock and no randomness.
//!
//! Life cycle of a call: [`Command::Begin`] makes the intent durable and reserves the call's
//! ceiling in the budget; only then may a daemon dispatch the call. [`Command::Finish`] makes the
//! outcome durable; only then may a daemon respond to the caller. If the owner of an intent fails,
//! the call becomes uncertain.
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
pub use window::{MAX_CLOCK_SKEW, StartWindow};
