//! Vacates hosts whose pool holds them for late work while another pool can't serve jobs
//! that would be in time.
//!
//! Only idle hosts move. A pool with a backlog of late jobs never has one, because the
//! next late task starts as soon as another one ends. The backlog of one overload would
//! thus hold the hosts that the next burst needs, in another pool.

use std::collections::{BTreeMap, BTreeSet};

use super::Scheduler;
use super::balance::{Balance, Scope};
use super::hosts::{Host, HostState};
use crate::job::Resource;
use crate::time::Instant;

impl Scheduler {
    /// Chooses the hosts that receive no new work until the pools that are short for work
    /// in time have enough.
    pub(super) fn vacate_hosts(
        &mut self,
        now: Instant,
        balances: &BTreeMap<String, Balance>,
    ) {
        let mut wanted = self.missing_hosts(balances);
        let mut vacating = BTreeSet::new();
        if wanted > 0 {
            let mut balances = balances.clone();
            for (name, pool, capacity) in self.vacation_candidates(now) {
                let Some(balance) = balances.get_mut(&pool) else {
                    continue;
                };
                if wanted == 0 || !balance.can_spare(Scope::InTime, &capacity) {
                    continue;
                }
                balance.held.subtract(&capacity);
                wanted -= 1;
                vacating.insert(name);
            }
        }
        self.hosts.vacating = vacating;
        self.update_cordons();
    }

    /// Returns how many hosts the pools lack for work in time.
    fn missing_hosts(&self, balances: &BTreeMap<String, Balance>) -> u64 {
        let largest = &self.hosts.largest_capacity;
        let missing = |balance: &Balance| {
            let mut missing = balance.needed(Scope::InTime);
            missing.subtract(&balance.held);
            missing.whole_count(largest)
        };
        balances
            .values()
            .filter(|balance| balance.is_short(Scope::InTime))
            .map(missing)
            .sum()
    }

    /// Returns the hosts that may be vacated, those that are vacated already and those
    /// with the least work first, with their pools and capacities.
    fn vacation_candidates(&self, now: Instant) -> Vec<(String, String, Resource)> {
        let unusable = self.unusable_zones();
        let mut candidates: Vec<(bool, u64, &Host)> = self
            .hosts
            .list
            .values()
            .filter(|host| {
                host.state == HostState::Up
                    && self.hosts.accepts_orders(now, &host.name)
                    && !self.is_awaiting_maintenance(&host.name)
                    && !unusable.contains(host.zone.as_str())
            })
            .filter_map(|host| {
                let key = self.endpoint_of(&host.name)?;
                let is_chosen = self.hosts.vacating.contains(&host.name);
                (self.count_long_running(key) == 0)
                    .then(|| (!is_chosen, self.endpoints[key].used.cpu, host))
            })
            .collect();
        candidates.sort_by_key(|&(is_new, used, host)| (is_new, used, &host.name));
        candidates
            .into_iter()
            .map(|(_, _, host)| (host.name.clone(), host.pool.clone(), host.capacity))
            .collect()
    }
}
