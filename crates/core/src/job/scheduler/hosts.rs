//! Hosts as the platform lists them, and the orders for them that are in flight.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Scheduler;
use crate::job::endpoint::{Endpoint, Reachability};
use crate::job::order_rate::OrderRate;
use crate::job::{EndpointKey, Resource};
use crate::time::Instant;

/// Time after which a move that has shown no effect is considered lost.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a host on the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostState {
    /// Available in its pool.
    Up,
    /// Being moved to another pool.
    Moving,
    /// In maintenance.
    Maintained,
    /// Failed.
    Down,
}

/// A host as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name of the host, which stays the same when it moves.
    pub name: String,
    /// Name of the pool that it belongs to or is being moved to.
    pub pool: String,
    /// Name of its availability zone.
    pub zone: String,
    /// State on the platform.
    pub state: HostState,
    /// Resources that an endpoint on the host provides.
    pub capacity: Resource,
    /// Identity of the endpoint on the host; `None` if none is running.
    pub endpoint: Option<String>,
}

/// An order to move a host to another pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// Name of the host.
    pub host: String,
    /// Name of the pool that it joins.
    pub pool: String,
}

/// The platform's hosts and the orders issued for them.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    pub(super) list: BTreeMap<String, Host>,
    /// Largest capacity that any host has, in each dimension.
    pub(super) largest_capacity: Resource,
    /// Move orders whose effect the list may not show yet, by host.
    pub(super) move_orders: BTreeMap<String, MoveOrder>,
    /// Hosts that receive no new work, so that they become idle and can move to a pool that
    /// is short of capacity.
    pub(super) vacating: BTreeSet<String>,
    /// Endpoints of the hosts that are subject to an order.
    leaving_endpoints: BTreeMap<String, EndpointKey>,
    /// Time before which no order may be issued for a host, as an order of an earlier
    /// leader may still take effect.
    blocked_until: BTreeMap<String, Instant>,
    /// Limit on the orders that are issued.
    pub(super) order_rate: OrderRate,
    /// Whether pools need more than the fleet holds.
    pub(super) is_fleet_short: bool,
}

/// An order to move a host.
#[derive(Clone, Debug)]
pub(super) struct MoveOrder {
    pub(super) pool: String,
    pub(super) at: Instant,
}

impl Hosts {
    /// Returns an empty list of hosts, with a limit on the orders issued in a second.
    pub(super) fn new(orders_per_second: Option<u32>) -> Self {
        Self {
            order_rate: OrderRate::new(orders_per_second),
            ..Self::default()
        }
    }

    /// Returns whether no order, of this leader or an earlier one, is outstanding for a
    /// host.
    pub(super) fn accepts_orders(&self, now: Instant, host: &str) -> bool {
        !self.move_orders.contains_key(host)
            && self
                .blocked_until
                .get(host)
                .is_none_or(|&until| now >= until)
    }

    /// Returns whether an order was issued that terminates an endpoint.
    pub(super) fn is_ordered_away(&self, key: EndpointKey) -> bool {
        let mut leaving = self.leaving_endpoints.values();
        leaving.any(|&leaving| leaving == key)
    }
}

impl Scheduler {
    /// Replaces the list of hosts with one that was requested from the platform at
    /// `asked`.
    pub fn set_hosts(&mut self, now: Instant, asked: Instant, hosts: Vec<Host>) {
        self.end_unlisted_incarnations(now, asked, &hosts);
        let move_orders = &mut self.hosts.move_orders;
        for host in &hosts {
            let seen = move_orders.get(&host.name).is_some_and(|order| {
                order.pool == host.pool && host.state == HostState::Up && order.at < asked
            });
            if seen {
                move_orders.remove(&host.name);
            }
        }
        move_orders.retain(|_, order| asked.saturating_since(order.at) < MOVE_TIMEOUT);
        self.hosts.largest_capacity =
            hosts.iter().fold(Resource::default(), |largest, host| {
                largest.max(&host.capacity)
            });
        self.hosts.list = hosts
            .into_iter()
            .map(|host| (host.name.clone(), host))
            .collect();
    }

    /// Blocks orders until `until` for a host that an earlier leader issued an order for.
    pub fn block_host_orders_until(&mut self, host: &str, until: Instant) {
        self.hosts.blocked_until.insert(host.to_owned(), until);
    }

    /// Records that an order for a host was refused or not sent.
    pub fn handle_host_order_failed(&mut self, host: &str) {
        self.hosts.move_orders.remove(host);
        self.hosts.leaving_endpoints.remove(host);
    }

    /// Records that an order for a host was accepted. All runs on the host have ended,
    /// although its endpoint stays registered for a while.
    pub fn handle_host_order_accepted(&mut self, now: Instant, host: &str) {
        if let Some(&key) = self.hosts.leaving_endpoints.get(host)
            && self.endpoints.contains_key(key)
        {
            self.end_incarnation(now, key, "its host is being moved or maintained");
        }
        self.hosts.leaving_endpoints.remove(host);
    }

    /// Keeps new runs off the endpoint of a host, which an order is about to terminate.
    pub(super) fn mark_leaving(&mut self, host: &str) {
        if let Some(key) = self.endpoint_of(host) {
            self.endpoints[key].cordoned = true;
            self.hosts.leaving_endpoints.insert(host.to_owned(), key);
        }
    }

    pub(super) fn endpoint_of(&self, host: &str) -> Option<EndpointKey> {
        let id = self.hosts.list.get(host)?.endpoint.as_ref()?;
        self.endpoints_by_id.get(id).copied()
    }

    /// Returns since when an idle endpoint could have received tasks. While the leader is
    /// uncertain, every endpoint becomes idle.
    fn usable_since(&self, endpoint: &Endpoint) -> Instant {
        let certain_since = self.certain_since.unwrap_or_default();
        endpoint.idle_since.max(certain_since)
    }

    /// Returns whether a host is known to have been idle for at least `span`, in which the
    /// leader could have started tasks on it.
    pub(super) fn is_host_idle(&self, now: Instant, host: &Host, span: Duration) -> bool {
        let Some(id) = &host.endpoint else {
            return false;
        };
        let Some(endpoint) = self
            .endpoints_by_id
            .get(id)
            .map(|&key| &self.endpoints[key])
        else {
            return false;
        };
        endpoint.is_idle()
            && endpoint.reachability == Reachability::Reachable
            && !endpoint.registration.draining
            && now.saturating_since(self.usable_since(endpoint)) >= span
    }
}
