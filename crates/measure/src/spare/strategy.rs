//! Ways to choose where the spare host goes.

use rhubarbrill_core::fleet::{Fleet, PoolKey};
use rhubarbrill_core::maintenance::{Command, Ledger, Reason};
use rhubarbrill_core::spare::{Demand, MoveCost, Policy};
use rhubarbrill_core::time::Instant;
use slotmap::SecondaryMap;

/// Utilisation above which the threshold strategy takes the spare host.
const HIGH: f64 = 0.8;
/// Utilisation below which it gives the spare host back.
const LOW: f64 = 0.4;
/// Weight of one second's utilisation in the mean of about five minutes.
const WEIGHT: f64 = 1.0 / 300.0;

/// A way to choose where the spare host goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// The spare policy.
    Policy,
    /// Moves on thresholds of smoothed utilisation.
    Threshold,
    /// Moves whenever a pool waits, and back whenever it doesn't.
    Greedy,
    /// Never moves.
    Fixed,
    /// The spare host's slots serve whoever waits longest, at once.
    FreeMoves,
    /// Every slot of the fleet serves any pool, at once; nothing waits less.
    OnePool,
}

impl Strategy {
    /// Every strategy.
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

/// A strategy with what it remembers.
pub(super) struct Controller {
    strategy: Strategy,
    policy: Policy,
    levels: SecondaryMap<PoolKey, Level>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Level {
    smooth: f64,
    waiting: u32,
}

impl Controller {
    pub(super) fn new(strategy: Strategy) -> Self {
        Self {
            strategy,
            policy: Policy::new(MoveCost::default()),
            levels: SecondaryMap::new(),
        }
    }

    pub(super) fn observe(&mut self, now: Instant, pool: PoolKey, demand: Demand) {
        self.policy.observe(now, pool, demand);
        let Some(level) = self.levels.entry(pool) else {
            return;
        };
        let level = level.or_default();
        let load = f64::from(demand.running + demand.waiting);
        let used = load / f64::from(demand.slots.max(1));
        level.smooth += (used - level.smooth) * WEIGHT;
        level.waiting = demand.waiting;
    }

    pub(super) fn next(&self, ledger: &Ledger, fleet: &Fleet) -> Vec<Command> {
        match self.strategy {
            Strategy::Policy => self.policy.next(ledger, fleet),
            Strategy::Threshold => {
                self.move_on(ledger, fleet, |level| level.smooth, HIGH, LOW)
            }
            Strategy::Greedy => {
                self.move_on(ledger, fleet, |level| f64::from(level.waiting), 1.0, 1.0)
            }
            Strategy::Fixed | Strategy::FreeMoves | Strategy::OnePool => Vec::new(),
        }
    }

    /// Moves the spare host to the pool of the highest level from `high` on, and home
    /// below `low`.
    fn move_on(
        &self,
        ledger: &Ledger,
        fleet: &Fleet,
        level: fn(&Level) -> f64,
        high: f64,
        low: f64,
    ) -> Vec<Command> {
        let Some((key, host, declared)) = spare(fleet) else {
            return Vec::new();
        };
        let target = match ledger.record(host) {
            None => self
                .levels
                .iter()
                .filter(|(_, of)| level(of) >= high)
                .max_by(|a, b| level(a.1).total_cmp(&level(b.1)))
                .map(|(pool, _)| pool),
            Some(record) if record.step.accepts() => ledger
                .pool(fleet, key)
                .filter(|pool| self.levels.get(*pool).is_none_or(|of| level(of) < low))
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

fn spare(fleet: &Fleet) -> Option<(rhubarbrill_core::fleet::HostKey, &str, PoolKey)> {
    let is_spare = |pool| fleet.pools.get(pool).is_some_and(|pool| pool.spare);
    fleet
        .hosts
        .iter()
        .find(|(_, _, host)| is_spare(host.pool))
        .map(|(key, name, host)| (key, name, host.pool))
}
