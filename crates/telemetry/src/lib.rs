//! Logs as JSON lines, and metrics in Prometheus' format.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod errors;
mod logs;
mod metrics;

pub use errors::TelemetryError;
pub use logs::{LogGuard, init_logs, init_non_blocking_logs};
pub use metrics::Metrics;

/// Returns a duration in whole milliseconds, rounded down, for log fields and headers. A JSON log line
/// would contain a field of 128 bits as a string.
#[must_use]
pub fn milliseconds(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
