//! In-memory disk that simulates crashes and disk failures.

use crate::disk::Disk;
use crate::errors::{IoSnafu, StorageError};
use snafu::IntoError;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};

/// Effect of a crash on unsynced writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashDamage {
    /// Unsynced writes are lost.
    LoseUnsynced,
    /// The first part of the unsynced writes to each file is kept.
    TearUnsynced {
        /// Kept part, in thousandths of the unsynced length.
        kept_per_mille: u16,
    },
    /// Unsynced writes survive.
    KeepAll,
}

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    content: Vec<u8>,
    synced: usize,
}

/// In-memory disk for tests and the simulator.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, MemoryFile>,
    full: bool,
    sync_fails: bool,
    syncs: u64,
}

impl MemoryDisk {
    /// Creates an empty disk.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Simulates a crash of the machine: applies `damage` to unsynced writes.
    pub fn crash(&mut self, damage: CrashDamage) {
        for file in self.files.values_mut() {
            let unsynced = file.content.len() - file.synced;
            let kept = match damage {
                CrashDamage::LoseUnsynced => 0,
                CrashDamage::TearUnsynced { kept_per_mille } => {
                    unsynced * usize::from(kept_per_mille.min(1_000)) / 1_000
                }
                CrashDamage::KeepAll => unsynced,
            };
            file.content.truncate(file.synced + kept);
            file.synced = file.content.len();
        }
        self.sync_fails = false;
        self.files.retain(|_, file| !file.content.is_empty());
    }

    /// Sets whether writes and syncs fail because the disk is full.
    pub fn set_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Sets whether [`Disk::sync`] and [`Disk::replace`] fail. Writes before a failed sync stay
    /// unsynced. [`MemoryDisk::crash`] resets the setting.
    pub fn set_sync_fails(&mut self, fails: bool) {
        self.sync_fails = fails;
    }

    /// Flips one bit, which simulates failing hardware.
    pub fn flip_bit(&mut self, file: &str, offset: usize) {
        let byte = self
            .files
            .get_mut(file)
            .and_then(|file| file.content.get_mut(offset));
        if let Some(byte) = byte {
            *byte ^= 1;
        }
    }

    /// Returns the number of successful syncs.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Returns the number of bytes on the disk.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.files.values().map(|file| file.content.len()).sum()
    }

    fn check_space(&self, file: &str) -> Result<(), StorageError> {
        if !self.full {
            return Ok(());
        }
        let source = Error::new(ErrorKind::StorageFull, "no space left on device");
        Err(IoSnafu {
            action: "write",
            file,
        }
        .into_error(source))
    }

    fn not_found(file: &str) -> StorageError {
        let source = Error::new(ErrorKind::NotFound, "no such file");
        IoSnafu {
            action: "read",
            file,
        }
        .into_error(source)
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, StorageError> {
        self.files
            .get(file)
            .map(|file| file.content.clone())
            .ok_or_else(|| Self::not_found(file))
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.check_space(file)?;
        let file = self.files.entry(file.to_owned()).or_default();
        file.content.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<(), StorageError> {
        self.check_space(file)?;
        if self.sync_fails {
            let source = Error::other("the machine stopped before the sync ended");
            return Err(IoSnafu {
                action: "sync",
                file,
            }
            .into_error(source));
        }
        self.syncs += 1;
        if let Some(file) = self.files.get_mut(file) {
            file.synced = file.content.len();
        }
        Ok(())
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.check_space(file)?;
        if self.sync_fails {
            // The old content stays, as if the crash came before the rename.
            let source = Error::other("the machine stopped before the sync ended");
            return Err(IoSnafu {
                action: "replace",
                file,
            }
            .into_error(source));
        }
        self.syncs += 1;
        let content = MemoryFile {
            content: bytes.to_vec(),
            synced: bytes.len(),
        };
        self.files.insert(file.to_owned(), content);
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), StorageError> {
        let Some(found) = self.files.get_mut(file) else {
            return Err(Self::not_found(file));
        };
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        found.content.truncate(length);
        found.synced = found.content.len();
        Ok(())
    }

    fn remove(&mut self, file: &str) -> Result<(), StorageError> {
        self.files
            .remove(file)
            .map(|_| ())
            .ok_or_else(|| Self::not_found(file))
    }
}
