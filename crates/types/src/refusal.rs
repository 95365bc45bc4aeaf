//! Refusals: the closed list of reasons for which luglink does not answer a request.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// A promise: nothing ran and nothing will.
    No,
    /// The request may have run.
    Unknown,
}

macro_rules! refusal_codes {
    ($($(#[$doc:meta])* $name:ident => $code:literal, $status:literal;)*) => {
        /// Why a request was refused. Codes are stable: clients may depend on them.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalCode {
            $($(#[$doc])* $name,)*
        }

        impl RefusalCode {
            /// Every code.
            pub const ALL: &'static [RefusalCode] = &[$(Self::$name,)*];

            /// The stable text of the code.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// The HTTP status that goes with the code.
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
    /// No such program, or it is past its retention.
    UnknownProgram => "unknown_program", 404;
    /// No such model, adapter, tenant, class or service in the configuration.
    UnknownResource => "unknown_resource", 404;
    /// The program has ended, been abandoned, or reached its lease.
    ProgramEnded => "program_ended", 410;
    /// The call's sequence is not the program's next.
    OutOfOrder => "out_of_order", 409;
    /// The same request is still running.
    CallInProgress => "call_in_progress", 409;
    /// The idempotency key was used for a different request.
    KeyReused => "key_reused", 422;
    /// The program's budget, its parent's, or its class's has no room.
    BudgetExhausted => "budget_exhausted", 402;
    /// The program's deadline has passed or cannot be met.
    DeadlineExceeded => "deadline_exceeded", 504;
    /// Queues are full, or the tenant is over its share.
    Overloaded => "overloaded", 429;
    /// Another daemon has taken the program over.
    StaleOwner => "stale_owner", 409;
    /// No engine can serve the model now.
    NoEngine => "no_engine", 503;
    /// The engine failed and the retry budget is spent, or a retry is not safe.
    EngineFailed => "engine_failed", 502;
    /// The control members cannot be reached or have no quorum.
    ControlUnavailable => "control_unavailable", 503;
    /// The daemon is stopping.
    Draining => "draining", 503;
    /// Nobody can tell whether the request ran, and it must not run twice.
    OutcomeUnknown => "outcome_unknown", 502;
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// One refusal, as callers get it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub executed: Executed,
    /// For people: names the field, limit or state that led to the refusal.
    pub detail: String,
    /// When trying again may help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that promises nothing ran.
    #[must_use]
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            executed: Executed::No,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub fn uncertain(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            executed: Executed::Unknown,
            ..Self::not_run(code, detail)
        }
    }

    /// The same refusal with a hint when to try again.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
