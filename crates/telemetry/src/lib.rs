//! Logs as JSON lines and metrics for Prometheus, by library.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod errors;
mod logs;
mod metrics;

pub use errors::TelemetryError;
pub use logs::{LogGuard, init_logs, init_non_blocking_logs};
pub use metrics::Metrics;

/// A duration as log lines and headers give it: a whole number of milliseconds, rounded down. A
/// field of 128 bits would stand in a JSON line as text.
#[must_use]
pub fn milliseconds(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
