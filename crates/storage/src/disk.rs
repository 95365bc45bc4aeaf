//! Interface between the write-ahead log and a disk.

use crate::errors::StorageError;

/// Folder of files. Appended data is durable once [`Disk::sync`] has returned; all other changes
/// are durable when the method returns.
pub trait Disk {
    /// Returns the names of all files, sorted.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&self) -> Result<Vec<String>, StorageError>;

    /// Returns the whole content of a file.
    ///
    /// # Errors
    /// The file is missing or cannot be read.
    fn read(&self, file: &str) -> Result<Vec<u8>, StorageError>;

    /// Appends to a file and creates it if it does not exist.
    ///
    /// # Errors
    /// The disk is full, read-only or broken.
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes a file's content and name durable.
    ///
    /// # Errors
    /// The sync failed. It is then unknown which data is durable.
    fn sync(&mut self, file: &str) -> Result<(), StorageError>;

    /// Replaces a file atomically: after a crash it has either the old or the new content.
    ///
    /// # Errors
    /// The disk is full, read-only or broken.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Truncates a file to `length` bytes durably.
    ///
    /// # Errors
    /// The disk is read-only or broken.
    fn truncate(&mut self, file: &str, length: u64) -> Result<(), StorageError>;

    /// Removes a file.
    ///
    /// # Errors
    /// The disk is read-only or broken.
    fn remove(&mut self, file: &str) -> Result<(), StorageError>;
}
