//! Seeded random numbers, the same on every platform.

/// Number of draws in each tick for arrivals, which makes them nearly independent.
const DRAWS: u64 = 20;

/// Generator of random numbers (SplitMix64).
#[derive(Clone, Copy, Debug)]
pub struct Random(pub u64);

impl Random {
    /// Returns a random number below `bound`.
    pub const fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Returns how many jobs arrive in a tick of 10 ms at the given rate.
    pub fn arrivals(&mut self, per_second: u64) -> usize {
        let arrives = |_: &u64| self.below(100 * DRAWS) < per_second;
        (0..DRAWS).filter(arrives).count()
    }
}
