//! Process of a daemon: drives [`luglink_daemon::Daemon`], serves HTTP to callers, holds the links
//! to the control members and sends requests to replicas.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod actor;
mod api;
mod engine_events;
mod engines;
mod errors;
mod http;
mod lookup;
mod metrics;
mod parse;
mod platform;
mod server;
mod stream;

pub use engine_events::EngineEventReader;
pub use errors::DaemonServerError;
pub use lookup::send_lookup;
pub use platform::MachineList;
pub use server::{DaemonServer, start};
