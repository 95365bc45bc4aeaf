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
pub fn max_startup_wait(allowed: Option<Duration>) -> Duration {
    allowed.map_or(LONGEST_START_PATIENCE, |allowed| {
        LONGEST_START_PATIENCE.min(allowed.mul_f64(PATIENCE_SHARE))
    })
}

/// First pause of a request for which no replica has room.
const FIRST_ROOM_PAUSE: Duration = Duration::from_millis(20);

/// Longest such pause. Room comes when any request ends, which is a matter of tens of
/// milliseconds where requests are short.
const LONGEST_ROOM_PAUSE: Duration = Duration::from_millis(80);

/// How long a request waits for room at the replicas, in all, counted from its arrival.
#[must_use]
pub fn max_capacity_wait(allowed: Duration) -> Duration {
    allowed.mul_f64(PATIENCE_SHARE)
}

/// The pause before the replicas are tried again, after `pauses` of them.
#[must_use]
pub fn capacity_retry_delay(pauses: u32) -> Duration {
    let doubled = FIRST_ROOM_PAUSE.saturating_mul(2_u32.saturating_pow(pauses.min(16)));
    doubled.min(LONGEST_ROOM_PAUSE)
}
