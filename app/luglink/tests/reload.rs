//! Tests of reloading the settings of a running gateway.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Timeout of every wait, far above the usual duration.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Gateway process with a folder for its settings and logs.
struct RunningGateway {
    child: Child,
    folder: TempDir,
}

impl RunningGateway {
    fn start(seed: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        write_settings(folder.path(), seed);
        let log = File::create(folder.path().join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_luglink"))
            .arg("gateway")
            .arg("--config")
            .arg(settings_path(folder.path()))
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let gateway = Self { child, folder };
        gateway.wait_for("gateway started", 1);
        gateway
    }

    /// Waits until at least `count` lines of the log contain `text`.
    fn wait_for(&self, text: &str, count: usize) {
        let started = Instant::now();
        loop {
            let log = std::fs::read_to_string(self.folder.path().join("log")).unwrap();
            if log.lines().filter(|line| line.contains(text)).count() >= count {
                return;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "no `{text}` in:\n{log}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for RunningGateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings_path(folder: &Path) -> PathBuf {
    folder.join("settings.toml")
}

/// Writes settings that name `seed` as the only control member. No process listens there.
fn write_settings(folder: &Path, seed: &str) {
    let text = format!(
        "[fleet]\nname = \"g\"\nzone = \"z\"\nip = \"127.0.0.1\"\nports = [7100, 7115]\n\
         seeds = [\"{seed}\"]\nlist_address = \"127.0.0.1:1\"\nstop_s = 1.6\n\
         [gateway]\nlisten = \"127.0.0.1:0\"\nready_listen = \"127.0.0.1:0\"\n"
    );
    std::fs::write(settings_path(folder), text).unwrap();
}

#[test]
fn a_changed_file_is_reloaded_without_a_signal_and_its_members_are_used() {
    let gateway = RunningGateway::start("127.0.0.2:1");
    write_settings(gateway.folder.path(), "127.0.0.3:1");
    gateway.wait_for("settings reloaded", 1);
    gateway.wait_for("127.0.0.3:7100", 1);
}

#[test]
fn sighup_reloads_the_settings_and_the_process_keeps_running() {
    let mut gateway = RunningGateway::start("127.0.0.2:1");
    gateway.signal(Signal::HUP);
    gateway.wait_for("settings reloaded", 1);
    gateway.signal(Signal::HUP);
    gateway.wait_for("settings reloaded", 2);
    assert!(
        gateway.child.try_wait().unwrap().is_none(),
        "the gateway has exited"
    );
}

#[test]
fn faulty_settings_are_ignored_and_a_planned_stop_still_succeeds() {
    let mut gateway = RunningGateway::start("127.0.0.2:1");
    std::fs::write(settings_path(gateway.folder.path()), "[fleet\n").unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_for("cannot reload settings", 1);
    gateway.signal(Signal::TERM);
    let status = gateway.child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
}
