//! Durable storage of a control member: a disk abstraction and a write-ahead log on it.
//!
//! [`Wal`] keeps batches of bytes. A batch is one frame with one checksum, and the next batch is
//! written only after the one before it is synced. So at most the last frame can be torn by a
//! crash, and a broken frame with an intact one behind it is corruption, not a torn tail.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod disk;
mod errors;
mod file_disk;
mod frame;
mod memory_disk;
mod wal;

pub use disk::Disk;
pub use errors::StorageError;
pub use file_disk::FileDisk;
pub use memory_disk::{CrashDamage, MemoryDisk};
pub use wal::{Recovered, RecoveredBatch, Wal, WalConfig};
