//! Framed TCP connections between luglink processes, on the actix runtime.
//!
//! A [`Link`] is a client connection that reconnects automatically; [`serve`] accepts connections.
//! Queues are bounded: frames that do not fit are dropped, and the protocols above retry. What peers
//! make a process hold is counted before it is held.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod account;
mod connection;
mod connections;
mod errors;
mod link;
mod listener;
mod metrics;
mod request_client;
mod send_queue;
mod socket;

pub use account::{AccountEvent, ByteAccount, ByteGuard};
pub use connection::FrameSender;
pub use connections::{ConnectionGuard, Connections};
pub use errors::NetError;
pub use link::{Link, LinkEvent};
pub use listener::{ListenerEvent, ListenerLimits, serve};
pub use metrics::{ConnectionMetrics, PeerMetrics};
pub use request_client::RequestClient;
pub use send_queue::QueueBudget;
pub use socket::{set_reset_on_close, set_send_buffer, set_tcp_options};
