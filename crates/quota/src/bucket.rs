//! Token bucket.

use luglink_types::Timestamp;
use std::time::Duration;

/// Bucket of tokens that is refilled at a constant rate up to its depth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    refilled_at: Timestamp,
    rate_per_s: f64,
    depth: f64,
}

impl TokenBucket {
    /// Creates a bucket that held `level` tokens at `since`.
    #[must_use]
    pub fn new(level: f64, since: Timestamp, rate_per_s: f64, depth: f64) -> Self {
        Self {
            level: level.min(depth),
            refilled_at: since,
            rate_per_s,
            depth,
        }
    }

    /// Changes rate and depth. Tokens beyond the new depth are discarded.
    pub fn resize(&mut self, rate_per_s: f64, depth: f64, now: Timestamp) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.depth = depth;
        self.level = self.level.min(depth);
    }

    /// Takes a token if at least `reserve` tokens remain.
    ///
    /// # Errors
    /// Returns the time until there are enough tokens, if no others are taken.
    pub fn take(&mut self, reserve: f64, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        let missing = reserve + 1.0 - self.level;
        if missing <= 0.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let seconds = missing / self.rate_per_s.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Returns true if the bucket is full.
    #[must_use]
    pub fn is_full(&self, now: Timestamp) -> bool {
        let mut filled = *self;
        filled.refill(now);
        filled.level >= filled.depth
    }

    fn refill(&mut self, now: Timestamp) {
        if now <= self.refilled_at {
            return;
        }
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate_per_s).min(self.depth);
        self.refilled_at = now;
    }
}
