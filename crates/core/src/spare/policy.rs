//! Policy that decides which spare host moves to which pool.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::estimator::{Demand, DemandEstimator, EstimatorSettings};
use crate::fleet::{Fleet, HostKey, PoolKey, ZoneKey};
use crate::maintenance::{Command, Ledger, Reason, Record, Step};
use crate::time::Instant;

/// Cost of a move of a spare host, and the decay of demand.
#[derive(Clone, Copy, Debug)]
pub struct MoveCost {
    /// Number of slots of one spare host.
    pub host_slots: u32,
    /// Time for which a host serves no requests while it moves to a pool.
    pub out: Duration,
    /// Time for which a host serves no requests while it moves back.
    pub back: Duration,
    /// Time after which past demand has decayed to 37%.
    pub memory: Duration,
    /// Waiting time of a request that counts as much as one second of work.
    pub patience: Duration,
    /// Percentage of the cost of a move from which a standby host moves to a pool. A
    /// standby host serves nobody before the move either, so the full cost isn't
    /// required.
    pub lend_percent: u32,
    /// Percentage of the cost of a move below which a borrowed host is returned.
    pub keep_percent: u32,
}

impl Default for MoveCost {
    fn default() -> Self {
        Self {
            host_slots: 8,
            out: Duration::from_secs(120),
            back: Duration::from_secs(180),
            memory: Duration::from_secs(600),
            patience: Duration::from_secs(30),
            lend_percent: 60,
            keep_percent: 40,
        }
    }
}

impl MoveCost {
    /// Returns the slot-seconds lost by a move to a pool and back.
    fn slot_seconds(&self) -> f64 {
        f64::from(self.host_slots) * (self.out + self.back).as_secs_f64()
    }

    /// Returns the value from which a standby host moves to a pool.
    fn lend_threshold(&self) -> f64 {
        self.slot_seconds() * f64::from(self.lend_percent) / 100.0
    }

    /// Returns the value below which a borrowed host is returned.
    fn keep_threshold(&self) -> f64 {
        self.slot_seconds() * f64::from(self.keep_percent) / 100.0
    }
}

/// Decides on the moves of spare hosts.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    cost: MoveCost,
    estimators: SecondaryMap<PoolKey, DemandEstimator>,
}

/// A spare host that could move to a pool.
struct Candidate<'a> {
    host: &'a str,
    zone: ZoneKey,
    lent: bool,
    /// Minimum value at which a pool gets the host.
    min_value: f64,
    /// Value, in slot-seconds, that the pool it serves now would lose.
    lost_value: f64,
}

impl Policy {
    /// Returns a policy that has observed no demand.
    pub fn new(cost: MoveCost) -> Self {
        Self {
            cost,
            estimators: SecondaryMap::new(),
        }
    }

    /// Records the demand of a pool at `now`.
    pub fn observe(&mut self, now: Instant, pool: PoolKey, demand: Demand) {
        let settings = EstimatorSettings {
            host_slots: self.cost.host_slots,
            memory: self.cost.memory,
            patience: self.cost.patience,
        };
        if let Some(entry) = self.estimators.entry(pool) {
            entry.or_default().observe(now, demand, settings);
        }
    }

    /// Returns the moves that pay off, as commands to be applied with the generation of
    /// `ledger`.
    ///
    /// At most one host moves to a pool at a time. The pool with the highest demand comes
    /// first.
    pub fn next(&self, ledger: &Ledger, fleet: &Fleet) -> Vec<Command> {
        let mut candidates = self.candidates(ledger, fleet);
        let mut commands = Vec::new();
        let pools_in_need = self.pools_in_need(ledger, fleet);
        if pools_in_need.is_empty() && candidates.iter().all(|candidate| !candidate.lent)
        {
            return Vec::new();
        }
        let counts = ZoneCount::new(ledger, fleet);
        for (pool, value_of_next) in pools_in_need {
            if let Some(index) =
                cheapest_candidate(&counts, pool, value_of_next, &candidates)
            {
                let candidate = candidates.swap_remove(index);
                commands.extend(begin_move(fleet, candidate.host, pool));
            }
        }
        let keep_threshold = self.cost.keep_threshold();
        let idle = candidates
            .iter()
            .filter(|candidate| candidate.lent && candidate.lost_value < keep_threshold);
        commands.extend(idle.filter_map(|candidate| return_host(fleet, candidate.host)));
        commands
    }

    /// Returns the pools for which one more host pays off, in descending order of demand.
    fn pools_in_need(&self, ledger: &Ledger, fleet: &Fleet) -> Vec<(PoolKey, f64)> {
        let threshold = self.cost.lend_threshold();
        let mut pools_in_need: Vec<_> = self
            .estimators
            .iter()
            .map(|(pool, estimator)| (pool, estimator.value_of_next))
            .filter(|(pool, value_of_next)| {
                *value_of_next >= threshold && !has_incoming_host(ledger, fleet, *pool)
            })
            .collect();
        pools_in_need.sort_by(|a, b| b.1.total_cmp(&a.1));
        pools_in_need
    }

    /// Returns the hosts declared for a spare pool that serve or stand by.
    fn candidates<'a>(&self, ledger: &'a Ledger, fleet: &'a Fleet) -> Vec<Candidate<'a>> {
        let is_spare =
            |pool: PoolKey| fleet.pools.get(pool).is_some_and(|pool| pool.spare);
        fleet
            .hosts
            .iter()
            .filter(|(_, _, host)| is_spare(host.pool))
            .filter_map(|(key, name, host)| {
                let lost_value = self.lost_value(ledger, fleet, key, name)?;
                let lent = ledger.record(name).is_some();
                Some(Candidate {
                    host: name,
                    zone: host.zone,
                    lent,
                    min_value: match lent {
                        true => lost_value + self.cost.slot_seconds(),
                        false => self.cost.lend_threshold(),
                    },
                    lost_value,
                })
            })
            .collect()
    }

    /// Returns the value that the pool served by a spare host would lose: zero on
    /// standby, and `None` while the host moves.
    fn lost_value(
        &self,
        ledger: &Ledger,
        fleet: &Fleet,
        key: HostKey,
        name: &str,
    ) -> Option<f64> {
        match ledger.record(name) {
            None => Some(0.0),
            Some(record) if record.step == Step::Serving => {
                let pool = ledger.pool(fleet, key)?;
                self.estimators
                    .get(pool)
                    .map(|estimator| estimator.value_of_last)
            }
            Some(_) => None,
        }
    }
}

/// Number of hosts of each pool in each zone.
struct ZoneCount(BTreeMap<(PoolKey, ZoneKey), usize>);

impl ZoneCount {
    fn new(ledger: &Ledger, fleet: &Fleet) -> Self {
        let mut counts = BTreeMap::new();
        for (key, _, host) in fleet.hosts.iter() {
            if let Some(pool) = ledger.pool(fleet, key) {
                *counts.entry((pool, host.zone)).or_default() += 1;
            }
        }
        Self(counts)
    }

    fn hosts(&self, pool: PoolKey, zone: ZoneKey) -> usize {
        self.0.get(&(pool, zone)).copied().unwrap_or_default()
    }
}

/// Returns the index of the cheapest candidate that the pool's demand pays for. Ties go
/// to the zone where the pool has the fewest hosts.
fn cheapest_candidate(
    counts: &ZoneCount,
    pool: PoolKey,
    value_of_next: f64,
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let hosts = |zone| counts.hosts(pool, zone);
    let rank =
        |index: &usize| (candidates[*index].min_value, hosts(candidates[*index].zone));
    (0..candidates.len())
        .filter(|&index| candidates[index].min_value <= value_of_next)
        .min_by(|a, b| {
            let ((a, a_hosts), (b, b_hosts)) = (rank(a), rank(b));
            a.total_cmp(&b).then(a_hosts.cmp(&b_hosts))
        })
}

/// Returns whether a host is moving to the pool.
fn has_incoming_host(ledger: &Ledger, fleet: &Fleet, pool: PoolKey) -> bool {
    let name = fleet.pools.name(pool);
    let is_incoming = |record: &Record| match &record.reason {
        Reason::Move { to } => Some(to.as_str()) == name && !record.step.accepts(),
        _ => false,
    };
    ledger.records().any(|(_, record)| is_incoming(record))
}

fn begin_move(fleet: &Fleet, host: &str, to: PoolKey) -> Option<Command> {
    let to = fleet.pools.name(to)?.to_owned();
    Some(Command::BeginDrain {
        host: host.to_owned(),
        reason: Reason::Move { to },
    })
}

fn return_host(fleet: &Fleet, host: &str) -> Option<Command> {
    let key = fleet.hosts.find(host)?;
    begin_move(fleet, host, fleet.hosts.get(key)?.pool)
}
