//! Disk backed by a folder of the file system.

use crate::disk::Disk;
use crate::errors::{IoSnafu, StorageError};
use snafu::ResultExt;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

const TEMPORARY_SUFFIX: &str = ".tmp";

/// Data folder of a process.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    /// Open handles of the files that are appended to.
    open: HashMap<String, File>,
}

impl FileDisk {
    /// Opens the folder, creates it if it does not exist and checks that it is writable.
    ///
    /// # Errors
    /// The folder cannot be created, read or written.
    pub fn open(folder: impl Into<PathBuf>) -> Result<Self, StorageError> {
        let folder = folder.into();
        let folder_name = folder.display().to_string();
        create_folder(&folder).context(IoSnafu {
            action: "create the data folder",
            file: &folder_name,
        })?;
        let mut disk = Self {
            folder,
            open: HashMap::new(),
        };
        disk.remove_temporary_files()?;
        disk.replace("write-check", b"")?;
        disk.remove("write-check")?;
        Ok(disk)
    }

    fn path(&self, file: &str) -> PathBuf {
        self.folder.join(file)
    }

    /// Removes incomplete files that a crash during [`Disk::replace`] left behind.
    fn remove_temporary_files(&mut self) -> Result<(), StorageError> {
        for file in self.all_names()? {
            if file.ends_with(TEMPORARY_SUFFIX) {
                self.remove(&file)?;
            }
        }
        Ok(())
    }

    fn all_names(&self) -> Result<Vec<String>, StorageError> {
        let folder_error = || IoSnafu {
            action: "list",
            file: self.folder.display().to_string(),
        };
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.folder).with_context(|_| folder_error())? {
            let entry = entry.with_context(|_| folder_error())?;
            if let Ok(name) = entry.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn sync_folder(&self) -> Result<(), StorageError> {
        let sync = |folder: &Path| File::open(folder)?.sync_all();
        sync(&self.folder).context(IoSnafu {
            action: "sync",
            file: self.folder.display().to_string(),
        })
    }
}

impl Disk for FileDisk {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        let mut names = self.all_names()?;
        names.retain(|name| !name.ends_with(TEMPORARY_SUFFIX));
        Ok(names)
    }

    fn read(&self, file: &str) -> Result<Vec<u8>, StorageError> {
        std::fs::read(self.path(file)).context(IoSnafu {
            action: "read",
            file,
        })
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        if !self.open.contains_key(file) {
            let created = !self.path(file).exists();
            let handle = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path(file))
                .context(IoSnafu {
                    action: "open",
                    file,
                })?;
            self.open.insert(file.to_owned(), handle);
            if created {
                self.sync_folder()?;
            }
        }
        let Some(handle) = self.open.get_mut(file) else {
            return Ok(());
        };
        handle.write_all(bytes).context(IoSnafu {
            action: "append to",
            file,
        })
    }

    fn sync(&mut self, file: &str) -> Result<(), StorageError> {
        let Some(handle) = self.open.get(file) else {
            return Ok(());
        };
        handle.sync_data().context(IoSnafu {
            action: "sync",
            file,
        })
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.open.remove(file);
        let temporary = self.path(&format!("{file}{TEMPORARY_SUFFIX}"));
        let write = || -> std::io::Result<()> {
            let mut handle = File::create(&temporary)?;
            handle.write_all(bytes)?;
            handle.sync_all()?;
            std::fs::rename(&temporary, self.path(file))
        };
        write().context(IoSnafu {
            action: "write",
            file,
        })?;
        self.sync_folder()
    }

    fn truncate(&mut self, file: &str, length: u64) -> Result<(), StorageError> {
        self.open.remove(file);
        let truncate = || -> std::io::Result<()> {
            let handle = OpenOptions::new().write(true).open(self.path(file))?;
            handle.set_len(length)?;
            handle.sync_all()
        };
        truncate().context(IoSnafu {
            action: "truncate",
            file,
        })
    }

    fn remove(&mut self, file: &str) -> Result<(), StorageError> {
        self.open.remove(file);
        std::fs::remove_file(self.path(file)).context(IoSnafu {
            action: "remove",
            file,
        })?;
        self.sync_folder()
    }
}

/// Creates a folder and its parents durably: if a folder is lost in a power failure, the files
/// synced into it are lost too. The parent is synced even if the folder already exists, because the
/// process that created it may have been killed before the sync.
fn create_folder(folder: &Path) -> std::io::Result<()> {
    let parent = folder
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty());
    let parent = parent.unwrap_or(Path::new("."));
    if !parent.is_dir() {
        create_folder(parent)?;
    }
    if !folder.is_dir() {
        std::fs::create_dir(folder)?;
    }
    File::open(parent)?.sync_all()
}
