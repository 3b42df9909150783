//! Strategies that choose which pool the spare host serves.

use rhubarbrill_core::fleet::{Fleet, PoolKey};
use rhubarbrill_core::maintenance::{Command, Ledger, Reason};
use rhubarbrill_core::spare::{Demand, MoveCost, Policy};
use rhubarbrill_core::time::Instant;
use slotmap::SecondaryMap;

/// Smoothed utilization from which the threshold strategy moves the spare host to a pool.
const HIGH_UTILIZATION: f64 = 0.8;
/// Smoothed utilization below which the threshold strategy returns the spare host.
const LOW_UTILIZATION: f64 = 0.4;
/// Weight of one second's utilization in the exponential moving average, whose time
/// constant is about five minutes.
const SMOOTHING_WEIGHT: f64 = 1.0 / 300.0;

/// A strategy that chooses which pool the spare host serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// Moves as the spare policy of the core crate decides.
    Policy,
    /// Moves on thresholds of the smoothed utilization.
    Threshold,
    /// Moves as soon as a pool has waiting requests, and back as soon as it has none.
    Greedy,
    /// Never moves.
    Fixed,
    /// Hypothetical: the spare host's slots serve the pool with the longest wait at any
    /// time, without a move.
    FreeMoves,
    /// Hypothetical: every slot of the fleet serves any pool at any time, which gives a
    /// lower bound for the waiting time.
    OnePool,
}

impl Strategy {
    /// Every strategy, in the order of the table.
    pub const ALL: [Self; 6] = [
        Self::Policy,
        Self::Threshold,
        Self::Greedy,
        Self::Fixed,
        Self::FreeMoves,
        Self::OnePool,
    ];

    /// Returns the name that the table prints.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Threshold => "thresholds",
            Self::Greedy => "greedy",
            Self::Fixed => "fixed pools",
            Self::FreeMoves => "(free moves)",
            Self::OnePool => "(bound: one pool)",
        }
    }
}

/// A strategy with its state.
pub(super) struct Controller {
    strategy: Strategy,
    policy: Policy,
    loads: SecondaryMap<PoolKey, PoolLoad>,
}

/// Observed load of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolLoad {
    smoothed_utilization: f64,
    /// Waiting requests in the last observation.
    waiting: u32,
}

impl Controller {
    pub(super) fn new(strategy: Strategy) -> Self {
        Self {
            strategy,
            policy: Policy::new(MoveCost::default()),
            loads: SecondaryMap::new(),
        }
    }

    /// Records the demand of one pool in the last second.
    pub(super) fn observe(&mut self, now: Instant, pool: PoolKey, demand: Demand) {
        self.policy.observe(now, pool, demand);
        let Some(load) = self.loads.entry(pool) else {
            return;
        };
        let load = load.or_default();
        let requests = f64::from(demand.running + demand.waiting);
        let utilization = requests / f64::from(demand.slots.max(1));
        load.smoothed_utilization +=
            (utilization - load.smoothed_utilization) * SMOOTHING_WEIGHT;
        load.waiting = demand.waiting;
    }

    /// Returns the commands that begin the moves which are due.
    pub(super) fn next_commands(&self, ledger: &Ledger, fleet: &Fleet) -> Vec<Command> {
        match self.strategy {
            Strategy::Policy => self.policy.next(ledger, fleet),
            Strategy::Threshold => self.move_by_threshold(
                ledger,
                fleet,
                |load| load.smoothed_utilization,
                HIGH_UTILIZATION,
                LOW_UTILIZATION,
            ),
            Strategy::Greedy => self.move_by_threshold(
                ledger,
                fleet,
                |load| f64::from(load.waiting),
                1.0,
                1.0,
            ),
            Strategy::Fixed | Strategy::FreeMoves | Strategy::OnePool => Vec::new(),
        }
    }

    /// Moves the spare host to the pool with the highest load if that is at least `high`,
    /// and returns it to its declared pool if the load falls below `low`.
    fn move_by_threshold(
        &self,
        ledger: &Ledger,
        fleet: &Fleet,
        load: fn(&PoolLoad) -> f64,
        high: f64,
        low: f64,
    ) -> Vec<Command> {
        let Some((key, host, declared)) = find_spare_host(fleet) else {
            return Vec::new();
        };
        let target = match ledger.record(host) {
            None => self
                .loads
                .iter()
                .filter(|(_, pool_load)| load(pool_load) >= high)
                .max_by(|a, b| load(a.1).total_cmp(&load(b.1)))
                .map(|(pool, _)| pool),
            Some(record) if record.step.accepts() => ledger
                .pool(fleet, key)
                .filter(|pool| {
                    self.loads
                        .get(*pool)
                        .is_none_or(|pool_load| load(pool_load) < low)
                })
                .map(|_| declared),
            Some(_) => None,
        };
        let to = target.and_then(|pool| fleet.pools.name(pool));
        let command = to.map(|to| Command::BeginDrain {
            host: host.to_owned(),
            reason: Reason::Move { to: to.to_owned() },
        });
        command.into_iter().collect()
    }
}

/// Returns the key, name and declared pool of the first host of a spare pool.
fn find_spare_host(
    fleet: &Fleet,
) -> Option<(rhubarbrill_core::fleet::HostKey, &str, PoolKey)> {
    let is_spare = |pool| fleet.pools.get(pool).is_some_and(|pool| pool.spare);
    fleet
        .hosts
        .iter()
        .find(|(_, _, host)| is_spare(host.pool))
        .map(|(key, name, host)| (key, name, host.pool))
}
