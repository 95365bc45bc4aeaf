//! Estimate of the requests that a zone has in flight now, from averages of the past.
//!
//! The sums that gateways receive lag by the time over which they are averaged. In the first
//! seconds of a burst, far too many programs would start in that time.

use crate::admission::ZoneRequests;
use luglink_types::Timestamp;
use std::time::Duration;

/// Time constant with which gateways average their requests in flight.
const AVERAGED_OVER: Duration = Duration::from_secs(1);

/// Weight of a new slope. The average covers two or three sums, so that random variation does not
/// count as a burst.
const SLOPE_WEIGHT: f64 = 0.4;

/// Time between two sums from which nothing is known of the time between them.
const GAP: Duration = Duration::from_secs(2);

/// Minimum time between two sums for a slope.
const SHORTEST_STEP: Duration = Duration::from_millis(50);

/// Trend of the sums of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneTrend {
    requests: f64,
    /// Change of the sum, in requests per second.
    slope: f64,
    told_at: Option<Timestamp>,
}

impl ZoneTrend {
    /// Records a newer sum.
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

    /// Returns the estimated requests in flight now. An average that changes at a constant rate
    /// lags by that rate times its time constant.
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
