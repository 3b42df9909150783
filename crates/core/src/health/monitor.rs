//! Ejects, probes and restores endpoints.

use std::collections::BTreeSet;

use slotmap::SecondaryMap;

use super::record::{Record, State};
use crate::fleet::{Budget, Fleet, HostKey, PoolKey};
use crate::placement::Placement;
use crate::time::Instant;

/// Health of every endpoint, as observed by one entry host.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    records: SecondaryMap<HostKey, Record>,
    pools: SecondaryMap<PoolKey, PoolEjections>,
    /// Ejected endpoints by the time their ejection ends.
    ends: BTreeSet<(Instant, HostKey)>,
}

/// Effect of one result on an endpoint's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The endpoint keeps its state, or moves within its probes.
    None,
    /// The endpoint was ejected, for the first time or again.
    Ejected,
    /// The endpoint passed its probes and is healthy again.
    Restored,
}

/// Hosts of one pool that get no regular work.
#[derive(Clone, Debug)]
struct PoolEjections {
    budget: Budget,
    /// Hosts that accept no work according to the placement.
    out_by_placement: Vec<HostKey>,
    /// Hosts ejected or probed by this entry host, oldest ejection first.
    ejected: Vec<HostKey>,
}

impl Monitor {
    /// Applies a configuration and a placement, and keeps the health records of known
    /// hosts.
    ///
    /// Ejections that exceed the new budgets end, the oldest first, and so do those of
    /// hosts that the placement has taken out.
    pub fn rebuild(&mut self, fleet: &Fleet, placement: &Placement) {
        self.records
            .retain(|host, _| fleet.hosts.get(host).is_some());
        let ejected: Vec<HostKey> = self.ejected().collect();
        self.pools.clear();
        for (pool, _, declared) in fleet.pools.iter() {
            self.pools.insert(pool, PoolEjections::new(declared.budget));
        }
        for (key, _, host) in fleet.hosts.iter() {
            let assignment = placement.get(key);
            let pool = assignment.map_or(host.pool, |assignment| assignment.pool);
            let fresh = || Record::new(pool, host.zone, host.rack.clone());
            match self.records.get_mut(key) {
                Some(record) if record.pool == pool => {
                    record.zone = host.zone;
                    record.rack.clone_from(&host.rack);
                }
                _ => {
                    self.records.insert(key, fresh());
                }
            }
            let serves = assignment.is_some_and(|assignment| assignment.accepts);
            if let (false, Some(pool_ejections)) = (serves, self.pools.get_mut(pool)) {
                pool_ejections.out_by_placement.push(key);
            }
        }
        for host in ejected.into_iter().rev() {
            self.recheck_ejection(host);
        }
        self.remove_stale_ends();
    }

    /// Returns the health state of an endpoint; unknown endpoints count as healthy.
    pub fn state(&self, host: HostKey) -> State {
        self.records
            .get(host)
            .map_or(State::Healthy, |record| record.state)
    }

    /// Records the result of one request.
    pub fn record(&mut self, host: HostKey, now: Instant, success: bool) -> Change {
        let Some(record) = self.records.get_mut(host) else {
            return Change::None;
        };
        record.count(success);
        record.reset_ejection_backoff();
        match record.state {
            State::Healthy if record.is_outlier() => self.try_eject(host, now),
            State::Healthy | State::Ejected(_) => Change::None,
            State::Probing(passed) if success => self.pass_probe(host, passed),
            State::Probing(_) => self.eject(host, now),
        }
    }

    /// Starts the probing of endpoints whose ejection has ended, and returns them.
    pub fn begin_probes(&mut self, now: Instant) -> Vec<HostKey> {
        let mut begun = Vec::new();
        while let Some(&(until, host)) = self.ends.first() {
            if until > now {
                break;
            }
            self.ends.pop_first();
            if let Some(record) = self.records.get_mut(host) {
                record.state = State::Probing(0);
                begun.push(host);
            }
        }
        begun
    }

    /// Returns the time at which the next ejection ends.
    pub fn next_wake(&self) -> Option<Instant> {
        self.ends.first().map(|&(until, _)| until)
    }

    /// Returns the hosts that are ejected or being probed, by pool and oldest first.
    pub fn ejected(&self) -> impl Iterator<Item = HostKey> {
        self.pools
            .values()
            .flat_map(|pool_ejections| pool_ejections.ejected.iter().copied())
    }

    fn try_eject(&mut self, host: HostKey, now: Instant) -> Change {
        if !self.within_budget(host) {
            return Change::None;
        }
        let pool = self.records[host].pool;
        if let Some(pool_ejections) = self.pools.get_mut(pool) {
            pool_ejections.ejected.push(host);
        }
        self.eject(host, now)
    }

    fn eject(&mut self, host: HostKey, now: Instant) -> Change {
        let until = self.records[host].eject(now);
        self.ends.insert((until, host));
        Change::Ejected
    }

    fn pass_probe(&mut self, host: HostKey, passed: u32) -> Change {
        let record = &mut self.records[host];
        if !record.pass_probe(passed) {
            return Change::None;
        }
        if let Some(pool_ejections) = self.pools.get_mut(record.pool) {
            pool_ejections.ejected.retain(|&other| other != host);
        }
        Change::Restored
    }

    /// Keeps a host ejected after a rebuild, or restores it if the budget is used up.
    fn recheck_ejection(&mut self, host: HostKey) {
        let within = self.within_budget(host);
        let Some(record) = self.records.get_mut(host) else {
            return;
        };
        if record.state == State::Healthy {
            return;
        }
        match self.pools.get_mut(record.pool) {
            Some(pool_ejections) if within => pool_ejections.ejected.insert(0, host),
            _ => record.restore(),
        }
    }

    fn remove_stale_ends(&mut self) {
        let records = &self.records;
        self.ends.retain(|&(until, host)| {
            records
                .get(host)
                .is_some_and(|record| record.state == State::Ejected(until))
        });
    }

    /// Returns whether the budgets of pool, zone and rack allow one more host to be out.
    fn within_budget(&self, host: HostKey) -> bool {
        let Some(record) = self.records.get(host) else {
            return false;
        };
        let Some(pool_ejections) = self.pools.get(record.pool) else {
            return false;
        };
        if pool_ejections.out_by_placement.contains(&host) {
            return false;
        }
        let others = || {
            let all = pool_ejections
                .out_by_placement
                .iter()
                .chain(&pool_ejections.ejected);
            all.filter_map(|&key| self.records.get(key))
        };
        let in_zone = others().filter(|other| other.zone == record.zone);
        let in_rack = in_zone.clone().filter(|other| other.rack == record.rack);
        others().count() < pool_ejections.budget.max_out as usize
            && in_zone.count() < pool_ejections.budget.max_out_per_zone as usize
            && in_rack.count() < pool_ejections.budget.max_out_per_rack as usize
    }
}

impl PoolEjections {
    fn new(budget: Budget) -> Self {
        Self {
            budget,
            out_by_placement: Vec::new(),
            ejected: Vec::new(),
        }
    }
}
