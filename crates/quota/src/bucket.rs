//! A token bucket.

use luglink_types::Timestamp;
use std::time::Duration;

/// Tokens that come at a steady rate and are kept up to a depth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    as_of: Timestamp,
    rate_per_s: f64,
    depth: f64,
}

impl TokenBucket {
    /// A bucket that held `level` tokens at `since`.
    #[must_use]
    pub fn new(level: f64, since: Timestamp, rate_per_s: f64, depth: f64) -> Self {
        Self {
            level: level.min(depth),
            as_of: since,
            rate_per_s,
            depth,
        }
    }

    /// Changes rate and depth from now on. Tokens beyond the new depth are lost.
    pub fn resize(&mut self, rate_per_s: f64, depth: f64, now: Timestamp) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.depth = depth;
        self.level = self.level.min(depth);
    }

    /// Takes a token if that leaves at least `reserve` of them.
    ///
    /// # Errors
    /// There are too few; says after what time there will be enough, if nobody takes any.
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

    /// Whether it holds all that it can.
    #[must_use]
    pub fn is_full(&self, now: Timestamp) -> bool {
        let mut filled = *self;
        filled.refill(now);
        filled.level >= filled.depth
    }

    fn refill(&mut self, now: Timestamp) {
        if now <= self.as_of {
            return;
        }
        let passed = now.since(self.as_of).as_secs_f64();
        self.level = (self.level + passed * self.rate_per_s).min(self.depth);
        self.as_of = now;
    }
}
