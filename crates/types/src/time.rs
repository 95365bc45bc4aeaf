//! Timestamps, which callers pass to code that reads no clock.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Point in time in microseconds since an origin: the Unix epoch in a process, the start of the run
/// in the simulator.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Origin.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Latest point in time.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Creates a timestamp from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the origin, saturating.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns this time plus `duration`, saturating at [`Timestamp::MAX`].
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
