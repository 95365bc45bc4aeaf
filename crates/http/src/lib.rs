//! HTTP/1.1 on the actix runtime's own thread, over hyper's connections.
//!
//! `actix-web` and `awc` hide what a gateway must decide: an `actix-web` handler is not told
//! that its caller has left, and an `awc` client does not say whether a request that failed on a
//! pooled connection was sent. hyper's connection level says both. The administration and daemon
//! interfaces stay on the house libraries.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body;
mod client;
mod server;
mod unread;

pub use body::{Body, BodyError, BodySender, empty_body, full_body, stream_body};
pub use client::{ClientConnection, ConnectError, SendError, connect};
pub use server::{Abort, ServeOptions, StopHandle, StopSignal, serve, stop_channel};
