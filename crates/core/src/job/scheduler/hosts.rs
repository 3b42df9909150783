//! Hosts as the platform lists them, and the orders for them that are on their way.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Scheduler;
use crate::job::endpoint::Contact;
use crate::job::{EndpointKey, Resource};
use crate::time::Instant;

/// Time after which a move without a sign of life is no longer counted on.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a host at the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostState {
    /// In its pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// In maintenance.
    Maintained,
    /// Failed.
    Down,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name, which stays across moves.
    pub name: String,
    /// Pool that it is in, or on its way to.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// What the platform does with it.
    pub state: HostState,
    /// What an endpoint on it can run.
    pub capacity: Resource,
    /// Identity of its endpoint, if one runs.
    pub endpoint: Option<String>,
}

/// An order to move a host to another pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// Name of the host.
    pub host: String,
    /// The pool to join.
    pub pool: String,
}

/// What is known of the hosts.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    pub(super) list: BTreeMap<String, Host>,
    /// Orders that the list may not show yet.
    pub(super) ordered: BTreeMap<String, Ordered>,
    /// The endpoint that each ordered host had.
    leaving: BTreeMap<String, EndpointKey>,
    /// Hosts that an earlier leader gave orders to, and when they may get the next.
    quiet_until: BTreeMap<String, Instant>,
}

/// An order for a host.
#[derive(Clone, Debug)]
pub(super) struct Ordered {
    pub(super) pool: String,
    pub(super) at: Instant,
}

impl Hosts {
    /// Returns whether an order for a host can't meet one of an earlier leader.
    pub(super) fn is_free(&self, now: Instant, host: &str) -> bool {
        !self.ordered.contains_key(host)
            && self.quiet_until.get(host).is_none_or(|&until| now >= until)
    }
}

impl Scheduler {
    /// Takes the platform's list of hosts, read at `asked`.
    pub fn set_hosts(&mut self, asked: Instant, hosts: Vec<Host>) {
        let ordered = &mut self.hosts.ordered;
        for host in &hosts {
            let seen = ordered.get(&host.name).is_some_and(|order| {
                order.pool == host.pool && host.state == HostState::Up && order.at < asked
            });
            if seen {
                ordered.remove(&host.name);
            }
        }
        ordered.retain(|_, order| asked.saturating_since(order.at) < MOVE_TIMEOUT);
        self.hosts.list = hosts
            .into_iter()
            .map(|host| (host.name.clone(), host))
            .collect();
    }

    /// Lets no order out before `until` for a host that an earlier leader gave an order to.
    pub fn keep_host_until(&mut self, host: &str, until: Instant) {
        self.hosts.quiet_until.insert(host.to_owned(), until);
    }

    /// Takes that an order for a host was refused or not sent.
    pub fn host_order_failed(&mut self, host: &str) {
        self.hosts.ordered.remove(host);
        self.hosts.leaving.remove(host);
    }

    /// Takes that an order for a host was accepted: whatever ran on it is over, although its
    /// endpoint stays registered for a while.
    pub fn host_left(&mut self, now: Instant, host: &str) {
        if let Some(key) = self.hosts.leaving.remove(host)
            && self.endpoints.contains_key(key)
        {
            self.end_life(now, key, "its host was taken away");
        }
    }

    /// Keeps new work off a host's endpoint, which an order is about to end.
    pub(super) fn mark_leaving(&mut self, host: &str) {
        if let Some(key) = self.endpoint_of(host) {
            self.endpoints[key].emptying = true;
            self.hosts.leaving.insert(host.to_owned(), key);
        }
    }

    pub(super) fn endpoint_of(&self, host: &str) -> Option<EndpointKey> {
        let id = self.hosts.list.get(host)?.endpoint.as_ref()?;
        self.by_id.get(id).copied()
    }

    /// Returns whether nothing has run on a host for a while, as far as is certain.
    pub(super) fn is_host_idle(&self, now: Instant, host: &Host, span: Duration) -> bool {
        let Some(id) = &host.endpoint else {
            return false;
        };
        let Some(endpoint) = self.by_id.get(id).map(|&key| &self.endpoints[key]) else {
            return false;
        };
        endpoint.is_idle()
            && endpoint.contact == Contact::Live
            && !endpoint.report.draining
            && now.saturating_since(endpoint.idle_since) >= span
    }
}
