//! A peak value with exponential decay.

use luglink_types::Timestamp;
use std::time::Duration;

/// A size that rises with the demand immediately and decays towards it with a half-life. A short
/// drop in demand, as between two bursts of requests, must not discard resources that are warm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingPeak {
    size: f64,
    updated_at: Timestamp,
}

impl DecayingPeak {
    /// Updates the size with the current demand. `half_life` is the time in which half of the
    /// surplus decays.
    pub fn follow(&mut self, demand: f64, half_life: Duration, now: Timestamp) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64();
        let surplus = (self.size - demand).max(0.0);
        self.size = demand + surplus * 0.5_f64.powf(half_lives);
        self.updated_at = self.updated_at.max(now);
    }

    /// Raises the size to at least `size`.
    pub fn grow_to(&mut self, size: f64) {
        self.size = self.size.max(size);
    }

    /// Returns the current size.
    #[must_use]
    pub fn size(&self) -> f64 {
        self.size
    }
}
