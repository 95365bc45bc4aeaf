//! A daemon as pure logic: the luglink process beside a caller.
//!
//! [`Daemon`] takes [`Event`]s (caller requests, control responses, engine streams, reports, the
//! time) and gives out [`Action`]s (answers, control requests, dispatches). It does no I/O,
//! reads no clock and draws random numbers from the seed it is given. The shell in
//! `luglink-daemon-server` and the simulator drive the same daemon.
//!
//! The way of a call: wait in the queue, choose an engine, make the intent durable, dispatch,
//! make the outcome durable, answer.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod action;
mod attempts;
mod call;
mod caller;
mod calls;
mod config;
mod configuration;
mod control_client;
mod daemon;
mod event;
mod lookup;
mod outcomes;
mod pools;
mod program;
mod programs;
mod queue;
mod retry_budget;

pub use action::{Action, Answer, ChatDispatch, Dispatch, DispatchBody, LookupDispatch};
pub use caller::{
    CallRequest, CallTarget, CreateRequest, LookupRequest, ProgramDefaults, TicketId,
};
pub use config::{DaemonConfig, DaemonConfigError};
pub use control_client::OperationId;
pub use daemon::{Daemon, DaemonCounters};
pub use event::{EngineEvent, Event};
