//! The requests that a zone has under way now, from sums that are averages of the past.
//!
//! Answers the first seconds of a burst: the sums that gateways are told lag by the time over
//! which they are averaged, and in that time far too many programs would begin.

use crate::admission::ZoneRequests;
use luglink_types::Timestamp;
use std::time::Duration;

/// Time over which gateways average what they have under way.
const AVERAGED_OVER: Duration = Duration::from_secs(1);

/// Weight of a new slope: two or three sums, so that chance does not pass for a burst.
const SLOPE_WEIGHT: f64 = 0.4;

/// Time between two sums from which nothing is known of what was between them.
const GAP: Duration = Duration::from_secs(2);

/// Shortest time between two sums that tells a slope.
const SHORTEST_STEP: Duration = Duration::from_millis(50);

/// Follows the sums of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneTrend {
    requests: f64,
    /// Requests in a second by which the sum changes.
    slope: f64,
    told_at: Option<Timestamp>,
}

impl ZoneTrend {
    /// Takes a newer sum.
    pub fn take(&mut self, requests: f64, now: Timestamp) {
        let step = self.told_at.map(|told_at| now.since(told_at));
        match step {
            Some(step) if step < SHORTEST_STEP => {}
            Some(step) if step < GAP => {
                let slope = (requests - self.requests) / step.as_secs_f64();
                self.slope += SLOPE_WEIGHT * (slope - self.slope);
            }
            _ => self.slope = 0.0,
        }
        if step.is_none_or(|step| step >= SHORTEST_STEP) {
            self.requests = requests;
            self.told_at = Some(now);
        }
    }

    /// What is under way now. An average that changes by so much in a second is behind by that
    /// times the time that it is taken over.
    #[must_use]
    pub fn now(&self, now: Timestamp) -> Option<ZoneRequests> {
        let age = now.since(self.told_at?);
        let behind = (AVERAGED_OVER + age).min(GAP);
        let requests = self.requests + self.slope * behind.as_secs_f64();
        Some(ZoneRequests {
            requests: requests.max(0.0),
            age,
        })
    }
}
