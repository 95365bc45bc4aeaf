//! luglink's lab: stand-ins for outside systems, whole fleets in one process, replay of traces,
//! and the checks and measures of what happened. The product never depends on it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod caller_policy;
pub mod check;
pub mod cli;
pub mod compare;
pub mod engine;
pub mod fleet;
pub mod observe;
pub mod refund;
pub mod replay;
pub mod report;
pub mod sim;
pub mod standins;
pub mod table;
pub mod trace;
