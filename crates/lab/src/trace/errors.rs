//! Errors of traces.

use snafu::Snafu;

/// A trace or expectation file that cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TraceError {
    /// The file cannot be read.
    #[snafu(display("cannot read `{file}`: {source}"))]
    Unreadable {
        /// The file.
        file: String,
        /// Why not.
        source: std::io::Error,
    },
    /// A line is malformed.
    #[snafu(display("{file}:{line}: field `{field}`: {problem}"))]
    Malformed {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The field.
        field: String,
        /// What is wrong.
        problem: String,
    },
}
