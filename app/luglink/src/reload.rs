//! Notices that the settings have changed: by SIGHUP, or because the file is another one.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time between looks at the file.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the settings.
pub(crate) struct ReloadWatch {
    hang_up: Signal,
    file: Option<PathBuf>,
    modified: Option<SystemTime>,
}

impl ReloadWatch {
    /// Watches `file` from its present state on.
    pub(crate) fn new(file: Option<PathBuf>) -> std::io::Result<Self> {
        let mut watch = Self {
            hang_up: signal(SignalKind::hangup())?,
            file,
            modified: None,
        };
        watch.modified = watch.look();
        Ok(watch)
    }

    fn look(&self) -> Option<SystemTime> {
        let file = self.file.as_ref()?;
        std::fs::metadata(file)
            .and_then(|data| data.modified())
            .ok()
    }

    /// Waits until the settings may have changed.
    pub(crate) async fn wait(&mut self) {
        loop {
            let asked = tokio::select! {
                _ = self.hang_up.recv() => true,
                () = actix_rt::time::sleep(LOOK_INTERVAL) => false,
            };
            let modified = self.look();
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
