//! State of one endpoint at one entry host.

use std::time::Duration;

use crate::fleet::{PoolKey, ZoneKey};

/// Smoothing divisor of the moving mean of slowness.
const SMOOTHING: f64 = 8.0;
/// Slowness sample that a failed request counts as.
const FAILURE_SLOWNESS: f64 = 4.0;

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) pool: PoolKey,
    pub(super) zone: ZoneKey,
    pub(super) slots: u32,
    pub(super) connections: u32,
    pub(super) same_zone: bool,
    pub(super) accepts: bool,
    /// Slots that the division gives to this entry host.
    pub(super) units: u32,
    /// Slots of these that are lent to other entry hosts.
    pub(super) lent: u32,
    /// Slots borrowed from other entry hosts.
    pub(super) borrowed: u32,
    pub(super) running: u32,
    /// Position among the pool's candidates, if it is one.
    pub(super) position: Option<CandidatePosition>,
    /// Moving mean of run time divided by expected run time; 1 is as expected.
    slowness: f64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CandidatePosition {
    pub(super) tier: Tier,
    pub(super) index: usize,
}

/// Class of an endpoint among the candidates of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Tier {
    SameZone,
    OtherZone,
    Probing,
}

impl Endpoint {
    pub(super) fn new(pool: PoolKey, zone: ZoneKey) -> Self {
        Self {
            pool,
            zone,
            slots: 0,
            connections: 0,
            same_zone: false,
            accepts: false,
            units: 0,
            lent: 0,
            borrowed: 0,
            running: 0,
            position: None,
            slowness: 1.0,
        }
    }

    pub(super) fn divisible_slots(&self) -> u32 {
        self.slots.min(self.connections)
    }

    /// Returns the number of slots that this entry host may use now.
    pub(super) fn capacity(&self) -> u32 {
        (self.units + self.borrowed).saturating_sub(self.lent)
    }

    pub(super) fn free(&self) -> u32 {
        self.capacity().saturating_sub(self.running)
    }

    /// Returns the number of connections that go with this entry host's slots.
    pub(super) fn own_connections(&self) -> u32 {
        match self.divisible_slots() {
            0 => 0,
            slots => {
                let part = u64::from(self.connections) * u64::from(self.capacity());
                u32::try_from(part / u64::from(slots)).unwrap_or(u32::MAX)
            }
        }
    }

    /// Returns the relative load of the endpoint: the part of this entry host's slots
    /// that would be occupied with one more request, weighted by the slowness.
    pub(super) fn load(&self) -> f64 {
        let occupied = f64::from(self.running + 1) / f64::from(self.capacity().max(1));
        occupied * self.slowness
    }

    pub(super) fn observe(&mut self, took: Duration, expected: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        self.update_slowness(ratio.clamp(0.25, 4.0));
    }

    pub(super) fn observe_failure(&mut self) {
        self.update_slowness(FAILURE_SLOWNESS);
    }

    fn update_slowness(&mut self, ratio: f64) {
        self.slowness += (ratio - self.slowness) / SMOOTHING;
    }
}
