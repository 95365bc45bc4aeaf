//! Replay of a trace against a fleet on real sockets.

mod caller;
mod faults;
mod http_client;
mod operator;
mod plan;
mod run;
mod settle;

pub use plan::{ProgramPlan, ProgramStep, ReplayPlan};
pub use run::{ReplayResult, replay_on_fleet};
