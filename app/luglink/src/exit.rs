//! Exit codes.

use std::process::ExitCode;

/// How the process ends. The codes are part of the interface; `--help` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done.
    Success,
    /// The settings, files or arguments cannot be used.
    Unusable,
    /// The operation was refused, for example as stale or invalid.
    Refused,
    /// No member answered, or the process could not go on.
    Unavailable,
    /// A planned stop ran out of time with requests in flight.
    DrainTimeout,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        let code = match exit {
            Exit::Success => 0,
            Exit::Unusable => 2,
            Exit::Refused => 3,
            Exit::Unavailable => 4,
            Exit::DrainTimeout => 5,
        };
        ExitCode::from(code)
    }
}

/// A failure: what to tell, and how to end.
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
