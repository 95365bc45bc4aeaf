//! What callers do with the answers they get; the same on sockets and in the simulator.

use crate::observe::Outcome;
use luglink_types::{Executed, Refusal, RefusalCode};
use std::time::Duration;

/// Times that a caller sends one request at the most.
pub(crate) const MAX_SENDS: usize = 8;

/// Pause before a request is sent again after a broken connection.
pub(crate) const RESEND_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait that a caller accepts when it is told when to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// A refusal as a caller reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadRefusal {
    pub(crate) code: Option<RefusalCode>,
    pub(crate) executed: Executed,
    pub(crate) retry_after: Option<Duration>,
}

impl From<&Refusal> for ReadRefusal {
    fn from(refusal: &Refusal) -> Self {
        Self {
            code: Some(refusal.code),
            executed: refusal.executed,
            retry_after: refusal.retry_after,
        }
    }
}

impl ReadRefusal {
    /// Whether asking again, here or elsewhere, may help. The key that goes with a call makes
    /// that safe even when the first sending may have run.
    pub(crate) fn is_worth_asking_again(&self, repeatable: bool) -> bool {
        match self.code {
            Some(RefusalCode::CallInProgress) => true,
            Some(RefusalCode::OutcomeUnknown) => repeatable,
            Some(
                RefusalCode::Draining
                | RefusalCode::ControlUnavailable
                | RefusalCode::StaleOwner
                | RefusalCode::NoEngine
                | RefusalCode::EngineFailed
                | RefusalCode::Overloaded,
            ) => self.executed == Executed::No || repeatable,
            _ => false,
        }
    }

    /// How long to wait before asking again.
    pub(crate) fn wait(&self) -> Duration {
        self.retry_after
            .unwrap_or(RESEND_PAUSE)
            .min(MAX_RETRY_AFTER)
    }

    /// The outcome for the caller. A promise that nothing ran speaks for the sending that it
    /// answers; it cannot undo the doubt that an earlier sending without an answer has left.
    pub(crate) fn outcome(&self, earlier_doubt: bool) -> Outcome {
        match self.code {
            Some(code) if self.executed == Executed::No && !earlier_doubt => {
                Outcome::Refused { code }
            }
            code => Outcome::Unknown { code },
        }
    }
}
