//! How long a request waits for what its gateway depends on, before its caller is sent away.
//!
//! Callers have few tries. One that is sent away while a gateway is about to serve spends one of
//! them and comes back much later than it would have been served.

use std::time::Duration;

/// Longest wait for a gateway that has just started: an election of the control members and the
/// news of it.
const LONGEST_START_PATIENCE: Duration = Duration::from_millis(1_500);

/// Share of its caller's time for which a request waits at the most. A caller that is sent away
/// with less left than that could hardly be served elsewhere.
const PATIENCE_SHARE: f64 = 0.45;

/// How long a request waits for a gateway that has just started and does not know its
/// configuration yet. `allowed` is the time that its caller gives it, when that is known.
#[must_use]
pub fn start_patience(allowed: Option<Duration>) -> Duration {
    allowed.map_or(LONGEST_START_PATIENCE, |allowed| {
        LONGEST_START_PATIENCE.min(allowed.mul_f64(PATIENCE_SHARE))
    })
}
