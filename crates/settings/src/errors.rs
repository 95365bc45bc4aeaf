//! Errors of loading settings.

use snafu::Snafu;
use std::fmt;

/// Missing, unknown or invalid setting, and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File and line, environment variable or flag that sets it.
    pub location: String,
    /// Key of the setting.
    pub key: String,
    /// Description of the problem.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {}: {}",
            self.location, self.key, self.problem
        )
    }
}

/// Error of loading settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read `{path}`: {source}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not valid TOML.
    #[snafu(display("cannot parse `{path}` as TOML: {source}"))]
    Syntax {
        /// Path of the file.
        path: String,
        /// Location and cause.
        source: toml_edit::TomlError,
    },
    /// Settings are missing, unknown or invalid.
    #[snafu(display("{}", join_lines(faults)))]
    Faults {
        /// All faults.
        faults: Vec<Fault>,
    },
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
