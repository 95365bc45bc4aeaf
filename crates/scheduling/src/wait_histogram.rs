//! Quantiles of waits, learned from completed ones.
//!
//! Waits are counted in buckets that grow by a constant factor. Older ones decay, so that the
//! quantiles follow the load. A few very long waits do not shift quantiles, whereas a mean or a
//! maximum would follow the very replicas that are to be detected.

use luglink_types::Timestamp;
use std::time::Duration;

/// Buckets for each doubling of a wait.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets: from one millisecond to about sixteen seconds.
const BUCKETS: usize = 56;

/// Time after which a wait counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Minimum total weight of the waits for a quantile to be known.
const MIN_WEIGHT: f64 = 20.0;

/// Histogram of waits whose weights decay.
#[derive(Clone, Debug)]
pub struct WaitHistogram {
    weights: [f64; BUCKETS],
    decayed_at: Timestamp,
}

impl Default for WaitHistogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            decayed_at: Timestamp::ZERO,
        }
    }
}

impl WaitHistogram {
    /// Records a completed wait.
    pub fn note(&mut self, wait: Duration, now: Timestamp) {
        self.decay(now);
        self.weights[bucket_of(wait)] += 1.0;
    }

    /// Returns the wait that is not exceeded by `share` of them, or `None` while too few are known.
    #[must_use]
    pub fn quantile(&self, share: f64, now: Timestamp) -> Option<Duration> {
        if self.weight(now) < MIN_WEIGHT {
            return None;
        }
        let wanted = share * self.weights.iter().sum::<f64>();
        let mut below = 0.0;
        for (bucket, weight) in self.weights.iter().enumerate() {
            if *weight > 0.0 && below + weight >= wanted {
                let fraction = ((wanted - below) / weight).clamp(0.0, 1.0);
                return Some(wait_in(bucket, fraction));
            }
            below += weight;
        }
        Some(wait_in(BUCKETS - 1, 1.0))
    }

    /// Returns the total weight of the waits after decay.
    #[must_use]
    pub fn weight(&self, now: Timestamp) -> f64 {
        self.weights.iter().sum::<f64>() * decay_factor(now.since(self.decayed_at))
    }

    /// Returns the sum of two histograms.
    #[must_use]
    pub fn merged(&self, other: &Self, now: Timestamp) -> Self {
        let (mut sum, mut other) = (self.clone(), other.clone());
        sum.decay(now);
        other.decay(now);
        for (weight, more) in sum.weights.iter_mut().zip(other.weights) {
            *weight += more;
        }
        sum
    }

    fn decay(&mut self, now: Timestamp) {
        let left = decay_factor(now.since(self.decayed_at));
        for weight in &mut self.weights {
            *weight *= left;
        }
        self.decayed_at = now;
    }
}

fn decay_factor(elapsed: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}

fn bucket_of(wait: Duration) -> usize {
    let milliseconds = (wait.as_secs_f64() * 1_000.0).max(1.0);
    let bucket = (milliseconds.log2() * BUCKETS_PER_DOUBLING).floor() as usize;
    bucket.min(BUCKETS - 1)
}

/// Returns the wait at a fraction, from 0 to 1, of a bucket.
fn wait_in(bucket: usize, fraction: f64) -> Duration {
    let doublings = (bucket as f64 + fraction) / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(doublings.exp2() / 1_000.0)
}
