//! Errors of this crate.

use snafu::Snafu;

/// Failure to parse a body.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DialectError {
    /// The body has another format.
    #[snafu(display("malformed {what}: {source}"))]
    Malformed {
        /// Expected content.
        what: &'static str,
        /// Cause.
        source: serde_json::Error,
    },
    /// A value is invalid.
    #[snafu(display("{field}: {reason}"))]
    Value {
        /// Path of the field.
        field: String,
        /// Cause.
        reason: String,
    },
}
