//! Durable storage: a disk abstraction and a write-ahead log.
//!
//! [`Wal`] stores batches of bytes. A batch is one frame with one checksum, and a batch is written
//! only after the previous one is synced. A crash can therefore tear only the last frame, and a
//! broken frame that is followed by an intact one is corruption, not a torn tail.
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
