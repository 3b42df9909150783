//! Limits what pools need to what the fleet holds.
//!
//! The needs of pools are estimates, and their sum may exceed the capacity of all hosts.
//! Moves for such needs would take hosts from one pool to another and back.

use std::collections::BTreeMap;

use super::balance::Balance;
use super::hosts::HostState;
use super::{Scheduler, SchedulerEvent};
use crate::job::Resource;

impl Scheduler {
    /// Limits the need of each pool, and that of all pools together, to what the fleet
    /// holds.
    ///
    /// Tasks that are running take their part first, so that no pool loses hosts that work
    /// in time occupies. Other work in time follows, then late work. Where the total of
    /// one kind exceeds what is left for it, each pool gets its proportional share.
    pub(super) fn limit_to_fleet(&mut self, balances: &mut BTreeMap<String, Balance>) {
        let fleet = self.fleet_capacity();
        let needed = total(balances.values().map(|balance| balance.needed));
        self.record_shortage(&needed, &fleet);
        let mut left = fleet;
        for kind in 0..Balance::default().layers().len() {
            let wanted = total(balances.values().map(|balance| balance.layers()[kind]));
            for balance in balances.values_mut() {
                let mut layers = balance.layers();
                layers[kind] = layers[kind].proportion_of(&left, &wanted);
                balance.set_layers(layers);
            }
            left.subtract(&wanted);
        }
    }

    /// Returns the capacity of all hosts that are in a pool or on their way to one, except
    /// those in evacuated zones.
    fn fleet_capacity(&self) -> Resource {
        let hosts = self.hosts.list.values();
        let usable = hosts.filter(|host| {
            matches!(host.state, HostState::Up | HostState::Moving)
                && !self.is_zone_evacuated(&host.zone)
        });
        total(usable.map(|host| host.capacity))
    }

    /// Records that the pools began or ceased to need more than the fleet holds.
    fn record_shortage(&mut self, needed: &Resource, fleet: &Resource) {
        let is_short = !needed.is_at_most(fleet);
        if is_short == self.hosts.is_fleet_short {
            return;
        }
        self.hosts.is_fleet_short = is_short;
        self.events.push(SchedulerEvent::FleetShortage {
            is_short,
            needed: *needed,
            held: *fleet,
        });
    }
}

/// Returns the sum of some amounts.
fn total(amounts: impl Iterator<Item = Resource>) -> Resource {
    let mut total = Resource::default();
    for amount in amounts {
        total.add(&amount);
    }
    total
}

impl Resource {
    /// Returns the part of this amount that its share of `total` yields of `available`, and
    /// the whole amount in each dimension in which `total` is available.
    fn proportion_of(&self, available: &Self, total: &Self) -> Self {
        let part = |amount: u64, available: u64, total: u64| {
            if total <= available {
                return amount;
            }
            let part = u128::from(amount) * u128::from(available) / u128::from(total);
            u64::try_from(part).unwrap_or(amount)
        };
        Self {
            cpu: part(self.cpu, available.cpu, total.cpu),
            memory_mb: part(self.memory_mb, available.memory_mb, total.memory_mb),
            gpu: part(self.gpu, available.gpu, total.gpu),
        }
    }
}
