//! Errors of logs and metrics.

use snafu::Snafu;

/// Error of logs or metrics.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TelemetryError {
    /// The log filter is malformed.
    #[snafu(display("invalid log filter `{filter}`: {source}"))]
    Filter {
        /// Rejected filter.
        filter: String,
        /// Cause.
        source: tracing_subscriber::filter::ParseError,
    },
    /// Logging is already initialized.
    #[snafu(display("logging is already initialized: {source}"))]
    AlreadySet {
        /// Error of the library.
        source: tracing_subscriber::util::TryInitError,
    },
    /// A metric cannot be registered or encoded.
    #[snafu(display("cannot register or encode a metric: {source}"))]
    Metric {
        /// Error of the library.
        source: prometheus::Error,
    },
}
