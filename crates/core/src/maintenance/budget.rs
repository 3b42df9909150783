//! Availability budgets and their usage.

use std::collections::{BTreeMap, BTreeSet};

use super::record::{Record, Step};
use super::refusal::Refusal;
use crate::fleet::{Budget, Fleet, Host, HostKey, PoolKey, ZoneKey};

/// The part of a pool whose hosts a budget limits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BudgetScope<'a> {
    /// All hosts of the pool.
    Pool,
    /// The pool's hosts in one availability zone.
    Zone(ZoneKey),
    /// The pool's hosts in one rack, given by its zone and its name there.
    Rack(ZoneKey, &'a str),
}

/// A budget that is exceeded: more hosts are out of service than it allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetViolation<'a> {
    /// The pool whose budget is exceeded.
    pub pool: PoolKey,
    /// The part of the pool that the budget limits.
    pub scope: BudgetScope<'a>,
    /// Number of hosts in the scope that are out of service.
    pub out: u32,
    /// Number of these hosts that failed or that the platform takes away.
    pub unplanned: u32,
    /// Number of hosts in the scope that may be out of service at once.
    pub max_out: u32,
}

/// The number of hosts that are out of service in each pool, zone and rack.
///
/// A host is charged to the pool that it belongs to while it doesn't serve that pool, and
/// to its declared pool while it doesn't serve that one. There are two exceptions. A
/// spare pool exists to lend hosts, so it isn't charged for the hosts that it lent. A
/// host that was moved to a pool and hasn't served there yet isn't charged to that pool.
#[derive(Clone, Debug, Default)]
pub struct BudgetUsage<'a> {
    counts: BTreeMap<(PoolKey, BudgetScope<'a>), Count>,
    exceeded: BTreeSet<PoolKey>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    out: u32,
    unplanned: u32,
}

/// The pools whose budgets one host is charged to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Charge {
    declared: Option<PoolKey>,
    current: Option<PoolKey>,
}

impl Charge {
    /// Returns the charge of a host with the given record.
    pub(crate) fn of(fleet: &Fleet, host: &Host, record: &Record) -> Self {
        let current = fleet.pools.find(&record.pool);
        let is_home = current == Some(host.pool);
        let serves = record.step == Step::Serving;
        let is_spare = fleet.pools.get(host.pool).is_some_and(|pool| pool.spare);
        let is_absent = if is_spare {
            is_home && !record.arriving
        } else {
            !(is_home && serves)
        };
        Self {
            declared: (is_absent && !(is_home && serves)).then_some(host.pool),
            current: current.filter(|_| !is_home && !serves && !record.arriving),
        }
    }

    /// Returns the charged pools, the declared pool first.
    pub(crate) fn pools(self) -> impl Iterator<Item = PoolKey> {
        self.declared.into_iter().chain(self.current)
    }

    /// Returns the pools that are charged by `self` but not by `before`.
    pub(super) fn not_in(self, before: Self) -> impl Iterator<Item = PoolKey> {
        self.pools()
            .filter(move |pool| before.pools().all(|old| old != *pool))
    }
}

impl<'a> BudgetUsage<'a> {
    /// Adds a host with the given record to the counts of the pools to which it is
    /// charged.
    pub(super) fn charge(&mut self, fleet: &'a Fleet, key: HostKey, record: &Record) {
        let Some(host) = fleet.hosts.get(key) else {
            return;
        };
        for pool in Charge::of(fleet, host, record).pools() {
            self.count_host(fleet, pool, host, record.is_unplanned());
        }
    }

    /// Adds a host that is about to be drained to the counts of the pool.
    pub fn drain(&mut self, fleet: &'a Fleet, pool: PoolKey, key: HostKey) {
        if let Some(host) = fleet.hosts.get(key) {
            self.count_host(fleet, pool, host, false);
        }
    }

    /// Checks that the budgets of the pool allow one more of its hosts to be drained.
    ///
    /// # Errors
    ///
    /// Returns the [`Refusal`] that names the budget without room for the host, or
    /// [`Refusal::BudgetExceeded`] if another budget of the pool is exceeded.
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
        if self.exceeded.contains(&pool) {
            return Err(Refusal::BudgetExceeded(name()));
        }
        Ok(())
    }

    /// Returns the number of hosts of the pool that are out of service in a scope.
    pub fn out(&self, pool: PoolKey, scope: BudgetScope<'_>) -> u32 {
        self.count(pool, scope).out
    }

    /// Returns whether no host of the pool can be drained until an outage ends: a budget
    /// of the pool is exceeded, or unplanned outages alone use up the pool-wide budget.
    pub fn is_exhausted(&self, fleet: &Fleet, pool: PoolKey) -> bool {
        let budget = fleet.pools.get(pool).map_or(0, |pool| pool.budget.max_out);
        self.exceeded.contains(&pool)
            || self.count(pool, BudgetScope::Pool).unplanned >= budget
    }

    /// Returns the budgets that are exceeded, in order of pool and scope.
    pub fn violations(&self, fleet: &Fleet) -> Vec<BudgetViolation<'a>> {
        let to_violation =
            |(&(pool, scope), count): (&(PoolKey, BudgetScope<'a>), &Count)| {
                let max_out = max_out(fleet.pools.get(pool)?.budget, scope);
                (count.out > max_out).then_some(BudgetViolation {
                    pool,
                    scope,
                    out: count.out,
                    unplanned: count.unplanned,
                    max_out,
                })
            };
        self.counts.iter().filter_map(to_violation).collect()
    }

    /// Returns whether any budget of the pool is exceeded.
    pub fn is_exceeded(&self, pool: PoolKey) -> bool {
        self.exceeded.contains(&pool)
    }

    fn count(&self, pool: PoolKey, scope: BudgetScope<'_>) -> Count {
        self.counts.get(&(pool, scope)).copied().unwrap_or_default()
    }

    fn count_host(
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
                self.exceeded.insert(pool);
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

/// Returns the number of hosts of a pool that may be out of service in a scope at once.
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
