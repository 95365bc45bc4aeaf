//! Errors of this crate.

use snafu::Snafu;

/// A message of the API that means nothing.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
#[snafu(display("{field}: {rule}"))]
pub struct ApiError {
    /// The field.
    pub field: &'static str,
    /// The rule it breaks.
    pub rule: &'static str,
}

/// A resource file that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[snafu(display("{source}"))]
pub struct ResourceFileError {
    /// Where and why.
    pub source: toml_edit::de::Error,
}
