//! Logs as JSON lines and metrics for Prometheus, by library.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod errors;
mod logs;
mod metrics;

pub use errors::TelemetryError;
pub use logs::{LogGuard, init_bounded_logs, init_logs};
pub use metrics::Metrics;
