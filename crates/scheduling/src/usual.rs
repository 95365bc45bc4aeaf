//! What a wait usually is, learned from those that were seen.
//!
//! Waits are counted in classes that grow by a constant factor, and older ones fade, so that the
//! figure follows the load. Callers ask for quantiles that a few very long waits do not shift:
//! an average, or the longest waits, would follow the very replicas that are to be recognised.

use luglink_types::Timestamp;
use std::time::Duration;

/// Classes for each doubling of a wait.
const CLASSES_PER_DOUBLING: f64 = 4.0;

/// Classes in all: from one millisecond to about sixteen seconds.
const CLASSES: usize = 56;

/// Time after which a wait counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Waits, faded ones counted in part, below which nothing is known.
const FEWEST: f64 = 20.0;

/// Waits of one kind.
#[derive(Clone, Debug)]
pub struct Usual {
    weights: [f64; CLASSES],
    faded_at: Timestamp,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            weights: [0.0; CLASSES],
            faded_at: Timestamp::ZERO,
        }
    }
}

impl Usual {
    /// Notes a wait that is over.
    pub fn note(&mut self, wait: Duration, now: Timestamp) {
        self.fade(now);
        self.weights[class_of(wait)] += 1.0;
    }

    /// The wait that is not exceeded by `share` of them; `None` while too few are known.
    #[must_use]
    pub fn quantile(&self, share: f64, now: Timestamp) -> Option<Duration> {
        if self.weight(now) < FEWEST {
            return None;
        }
        let wanted = share * self.weights.iter().sum::<f64>();
        let mut below = 0.0;
        for (class, weight) in self.weights.iter().enumerate() {
            if *weight > 0.0 && below + weight >= wanted {
                let part = ((wanted - below) / weight).clamp(0.0, 1.0);
                return Some(place_in(class, part));
            }
            below += weight;
        }
        Some(place_in(CLASSES - 1, 1.0))
    }

    /// How many waits are known, faded ones counted in part.
    #[must_use]
    pub fn weight(&self, now: Timestamp) -> f64 {
        self.weights.iter().sum::<f64>() * fading(now.since(self.faded_at))
    }

    /// These waits and others.
    #[must_use]
    pub fn with(&self, other: &Self, now: Timestamp) -> Self {
        let (mut sum, mut other) = (self.clone(), other.clone());
        sum.fade(now);
        other.fade(now);
        for (weight, more) in sum.weights.iter_mut().zip(other.weights) {
            *weight += more;
        }
        sum
    }

    fn fade(&mut self, now: Timestamp) {
        let left = fading(now.since(self.faded_at));
        for weight in &mut self.weights {
            *weight *= left;
        }
        self.faded_at = now;
    }
}

fn fading(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

fn class_of(wait: Duration) -> usize {
    let milliseconds = (wait.as_secs_f64() * 1_000.0).max(1.0);
    let class = (milliseconds.log2() * CLASSES_PER_DOUBLING).floor() as usize;
    class.min(CLASSES - 1)
}

/// The wait that lies at a part, from 0 to 1, of a class.
fn place_in(class: usize, part: f64) -> Duration {
    let doublings = (class as f64 + part) / CLASSES_PER_DOUBLING;
    Duration::from_secs_f64(doublings.exp2() / 1_000.0)
}
