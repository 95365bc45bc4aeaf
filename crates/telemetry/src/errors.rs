//! Errors of this crate.

use snafu::Snafu;

/// Logs or metrics cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TelemetryError {
    /// The log filter is malformed.
    #[snafu(display("log filter `{filter}`: {source}"))]
    Filter {
        /// What was given.
        filter: String,
        /// Why it is refused.
        source: tracing_subscriber::filter::ParseError,
    },
    /// Logs were set up before.
    #[snafu(display("logs are already set up: {source}"))]
    AlreadySet {
        /// The library's error.
        source: tracing_subscriber::util::TryInitError,
    },
    /// A metric cannot be registered or written.
    #[snafu(display("metric: {source}"))]
    Metric {
        /// The library's error.
        source: prometheus::Error,
    },
}
