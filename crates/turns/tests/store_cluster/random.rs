//! Seeded random numbers (SplitMix64).

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }

    /// Returns true once in `count` calls on average.
    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}
