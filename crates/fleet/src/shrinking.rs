//! A size that follows a need upwards at once and downwards slowly.

use luglink_types::Timestamp;
use std::time::Duration;

/// A size that follows a need. A need that falls for a moment, as between two waves of requests,
/// must not make what was just warmed up cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingPeak {
    size: f64,
    at: Timestamp,
}

impl DecayingPeak {
    /// Takes the need of now. `half_life` is the time in which half of what is not needed goes.
    pub fn follow(&mut self, need: f64, half_life: Duration, now: Timestamp) {
        let half_lives = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        let surplus = (self.size - need).max(0.0);
        self.size = need + surplus * 0.5_f64.powf(half_lives);
        self.at = self.at.max(now);
    }

    /// Makes the size at least so large.
    pub fn grow_to(&mut self, size: f64) {
        self.size = self.size.max(size);
    }

    /// The size.
    #[must_use]
    pub fn size(&self) -> f64 {
        self.size
    }
}
