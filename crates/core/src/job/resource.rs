//! Resources that tasks use and endpoints provide.

use serde::{Deserialize, Serialize};

/// Largest amount in one dimension that a job may ask for or an endpoint may have. It is far
/// beyond any host, and sums over a fleet stay exact.
pub const MAX_AMOUNT: u64 = 1 << 40;

/// An amount of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resource {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resource {
    /// Returns whether this amount fits into `capacity` in addition to `used`.
    pub const fn fits(&self, used: &Self, capacity: &Self) -> bool {
        self.plus(used).is_at_most(capacity)
    }

    /// Returns whether this amount is at most `other` in every dimension.
    pub const fn is_at_most(&self, other: &Self) -> bool {
        self.cpu <= other.cpu
            && self.memory_mb <= other.memory_mb
            && self.gpu <= other.gpu
    }

    /// Returns how many times this amount fits into `capacity` in addition to `used`, up
    /// to `most`.
    pub fn count_that_fits(&self, used: &Self, capacity: &Self, most: u64) -> u64 {
        let count = |one: u64, used: u64, capacity: u64| {
            let spare = capacity.saturating_sub(used);
            spare.checked_div(one).unwrap_or(most)
        };
        most.min(count(self.cpu, used.cpu, capacity.cpu))
            .min(count(self.memory_mb, used.memory_mb, capacity.memory_mb))
            .min(count(self.gpu, used.gpu, capacity.gpu))
    }

    /// Returns whether this amount stays within `limit` in addition to `used`. A limit of
    /// 0 stands for no limit in that dimension.
    pub const fn is_within(&self, used: &Self, limit: &Self) -> bool {
        let total = self.plus(used);
        (limit.cpu == 0 || total.cpu <= limit.cpu)
            && (limit.memory_mb == 0 || total.memory_mb <= limit.memory_mb)
            && (limit.gpu == 0 || total.gpu <= limit.gpu)
    }

    /// Adds another amount to this one, up to the largest value in each dimension.
    pub const fn add(&mut self, other: &Self) {
        *self = self.plus(other);
    }

    /// Returns the sum of two amounts, up to the largest value in each dimension.
    const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns whether no dimension exceeds the largest plausible amount.
    pub const fn is_plausible(&self) -> bool {
        self.cpu <= MAX_AMOUNT && self.memory_mb <= MAX_AMOUNT && self.gpu <= MAX_AMOUNT
    }

    /// Subtracts another amount from this one, saturating at zero.
    pub const fn subtract(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }

    /// Returns the free share of this capacity when `used` is taken: the sum of the free
    /// shares of CPU and memory, each in thousandths.
    pub fn free_permille(&self, used: &Self) -> u64 {
        let spare = |capacity: u64, used: u64| {
            capacity.saturating_sub(used).saturating_mul(1_000) / capacity.max(1)
        };
        spare(self.cpu, used.cpu) + spare(self.memory_mb, used.memory_mb)
    }

    /// Returns the larger of two amounts in each dimension.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns how many hosts with `capacity` together provide at least this amount.
    pub fn whole_count(&self, capacity: &Self) -> u64 {
        let count = |amount: u64, capacity: u64| amount.div_ceil(capacity.max(1));
        count(self.cpu, capacity.cpu)
            .max(count(self.memory_mb, capacity.memory_mb))
            .max(count(self.gpu, capacity.gpu))
    }

    /// Returns the share of `capacity` that each task with this demand takes if as many of
    /// them as possible fill a host: what is left beside them counts as taken.
    ///
    /// Returns the amount itself if it doesn't fit into `capacity`.
    pub fn whole_share_of(&self, capacity: &Self) -> Self {
        let count = self.count_that_fits(&Self::default(), capacity, u64::MAX);
        if count == 0 || count == u64::MAX {
            return *self;
        }
        let is_full = |one: u64, capacity: u64| one > 0 && capacity / one == count;
        let share = |one: u64, capacity: u64| {
            if is_full(one, capacity) {
                capacity / count
            } else {
                one
            }
        };
        Self {
            cpu: share(self.cpu, capacity.cpu),
            memory_mb: share(self.memory_mb, capacity.memory_mb),
            gpu: share(self.gpu, capacity.gpu),
        }
    }

    /// Returns this amount multiplied by `times`, up to the largest value in each dimension.
    pub const fn times(&self, times: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(times),
            memory_mb: self.memory_mb.saturating_mul(times),
            gpu: self.gpu.saturating_mul(times),
        }
    }
}
