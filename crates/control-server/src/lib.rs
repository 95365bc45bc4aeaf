//! The shell of a control member: sockets, disk and clock around [`luglink_control::ControlNode`].
//!
//! One actor owns the node. Everything that arrives while it works is taken together and made
//! durable with one sync: that is the group commit.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod actor;
mod admin;
mod errors;
mod joining;
mod list;
mod looks;
mod managed;
mod metrics;
mod operator;
mod peers;
mod relay;
mod releases;
mod resolution;
mod server;

pub use errors::ControlServerError;
pub use managed::{ManagedServer, ManagedServerConfig, start_managed};
pub use releases::engine_order;
pub use server::{ControlServer, start};
