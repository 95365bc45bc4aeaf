//! Seeded pseudo-random numbers (SplitMix64).

use std::time::Duration;

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }

    /// Returns true in `percent` of 100 cases.
    pub fn percent(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }

    pub fn millis(&mut self, range: std::ops::Range<usize>) -> Duration {
        let millis = range.start + self.below(range.len());
        Duration::from_millis(millis as u64)
    }
}
