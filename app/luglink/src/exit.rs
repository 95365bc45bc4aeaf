//! Exit codes and errors that end the process.

use std::process::ExitCode;

/// Outcome of the process. The exit codes are part of the interface and listed in `--help`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The operation completed.
    Success,
    /// The settings, files or arguments are invalid.
    InvalidInput,
    /// The operation was rejected, for example as stale or invalid.
    Refused,
    /// No control member answered, or the process cannot continue.
    Unavailable,
    /// A planned stop timed out with requests in flight.
    DrainTimeout,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        let code = match exit {
            Exit::Success => 0,
            Exit::InvalidInput => 2,
            Exit::Refused => 3,
            Exit::Unavailable => 4,
            Exit::DrainTimeout => 5,
        };
        ExitCode::from(code)
    }
}

/// Error that ends the process, with its message and outcome.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) message: String,
    pub(crate) exit: Exit,
}

impl Failure {
    pub(crate) fn new(exit: Exit, message: impl ToString) -> Self {
        Self {
            message: message.to_string(),
            exit,
        }
    }
}

impl From<Failure> for Exit {
    fn from(failure: Failure) -> Self {
        eprintln!("luglink: {}", failure.message);
        failure.exit
    }
}
