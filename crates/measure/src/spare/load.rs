//! Demand in which pools burst one after another, with optional longer disturbances.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of hosts in each service pool.
pub(super) const POOL_SIZES: [u32; 5] = [8, 9, 10, 11, 12];
const POOLS: usize = POOL_SIZES.len();
/// Duration of a burst.
const BURST_SECS: u64 = 8;
/// Demand during a burst, as a multiple of the mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand between bursts, as a multiple of the mean.
const BASELINE_FACTOR: f64 = 0.05;
/// Period in which each queue bursts once. With the two factors above, the demand
/// averages out at about the configured mean.
const CYCLE_SECS: u64 = 42;
/// Duration of a disturbance (a surge or a failure). Disturbances alternate with quiet
/// phases of the same length and strike one pool after another.
const PHASE_SECS: u64 = 2_400;
/// Multiple of a pool's demand during a surge.
const SURGE_FACTOR: f64 = 2.8;
/// Number of a pool's hosts that are down during a failure.
const FAILED_HOSTS: u32 = 2;

/// Pattern of the demand and of host failures over time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DemandPattern {
    /// Every queue bursts in its turn, without disturbances.
    Bursts,
    /// Bursts, and the mean demand of one queue after another rises for 40 minutes.
    Surges,
    /// Bursts, and two hosts of one pool after another are down for 40 minutes.
    Failures,
}

impl DemandPattern {
    /// Every pattern, in the order of the table.
    pub const ALL: [Self; 3] = [Self::Bursts, Self::Surges, Self::Failures];

    /// Returns the name that the table prints.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Bursts => "bursts",
            Self::Surges => "bursts and surges",
            Self::Failures => "bursts and failures",
        }
    }
}

/// Generates the demand of every pool, second by second.
pub(super) struct DemandGenerator {
    pattern: DemandPattern,
    mean_utilization: f64,
    /// Offset of each pool's burst cycle in seconds.
    offsets: [u64; POOLS],
    /// Index of the pool that the first disturbance strikes.
    first_disturbed: usize,
    rng: ChaCha8Rng,
}

impl DemandGenerator {
    /// Returns a generator with a random phase of the bursts and a random first pool for
    /// disturbances. `mean_utilization` is the fraction of slots that the demand
    /// occupies.
    pub(super) fn new(pattern: DemandPattern, mean_utilization: f64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let initial_offset = rng.random_range(0..CYCLE_SECS);
        let pool_offset = CYCLE_SECS / POOLS as u64;
        let offset = |pool: usize| initial_offset + pool as u64 * pool_offset;
        Self {
            pattern,
            mean_utilization,
            offsets: std::array::from_fn(offset),
            first_disturbed: rng.random_range(0..POOLS),
            rng,
        }
    }

    /// Returns the work in slot-seconds that arrives for a pool of `slots` in one second.
    pub(super) fn arrivals(&mut self, pool: usize, secs: u64, slots: u32) -> f64 {
        let cycle_position = (secs + self.offsets[pool]) % CYCLE_SECS;
        let factor = match cycle_position < BURST_SECS {
            true => BURST_FACTOR,
            false => BASELINE_FACTOR,
        };
        let surge = match self.pattern == DemandPattern::Surges
            && self.is_disturbed(pool, secs)
        {
            true => SURGE_FACTOR,
            false => 1.0,
        };
        let noise = self.rng.random_range(0.8..1.2);
        f64::from(slots) * self.mean_utilization * factor * surge * noise
    }

    /// Returns the number of a pool's hosts that are down.
    pub(super) fn failed_hosts(&self, pool: usize, secs: u64) -> u32 {
        match self.pattern == DemandPattern::Failures && self.is_disturbed(pool, secs) {
            true => FAILED_HOSTS,
            false => 0,
        }
    }

    /// Returns whether the pool is disturbed in this phase; every other phase is quiet.
    fn is_disturbed(&self, pool: usize, secs: u64) -> bool {
        let phase = secs / PHASE_SECS;
        let disturbance = (phase / 2) as usize + self.first_disturbed;
        phase % 2 == 1 && disturbance % POOLS == pool
    }
}
