//! The clock of one simulated machine.

use crate::sim::config::ClockSkew;
use luglink_types::Timestamp;
use rand::Rng;
use std::time::Duration;

/// All clocks show at least this at the start, so that one that is behind shows no negative time.
const EPOCH: Duration = Duration::from_secs(1_000);

/// A clock that is off and drifts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalClock {
    offset_micros: i64,
    drift_ppm: i64,
}

const MILLION: i64 = 1_000_000;

impl LocalClock {
    pub(crate) fn new(skew: ClockSkew, random: &mut impl Rng) -> Self {
        let offset = i64::try_from(skew.offset.as_micros()).unwrap_or(0);
        let drift = i64::from(skew.drift_ppm);
        Self {
            offset_micros: random.random_range(-offset..=offset),
            drift_ppm: random.random_range(-drift..=drift),
        }
    }

    /// What the clock shows at a moment of the simulation.
    pub(crate) fn at(&self, now: Timestamp) -> Timestamp {
        let now = signed(now.as_micros());
        let epoch = signed(u64::try_from(EPOCH.as_micros()).unwrap_or_default());
        let drifted = now + now / MILLION * self.drift_ppm;
        unsigned(epoch + drifted + self.offset_micros)
    }

    /// The moment of the simulation at which the clock shows `local`, or a little after.
    pub(crate) fn when(&self, local: Timestamp) -> Timestamp {
        if local == Timestamp::MAX {
            return Timestamp::MAX;
        }
        let epoch = signed(u64::try_from(EPOCH.as_micros()).unwrap_or_default());
        let elapsed = signed(local.as_micros()) - epoch - self.offset_micros;
        let guess = elapsed - elapsed / MILLION * self.drift_ppm;
        // Dividing cuts off; a few microseconds later is early enough for any timer.
        unsigned(guess + self.drift_ppm.abs() + 1)
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX / 4)
}

fn unsigned(micros: i64) -> Timestamp {
    Timestamp::from_micros(u64::try_from(micros).unwrap_or_default())
}
