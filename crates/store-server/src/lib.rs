//! Server process of a turn store: sockets, disk and clock around [`luglink_turns::StoreNode`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod clock;
mod errors;
mod followers;
mod metrics;
mod peers;
mod reports;
mod server;

pub use errors::StoreServerError;
pub use server::{StoreServer, StoreServerConfig, start};
