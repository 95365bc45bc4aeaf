//! Mean pause between recent events.

use luglink_types::Timestamp;
use std::time::Duration;

/// Half-life of the samples. A replica that turns several times slower also gives that many fewer
/// samples, and must stand out within a second.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Maximum pause that is counted: one long pause must not outweigh everything after it.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Mean pause between recent events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StepMean {
    /// Total weight of the samples, as of `at`.
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
        let sample = pause.min(MAX_PAUSE).as_secs_f64() * 1e6;
        self.weight = self.weight_at(now) + 1.0;
        self.micros += (sample - self.micros) / self.weight;
        self.at = now;
    }

    /// Returns the total weight of the samples.
    pub(super) fn weight_at(&self, now: Timestamp) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        self.weight * decay_factor(now.since(self.at), HALF_LIFE)
    }

    pub(super) fn micros(&self) -> f64 {
        self.micros
    }
}

/// Returns the factor by which a value with `half_life` decays in `age`.
pub(super) fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
