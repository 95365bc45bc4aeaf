//! State machine of a daemon, the luglink process that runs beside a caller.
//!
//! [`Daemon`] takes [`Event`]s (caller requests, control responses, engine streams, load reports,
//! timer ticks) and returns [`Action`]s (answers, control requests, dispatches). It does no I/O,
//! reads no clock and generates random numbers from a given seed. `luglink-daemon-server` and the
//! simulator drive the same state machine.
//!
//! A call passes these steps: it waits in the queue, an engine is chosen, the intent is made
//! durable, the call is dispatched, the outcome is made durable, the caller is answered.
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
    CallRequest, CallTarget, CreateRequest, LookupRequest, ProgramParameters, TicketId,
};
pub use config::{DaemonConfig, DaemonConfigError};
pub use control_client::OperationId;
pub use daemon::{Daemon, DaemonCounters};
pub use event::{EngineEvent, Event};
