//! Outcome of an attempt to send a request, and whether the request may be retried.

use crate::configuration::Route;

/// Outcome of an attempt at one replica that gave no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The request did not reach the replica.
    NotSent,
    /// The replica reported that it did not run the request.
    Declined,
    /// The replica may have run the request.
    Uncertain,
}

/// Decision to retry a request at another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retryable {
    /// The request may be retried.
    Yes,
    /// The request must not be retried, and has not run.
    NoNotRun,
    /// The request must not be retried, and may have run.
    NoMayHaveRun,
}

impl SendOutcome {
    /// Returns true if the request may have run at the replica.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        self == Self::Uncertain
    }

    /// Decides whether a request of `route` may be retried after this outcome. `runs` is the number
    /// of replicas that may have run it, including this one. Only these count against the route's
    /// limit, because a replica that declined the request did not run it.
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
