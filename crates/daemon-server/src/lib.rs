//! The shell of a daemon: HTTP for callers, links to the control members, and requests to
//! replicas, around [`luglink_daemon::Daemon`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod actor;
mod api;
mod engine_events;
mod engines;
mod errors;
mod http;
mod metrics;
mod parse;
mod platform;
mod server;
mod stream;

pub use engine_events::EngineEventReader;
pub use errors::DaemonServerError;
pub use platform::MachineList;
pub use server::{DaemonServer, start};
