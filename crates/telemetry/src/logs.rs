//! Logs.

use crate::errors::{AlreadySetSnafu, FilterSnafu, TelemetryError};
use snafu::ResultExt;
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
