//! Limits on what the peers of a process can make it hold, as pure logic.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod connections;
mod held_bytes;
mod machine;

pub use connections::{Admission, ConnectionId, ConnectionTable};
pub use held_bytes::{Growth, HeldAbort, HeldBytes, HeldBytesLimit, HolderId};
pub use machine::{ListenerKind, Machine};
