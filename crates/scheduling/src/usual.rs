//! Quantiles of waits, learned from completed ones.
//!
//! Waits are counted in buckets that grow by a constant factor. Older ones decay, so that the
//! quantiles follow the load. A few very long waits do not shift quantiles, whereas a mean or a
//! maximum would follow the very replicas that are to be detected.

use luglink_types::Timestamp;
use std::time::Duration;

/// Buckets for each doubling of a wait.
const CLASSES_PER_DOUBLING: f64 = 4.0;

/// Number of buckets: from one millisecond to about sixteen seconds.
const CLASSES: usize = 56;

/// Time after which a wait counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Minimum total weight of the waits for a quantile to be known.
const FEWEST: f64 = 20.0;

/// Histogram of waits whose weights decay.
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
    /// Records a completed wait.
    pub fn note(&mut self, wait: Duration, now: Timestamp) {
        self.fade(now);
        self.weights[class_of(wait)] += 1.0;
    }

    /// Returns the wait that is not exceeded by `share` of them, or `None` while too few are known.
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

    /// Returns the total weight of the waits after decay.
    #[must_use]
    pub fn weight(&self, now: Timestamp) -> f64 {
        self.weights.iter().sum::<f64>() * fading(now.since(self.faded_at))
    }

    /// Returns the sum of two histograms.
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

/// Returns the wait at a fraction, from 0 to 1, of a bucket.
fn place_in(class: usize, part: f64) -> Duration {
    let doublings = (class as f64 + part) / CLASSES_PER_DOUBLING;
    Duration::from_secs_f64(doublings.exp2() / 1_000.0)
}
