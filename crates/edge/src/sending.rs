//! What an attempt to send a request came to, and whether it may be sent again.

use crate::configuration::Route;

/// How one send to one replica ended, when no answer can be given on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// Nothing reached the replica.
    NotSent,
    /// The replica said that it did not run the request.
    Declined,
    /// The replica may have run the request.
    Uncertain,
}

/// Whether a request may be sent to another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retryable {
    /// It may.
    Yes,
    /// It may not, and it has not run.
    NoNotRun,
    /// It may not, and it may have run.
    NoMayHaveRun,
}

impl SendOutcome {
    /// Whether the request may have run at the replica.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        self == Self::Uncertain
    }

    /// Whether a request of `route` may be sent again after this outcome. `runs` counts the
    /// replicas that may have run it, this one included; only those count against the route's
    /// limit, because a replica that declined has not been given the request.
    #[must_use]
    pub fn retryable(self, route: &Route, runs: u32) -> Retryable {
        if runs == 0 {
            return Retryable::Yes;
        }
        if route.is_repeatable() && runs < route.max_attempts.max(1) {
            return Retryable::Yes;
        }
        Retryable::NoMayHaveRun
    }
}
