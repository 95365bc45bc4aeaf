//! Errors of converting messages and reading resource files.

use snafu::Snafu;

/// Invalid message of the API.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
#[snafu(display("{field}: {rule}"))]
pub struct ApiError {
    /// Invalid field.
    pub field: &'static str,
    /// Rule that the field violates.
    pub rule: &'static str,
}

/// Error of parsing a resource file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[snafu(display("{source}"))]
pub struct ResourceFileError {
    /// Location and cause.
    pub source: toml_edit::de::Error,
}
