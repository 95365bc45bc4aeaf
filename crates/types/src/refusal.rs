//! Refusals: the closed set of reasons for which luglink does not serve a request.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Execution state of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// The request has not run and will not run.
    No,
    /// The request may have run.
    Unknown,
}

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident => $code:literal, $status:literal;)*) => {
        /// Reason for a refusal. The codes are stable, because clients may depend on them.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalCode {
            $($(#[$doc])* $name,)*
        }

        impl RefusalCode {
            /// All codes.
            pub const ALL: &'static [RefusalCode] = &[$(Self::$name,)*];

            /// Returns the stable name of the code.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the HTTP status of the code.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

refusal_codes! {
    /// The request is malformed; the detail names the field.
    InvalidRequest => "invalid_request", 400;
    /// The program does not exist, or its retention period is over.
    UnknownProgram => "unknown_program", 404;
    /// The configuration has no such model, adapter, tenant, class or service.
    UnknownResource => "unknown_resource", 404;
    /// The program has ended, was abandoned, or its lease has expired.
    ProgramEnded => "program_ended", 410;
    /// The sequence number of the call is not the program's next one.
    OutOfOrder => "out_of_order", 409;
    /// The same request is still running.
    CallInProgress => "call_in_progress", 409;
    /// The idempotency key was used for a different request.
    KeyReused => "key_reused", 422;
    /// The call exceeds the budget of the program, its parent or its class.
    BudgetExhausted => "budget_exhausted", 402;
    /// The program's deadline has passed or cannot be met.
    DeadlineExceeded => "deadline_exceeded", 504;
    /// The queues are full, or the tenant exceeds its share.
    Overloaded => "overloaded", 429;
    /// Another daemon has taken over the program.
    StaleOwner => "stale_owner", 409;
    /// No engine can currently serve the model.
    NoEngine => "no_engine", 503;
    /// The engine failed, and the retry budget is exhausted or a retry is not safe.
    EngineFailed => "engine_failed", 502;
    /// The control members are unreachable or have no quorum.
    ControlUnavailable => "control_unavailable", 503;
    /// The daemon is shutting down.
    Draining => "draining", 503;
    /// It is unknown whether the request ran, and it must not run twice.
    OutcomeUnknown => "outcome_unknown", 502;
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Refusal of a request, as the caller receives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason.
    pub code: RefusalCode,
    /// Execution state of the request.
    pub executed: Executed,
    /// Explanation for people: the field, limit or state that caused the refusal.
    pub detail: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run and will not run.
    #[must_use]
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            executed: Executed::No,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub fn uncertain(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            executed: Executed::Unknown,
            ..Self::not_run(code, detail)
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
