//! Initialization of logging.

use crate::errors::{AlreadySetSnafu, FilterSnafu, TelemetryError};
use snafu::ResultExt;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Initializes logging as JSON lines to standard error. `filter` is a level or a list of
/// `target=level`, as in `info,luglink_daemon=debug`.
///
/// # Errors
/// Returns an error if the filter is malformed or logging is already initialized.
pub fn init_logs(filter: &str) -> Result<(), TelemetryError> {
    let filter = EnvFilter::try_new(filter).context(FilterSnafu { filter })?;
    let json_layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(true)
        .with_span_list(true)
        .with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(filter)
        .with(json_layer)
        .try_init()
        .context(AlreadySetSnafu)
}

/// Maximum number of lines that wait to be written. Further lines are dropped, so that logging does
/// not block.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Guard that writes the buffered lines when it is dropped, at the end of the process.
#[derive(Debug)]
pub struct LogGuard(
    #[allow(dead_code, reason = "dropping it writes the buffered lines")] WorkerGuard,
);

/// Initializes logging as JSON lines to standard output. A separate thread writes the lines, and
/// callers do not wait for it. `filter` is as for [`init_logs`].
///
/// # Errors
/// Returns an error if the filter is malformed or logging is already initialized.
pub fn init_non_blocking_logs(filter: &str) -> Result<LogGuard, TelemetryError> {
    let filter = EnvFilter::try_new(filter).context(FilterSnafu { filter })?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let json_layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(filter)
        .with(json_layer)
        .try_init()
        .context(AlreadySetSnafu)?;
    Ok(LogGuard(guard))
}
