//! Points in time as the caller of the pure logic sees them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A point in time in microseconds since an origin the caller chooses: the Unix epoch in real
/// processes, the start of the run in the simulator.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than every other point in time.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Builds a point in time from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a point in time from milliseconds since the origin, saturating.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// This point plus `duration`, saturating at [`Timestamp::MAX`].
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Time elapsed since `earlier`; zero when `earlier` is not earlier.
    #[must_use]
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
