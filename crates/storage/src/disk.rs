//! What storage needs of a disk.

use crate::errors::StorageError;

/// A folder of files. Nothing is durable before [`Disk::sync`] returns, except what
/// [`Disk::replace`] writes.
pub trait Disk {
    /// Names of all files, sorted.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&self) -> Result<Vec<String>, StorageError>;

    /// The whole content of a file.
    ///
    /// # Errors
    /// The file is missing or cannot be read.
    fn read(&self, file: &str) -> Result<Vec<u8>, StorageError>;

    /// Appends to a file, which is created when it is missing.
    ///
    /// # Errors
    /// The disk is full, read-only or broken.
    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes a file's content and name durable.
    ///
    /// # Errors
    /// What is durable is not known afterwards.
    fn sync(&mut self, file: &str) -> Result<(), StorageError>;

    /// Writes a whole file so that after a crash either the old or the new content is there.
    ///
    /// # Errors
    /// The disk is full, read-only or broken.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Cuts a file to `length` bytes and makes that durable.
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
