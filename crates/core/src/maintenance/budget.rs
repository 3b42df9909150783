//! Availability budgets and what is spent of them.

use std::collections::{BTreeMap, BTreeSet};

use super::record::{Record, Step};
use super::refusal::Refusal;
use crate::fleet::{Budget, Fleet, Host, HostKey, PoolKey, ZoneKey};

/// The part of a pool that a budget binds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BudgetScope<'a> {
    /// The whole pool.
    Pool,
    /// The pool's hosts in one zone.
    Zone(ZoneKey),
    /// The pool's hosts in one rack.
    Rack(ZoneKey, &'a str),
}

/// A budget of which more is spent than it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetViolation<'a> {
    /// The pool.
    pub pool: PoolKey,
    /// The part of the pool.
    pub scope: BudgetScope<'a>,
    /// Hosts that are out of service there.
    pub out: u32,
    /// Of these, hosts that are out by nobody's choice.
    pub unplanned: u32,
    /// Hosts that may be out of service there.
    pub max_out: u32,
}

/// Hosts out of service, counted by pool, zone and rack.
///
/// A host is charged to the pool it belongs to while it doesn't serve it, and to the pool
/// it is declared for while it doesn't serve that one. A spare pool is there to lend
/// hosts, so it isn't charged for those that it lent, and a host that arrives takes
/// nothing from a pool that it hasn't served yet.
#[derive(Clone, Debug, Default)]
pub struct BudgetUsage<'a> {
    counts: BTreeMap<(PoolKey, BudgetScope<'a>), Count>,
    overdrawn: BTreeSet<PoolKey>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    out: u32,
    unplanned: u32,
}

/// The pools that one host is charged to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Charge {
    declared: Option<PoolKey>,
    current: Option<PoolKey>,
}

impl Charge {
    /// Returns the pools that a host's record is charged to.
    pub(crate) fn of(fleet: &Fleet, host: &Host, record: &Record) -> Self {
        let current = fleet.pools.find(&record.pool);
        let is_home = current == Some(host.pool);
        let serves = record.step == Step::Serving;
        let lends = fleet.pools.get(host.pool).is_some_and(|pool| pool.spare);
        let is_absent = if lends {
            is_home && !record.arriving
        } else {
            !(is_home && serves)
        };
        Self {
            declared: (is_absent && !(is_home && serves)).then_some(host.pool),
            current: current.filter(|_| !is_home && !serves && !record.arriving),
        }
    }

    /// Returns the pools that are charged.
    pub(crate) fn pools(self) -> impl Iterator<Item = PoolKey> {
        self.declared.into_iter().chain(self.current)
    }

    /// Returns the pools charged here and not in `before`.
    pub(super) fn beyond(self, before: Self) -> impl Iterator<Item = PoolKey> {
        self.pools()
            .filter(move |pool| before.pools().all(|old| old != *pool))
    }
}

impl<'a> BudgetUsage<'a> {
    /// Charges a host's record to its pools.
    pub(super) fn charge(&mut self, fleet: &'a Fleet, key: HostKey, record: &Record) {
        let Some(host) = fleet.hosts.get(key) else {
            return;
        };
        for pool in Charge::of(fleet, host, record).pools() {
            self.spend(fleet, pool, host, record.is_unplanned());
        }
    }

    /// Charges a host that is about to leave the pool.
    pub fn drain(&mut self, fleet: &'a Fleet, pool: PoolKey, key: HostKey) {
        if let Some(host) = fleet.hosts.get(key) {
            self.spend(fleet, pool, host, false);
        }
    }

    /// Checks that one more host of the pool may leave.
    ///
    /// # Errors
    ///
    /// Names the budget that doesn't allow it.
    pub fn check(
        &self,
        fleet: &Fleet,
        pool: PoolKey,
        key: HostKey,
    ) -> Result<(), Refusal> {
        let name = || fleet.pools.name(pool).unwrap_or_default().to_owned();
        let budget = fleet.pools.get(pool).map(|pool| pool.budget);
        let budget = budget.ok_or_else(|| Refusal::UnknownPool(name()))?;
        let Some(host) = fleet.hosts.get(key) else {
            return Err(Refusal::UnknownHost(String::new()));
        };
        for scope in scopes(host) {
            if self.out(pool, scope) >= max_out(budget, scope) {
                return Err(refusal(fleet, name(), scope));
            }
        }
        if self.overdrawn.contains(&pool) {
            return Err(Refusal::Overdrawn(name()));
        }
        Ok(())
    }

    /// Returns the hosts of the pool that are out of service in a part of it.
    pub fn out(&self, pool: PoolKey, scope: BudgetScope<'_>) -> u32 {
        self.count(pool, scope).out
    }

    /// Returns whether unplanned outages alone keep every host of the pool from leaving.
    pub fn is_exhausted(&self, fleet: &Fleet, pool: PoolKey) -> bool {
        let budget = fleet.pools.get(pool).map_or(0, |pool| pool.budget.max_out);
        self.overdrawn.contains(&pool)
            || self.count(pool, BudgetScope::Pool).unplanned >= budget
    }

    /// Returns the budgets of which more is spent than they hold.
    pub fn violations(&self, fleet: &Fleet) -> Vec<BudgetViolation<'a>> {
        let over = |(&(pool, scope), count): (&(PoolKey, BudgetScope<'a>), &Count)| {
            let max_out = max_out(fleet.pools.get(pool)?.budget, scope);
            (count.out > max_out).then_some(BudgetViolation {
                pool,
                scope,
                out: count.out,
                unplanned: count.unplanned,
                max_out,
            })
        };
        self.counts.iter().filter_map(over).collect()
    }

    /// Returns whether any budget of the pool is overdrawn.
    pub fn is_overdrawn(&self, pool: PoolKey) -> bool {
        self.overdrawn.contains(&pool)
    }

    fn count(&self, pool: PoolKey, scope: BudgetScope<'_>) -> Count {
        self.counts.get(&(pool, scope)).copied().unwrap_or_default()
    }

    fn spend(
        &mut self,
        fleet: &'a Fleet,
        pool: PoolKey,
        host: &'a Host,
        unplanned: bool,
    ) {
        let budget = fleet.pools.get(pool).map(|pool| pool.budget);
        for scope in scopes(host) {
            let count = self.counts.entry((pool, scope)).or_default();
            count.out += 1;
            count.unplanned += u32::from(unplanned);
            if budget.is_some_and(|budget| count.out > max_out(budget, scope)) {
                self.overdrawn.insert(pool);
            }
        }
    }
}

fn scopes(host: &Host) -> [BudgetScope<'_>; 3] {
    [
        BudgetScope::Pool,
        BudgetScope::Rack(host.zone, &host.rack),
        BudgetScope::Zone(host.zone),
    ]
}

/// Returns the hosts of a pool that may be out of service in a part of it.
fn max_out(budget: Budget, scope: BudgetScope<'_>) -> u32 {
    match scope {
        BudgetScope::Pool => budget.max_out,
        BudgetScope::Zone(_) => budget.max_out_per_zone,
        BudgetScope::Rack(..) => budget.max_out_per_rack,
    }
}

fn refusal(fleet: &Fleet, pool: String, scope: BudgetScope<'_>) -> Refusal {
    match scope {
        BudgetScope::Pool => Refusal::BudgetPool(pool),
        BudgetScope::Rack(_, rack) => Refusal::BudgetRack {
            pool,
            rack: rack.to_owned(),
        },
        BudgetScope::Zone(zone) => Refusal::BudgetZone {
            pool,
            zone: fleet.zones.name(zone).unwrap_or_default().to_owned(),
        },
    }
}
