//! Notices that the settings have changed: by SIGHUP, or because the file is another one.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time between looks at the file.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// When a file was written last; `None` when that cannot be told.
pub(crate) fn last_written(file: Option<&PathBuf>) -> Option<SystemTime> {
    let data = std::fs::metadata(file?).ok()?;
    data.modified().ok()
}

/// Watches the settings.
pub(crate) struct ReloadWatch {
    hang_up: Signal,
    file: Option<PathBuf>,
    modified: Option<SystemTime>,
}

impl ReloadWatch {
    /// Watches `file`, which had been written last at `modified` when it was read. It may have
    /// changed since; that must not go unnoticed.
    pub(crate) fn new(
        file: Option<PathBuf>,
        modified: Option<SystemTime>,
    ) -> std::io::Result<Self> {
        Ok(Self {
            hang_up: signal(SignalKind::hangup())?,
            file,
            modified,
        })
    }

    /// Waits until the settings may have changed.
    pub(crate) async fn wait(&mut self) {
        loop {
            let asked = tokio::select! {
                _ = self.hang_up.recv() => true,
                () = actix_rt::time::sleep(LOOK_INTERVAL) => false,
            };
            let modified = last_written(self.file.as_ref());
            let is_other = modified.is_some() && modified != self.modified;
            if is_other {
                self.modified = modified;
            }
            if asked || is_other {
                return;
            }
        }
    }
}
