//! Errors of this crate.

use snafu::Snafu;

/// A body cannot be understood.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DialectError {
    /// It is not the expected format.
    #[snafu(display("malformed {what}: {source}"))]
    Malformed {
        /// What it should be.
        what: &'static str,
        /// Where it goes wrong.
        source: serde_json::Error,
    },
    /// A value in it cannot be used.
    #[snafu(display("{field}: {reason}"))]
    Value {
        /// Where it stands.
        field: String,
        /// Why not.
        reason: String,
    },
}
