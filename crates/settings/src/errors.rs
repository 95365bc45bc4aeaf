//! Errors of this crate.

use snafu::Snafu;
use std::fmt;

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File and line, environment variable or flag.
    pub place: String,
    /// The key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.place, self.key, self.problem)
    }
}

/// Settings that cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read `{path}`: {source}"))]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: std::io::Error,
    },
    /// The file is not TOML.
    #[snafu(display("`{path}` is not TOML: {source}"))]
    Syntax {
        /// The file.
        path: String,
        /// Where and why.
        source: toml_edit::TomlError,
    },
    /// Values are missing, unknown or wrong.
    #[snafu(display("{}", lines(faults)))]
    Faults {
        /// All of them.
        faults: Vec<Fault>,
    },
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
