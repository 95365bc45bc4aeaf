//! Logs.

use crate::errors::{AlreadySetSnafu, FilterSnafu, TelemetryError};
use snafu::ResultExt;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Starts to write logs as JSON lines to standard error. `filter` is a level or a list of
/// `target=level`, as in `info,luglink_daemon=debug`.
///
/// # Errors
/// The filter is malformed, or logs were set up before.
pub fn init_logs(filter: &str) -> Result<(), TelemetryError> {
    let filter = EnvFilter::try_new(filter).context(FilterSnafu { filter })?;
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(true)
        .with_span_list(true)
        .with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .context(AlreadySetSnafu)
}

/// Lines that may wait to be written. Beyond that lines are lost rather than work held up.
const BUFFERED_LINES: usize = 4_096;

/// Writes what still waits when it is dropped, at the end of the process.
#[derive(Debug)]
pub struct LogGuard(#[allow(dead_code, reason = "it works by being dropped")] WorkerGuard);

/// Starts to write logs as JSON lines to standard output, from a thread of their own that is
/// never waited for. `filter` is as for [`init_logs`].
///
/// # Errors
/// The filter is malformed, or logs were set up before.
pub fn init_non_blocking_logs(filter: &str) -> Result<LogGuard, TelemetryError> {
    let filter = EnvFilter::try_new(filter).context(FilterSnafu { filter })?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .context(AlreadySetSnafu)?;
    Ok(LogGuard(guard))
}
