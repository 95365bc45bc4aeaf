//! Limits on what the peers of a process can make it hold, as pure logic.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod held_bytes;

pub use held_bytes::{Growth, HeldAbort, HeldBytes, HeldBytesLimit, HolderId};
