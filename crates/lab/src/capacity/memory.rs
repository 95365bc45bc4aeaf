//! Resident memory, measured in fresh processes: in an old one, memory that was freed before is
//! used again and hides what is taken.

use crate::capacity::{commits, daemons};
use std::fmt;
use std::process::Command;
use std::str::FromStr;

/// Size of a page; Linux on every machine that luglink runs on.
const PAGE_BYTES: u64 = 4_096;

/// Something whose memory is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Three control members with this many programs of one turn, logs in memory.
    Programs,
    /// A daemon that holds this many programs of one turn, and a state machine beside it.
    HeldPrograms,
    /// A daemon whose configuration has a pool of this many replicas.
    Replicas,
}

impl fmt::Display for Probe {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Programs => "programs",
            Self::HeldPrograms => "held-programs",
            Self::Replicas => "replicas",
        })
    }
}

impl FromStr for Probe {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [Self::Programs, Self::HeldPrograms, Self::Replicas];
        all.into_iter()
            .find(|probe| probe.to_string() == text)
            .ok_or_else(|| format!("`{text}` is not programs, held-programs or replicas"))
    }
}

/// Resident memory of this process in bytes, or 0 where the system does not tell.
fn resident_bytes() -> u64 {
    let Ok(text) = std::fs::read_to_string("/proc/self/statm") else {
        return 0;
    };
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

/// Bytes that a probe of this size takes, measured in this process.
#[must_use]
pub fn probe(probe: Probe, size: u64) -> u64 {
    let before = resident_bytes();
    let after = match probe {
        Probe::Programs => commits::hold_programs(size, resident_bytes),
        Probe::HeldPrograms => daemons::hold_programs(size, resident_bytes),
        Probe::Replicas => daemons::hold_replicas(size, resident_bytes),
    };
    after.unwrap_or(before).saturating_sub(before)
}

/// The same in a fresh process of this program.
fn probe_in_fresh_process(probe: Probe, size: u64) -> Option<f64> {
    let program = std::env::current_exe().ok()?;
    let output = Command::new(program)
        .args(["capacity", "--probe", &probe.to_string()])
        .args(["--size", &size.to_string()])
        .output()
        .ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    text.trim().parse().ok()
}

/// A probe at several sizes.
pub(crate) fn probe_all(probe: Probe, sizes: &[u64]) -> Vec<(f64, f64)> {
    let point = |size: &u64| Some((*size as f64, probe_in_fresh_process(probe, *size)?));
    sizes.iter().filter_map(point).collect()
}
