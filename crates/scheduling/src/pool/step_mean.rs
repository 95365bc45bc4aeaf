//! The mean pause between events of the last moments.

use luglink_types::Timestamp;
use std::time::Duration;

/// Time in which half of what was measured is forgotten. A replica that turns several times slower
/// also gives that many fewer samples, and must stand out within a second.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Longest pause that counts: one long silence must not outweigh all that comes after it.
const LONGEST: Duration = Duration::from_secs(1);

/// The mean pause between events of the last moments.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StepMean {
    /// Samples that the mean counts for, as of `at`.
    weight: f64,
    micros: f64,
    at: Timestamp,
}

impl StepMean {
    pub(super) const NONE: Self = Self {
        weight: 0.0,
        micros: 0.0,
        at: Timestamp::ZERO,
    };

    pub(super) fn note(&mut self, pause: Duration, now: Timestamp) {
        let sample = pause.min(LONGEST).as_secs_f64() * 1e6;
        self.weight = self.weight_at(now) + 1.0;
        self.micros += (sample - self.micros) / self.weight;
        self.at = now;
    }

    /// Samples that the mean counts for.
    pub(super) fn weight_at(&self, now: Timestamp) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        self.weight * faded(now.since(self.at), HALF_LIFE)
    }

    pub(super) fn micros(&self) -> f64 {
        self.micros
    }
}

/// What is left after `age` of what halves in `half_life`.
pub(super) fn faded(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
