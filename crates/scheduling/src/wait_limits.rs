//! Limits on how long a request waits for its gateway or for free capacity.
//!
//! Callers have few attempts. A caller that is refused shortly before a gateway could serve it
//! loses one of them and returns much later than it would have been served.

use std::time::Duration;

/// Maximum wait for a gateway that has just started: an election among the control members and the
/// announcement of its result.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(1_500);

/// Maximum wait relative to the caller's time limit. A caller that is refused with less time left
/// could hardly be served elsewhere.
const MAX_WAIT_RATIO: f64 = 0.45;

/// Returns the maximum wait for a gateway that has just started and has no configuration yet.
/// `allowed` is the caller's time limit, if known.
#[must_use]
pub fn max_startup_wait(allowed: Option<Duration>) -> Duration {
    allowed.map_or(MAX_STARTUP_WAIT, |allowed| {
        MAX_STARTUP_WAIT.min(allowed.mul_f64(MAX_WAIT_RATIO))
    })
}

/// First retry delay of a request for which no replica has capacity.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum retry delay. Capacity becomes free when any request ends, within tens of milliseconds if
/// requests are short.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(80);

/// Returns the maximum total wait for capacity, counted from the arrival of the request.
#[must_use]
pub fn max_capacity_wait(allowed: Duration) -> Duration {
    allowed.mul_f64(MAX_WAIT_RATIO)
}

/// Returns the delay before the replicas are tried again, after `retries` earlier delays.
#[must_use]
pub fn capacity_retry_delay(retries: u32) -> Duration {
    let doubled = MIN_RETRY_DELAY.saturating_mul(2_u32.saturating_pow(retries.min(16)));
    doubled.min(MAX_RETRY_DELAY)
}
