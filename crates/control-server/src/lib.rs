//! Server of a control member: sockets, disk and clock around [`luglink_control::ControlNode`].
//!
//! One actor owns the node. It handles all inputs that arrive while it is busy as one batch and
//! persists them with one sync (group commit).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod actor;
mod admin;
mod errors;
mod joining;
mod list;
mod managed;
mod metrics;
mod operator;
mod peers;
mod queries;
mod relay;
mod releases;
mod reports;
mod resolution;
mod server;
mod settlement_log;

pub use errors::ControlServerError;
pub use managed::{ManagedServer, ManagedServerConfig, start_managed};
pub use releases::engine_order;
pub use server::{ControlServer, start};
