//! How long requests take, to tell whether one can end before its gateway stops.

use luglink_fleet::DecayingPeak;
use luglink_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of routes whose times are kept.
const MAX_ROUTES: usize = 1 << 12;

/// Time in which half of the difference to shorter times is forgotten.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Ratio of the time that is allowed for to the longest one that was observed.
const MARGIN_RATIO: f64 = 1.25;

/// Longest recent times of whole requests, by route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    peaks: HashMap<String, DecayingPeak>,
}

impl RunTimes {
    /// Records the time that a request took from its arrival to the end of its response.
    pub fn note(&mut self, route: &str, time: Duration, now: Timestamp) {
        if let Some(peak) = self.peaks.get_mut(route) {
            peak.follow(time.as_secs_f64(), HALF_LIFE, now);
        } else if self.peaks.len() < MAX_ROUTES {
            let mut peak = DecayingPeak::default();
            peak.follow(time.as_secs_f64(), HALF_LIFE, now);
            self.peaks.insert(route.to_owned(), peak);
        }
    }

    /// Returns the time that a request of a route is expected to take at most; `None` if none has ended.
    #[must_use]
    pub fn longest(&self, route: &str) -> Option<Duration> {
        let peak = self.peaks.get(route)?;
        Some(Duration::from_secs_f64(peak.size() * MARGIN_RATIO))
    }
}

/// Returns true if a request can end within `left`. It ends by its deadline, which is `allowed` away, and
/// is expected to take `longest` at most.
#[must_use]
pub fn can_end(left: Duration, allowed: Duration, longest: Option<Duration>) -> bool {
    longest.unwrap_or(allowed).min(allowed) <= left
}
