//! HTTP/1.1 servers and clients on the actix runtime, based on hyper's connection API.
//!
//! `actix-web` and `awc` hide information that a gateway needs: an `actix-web` handler is not
//! notified when its caller disconnects, and an `awc` client does not report whether a request that
//! failed on a pooled connection was sent. hyper's connection API reports both. The administration
//! and daemon interfaces use `actix-web` and `awc`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod body;
mod client;
mod fetch;
mod head_limit;
mod lingering_close;
mod request_body;
mod server;
mod tracked_body;
mod write_stall;

pub use body::{Body, BodyError, BodySender, empty_body, full_body, stream_body};
pub use client::{
    ClientConnection, ConnectError, ConnectionEnd, ConnectionState, SendError, connect, is_reset,
};
pub use fetch::{FetchError, FetchLimits, fetch};
pub use request_body::{BodyFailure, BodyLimits, declared_length, read_body};
pub use server::{Abort, ServeOptions, StopHandle, StopSignal, serve, stop_channel};
pub use tracked_body::RequestBody;
