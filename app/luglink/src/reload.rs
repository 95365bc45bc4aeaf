//! Detects changed settings by SIGHUP or by the modification time of the settings file.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval between checks of the file's modification time.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the modification time of a file; `None` if there is no file or it cannot be read.
pub(crate) fn modified_at(file: Option<&PathBuf>) -> Option<SystemTime> {
    let metadata = std::fs::metadata(file?).ok()?;
    metadata.modified().ok()
}

/// Watches the settings of a process.
pub(crate) struct SettingsWatcher {
    hangup: Signal,
    file: Option<PathBuf>,
    modified: Option<SystemTime>,
}

impl SettingsWatcher {
    /// Watches `file`, whose modification time was `modified` before the settings were read. A change
    /// between reading and this call is detected by the first check.
    pub(crate) fn new(
        file: Option<PathBuf>,
        modified: Option<SystemTime>,
    ) -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            file,
            modified,
        })
    }

    /// Waits until the settings may have changed.
    pub(crate) async fn wait(&mut self) {
        loop {
            let is_signaled = tokio::select! {
                _ = self.hangup.recv() => true,
                () = actix_rt::time::sleep(POLL_INTERVAL) => false,
            };
            let modified = modified_at(self.file.as_ref());
            let is_modified = modified.is_some() && modified != self.modified;
            if is_modified {
                self.modified = modified;
            }
            if is_signaled || is_modified {
                return;
            }
        }
    }
}
