//! Framed TCP connections between luglink processes, on the actix runtime.
//!
//! A [`Link`] is one end that connects and connects again; [`serve`] is the end that accepts.
//! Queues are bounded: what does not fit is dropped, and the protocols above send again.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod connection;
mod errors;
mod link;
mod listener;
mod request_client;
mod socket;

pub use connection::{FrameSender, frame_channel};
pub use errors::NetError;
pub use link::{Link, LinkEvent};
pub use listener::{ListenerEvent, serve};
pub use request_client::RequestClient;
pub use socket::{set_liveness, set_send_buffer};
