//! Estimate of the requests that a zone has in flight now, from averages of the past.
//!
//! The sums that gateways receive lag by the time over which they are averaged. In the first
//! seconds of a burst, far too many programs would start in that time.

use crate::admission::ZoneRequests;
use luglink_types::Timestamp;
use std::time::Duration;

/// Time constant with which gateways average their requests in flight.
const AVERAGING_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Weight of a new slope. The average covers two or three sums, so that random variation does not
/// count as a burst.
const SLOPE_WEIGHT: f64 = 0.4;

/// Time between two sums from which they give no trend, and maximum lag that is extrapolated.
const MAX_GAP: Duration = Duration::from_secs(2);

/// Minimum time between two sums for a slope.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Trend of the sums of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneTrend {
    requests: f64,
    /// Change of the sum, in requests per second.
    slope: f64,
    received_at: Option<Timestamp>,
}

impl ZoneTrend {
    /// Records a newer sum.
    pub fn take(&mut self, requests: f64, now: Timestamp) {
        let interval = self.received_at.map(|received_at| now.since(received_at));
        match interval {
            Some(interval) if interval < MIN_INTERVAL => {}
            Some(interval) if interval < MAX_GAP => {
                let slope = (requests - self.requests) / interval.as_secs_f64();
                self.slope += SLOPE_WEIGHT * (slope - self.slope);
            }
            _ => self.slope = 0.0,
        }
        if interval.is_none_or(|interval| interval >= MIN_INTERVAL) {
            self.requests = requests;
            self.received_at = Some(now);
        }
    }

    /// Returns the estimated requests in flight now. An average that changes at a constant rate
    /// lags by that rate times its time constant.
    #[must_use]
    pub fn now(&self, now: Timestamp) -> Option<ZoneRequests> {
        let age = now.since(self.received_at?);
        let lag = (AVERAGING_TIME_CONSTANT + age).min(MAX_GAP);
        let requests = self.requests + self.slope * lag.as_secs_f64();
        Some(ZoneRequests {
            requests: requests.max(0.0),
            age,
        })
    }
}
