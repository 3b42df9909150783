//! The platform's list of hosts, as last read.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrill_config::settings::Hosts;
use rhubarbrill_core::maintenance::Step;
use rhubarbrill_core::time::Instant;
use rhubarbrill_edge::hosts::{Listing, Reader, State};
use rhubarbrill_event::Event;

use crate::control::Node;
use crate::log;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a rebooting host counts as rebooted although the list never showed it
/// as gone or leaving.
///
/// An entry host that started after the host was absent can't know that it was.
const MISSED_REBOOT_TIMEOUT: Duration = Duration::from_secs(900);

/// The platform's list of hosts, as last read.
#[derive(Debug)]
pub(super) struct HostList {
    source: Option<Source>,
    states: BTreeMap<String, State>,
    reboots: BTreeMap<String, Reboot>,
}

#[derive(Debug)]
struct Source {
    reader: Reader,
    interval: Duration,
    last_read: Option<Instant>,
    is_down: bool,
}

/// A reboot in progress.
#[derive(Clone, Copy, Debug)]
struct Reboot {
    since: Instant,
    was_absent: bool,
}

impl HostList {
    /// Returns an empty list. Without settings, no list is ever read.
    pub(super) fn new(hosts: Option<Hosts>) -> Self {
        let source = hosts.map(|hosts| Source {
            reader: Reader::new(hosts.url).with_timeout(READ_TIMEOUT),
            interval: hosts.interval,
            last_read: None,
            is_down: false,
        });
        Self {
            source,
            states: BTreeMap::new(),
            reboots: BTreeMap::new(),
        }
    }

    /// Returns the time between two reads, or [`Duration::MAX`] without settings.
    pub(super) fn interval(&self) -> Duration {
        self.source
            .as_ref()
            .map_or(Duration::MAX, |source| source.interval)
    }

    /// Reads the list if a read is due, and keeps the previous one if the read fails.
    ///
    /// Every entry host reads the list, not only the planner, so that a new planner knows
    /// which hosts were absent.
    pub(super) fn refresh(&mut self, node: &Node) {
        let now = node.engine().clock().now();
        if let Some(listing) = self.source.as_mut().and_then(|list| list.read(node, now))
        {
            let states = listing.hosts.into_iter();
            self.states = states.map(|host| (host.name, host.state)).collect();
        }
        let rebooting: Vec<String> = node.with_applied(|applied| {
            let records = applied.ledger().records();
            records
                .filter(|(_, record)| record.step == Step::Rebooting)
                .map(|(host, _)| host.to_owned())
                .collect()
        });
        self.record_reboots(rebooting, now);
    }

    /// Returns the state of a host in the list, or `None` if the list doesn't contain it.
    pub(super) fn state(&self, host: &str) -> Option<State> {
        self.states.get(host).copied()
    }

    /// Returns whether a rebooted host is back according to the list.
    ///
    /// Without a configured list, every host is considered to be back.
    pub(super) fn is_back(&self, host: &str, now: Instant) -> bool {
        let Some(state) = self.state(host) else {
            return self.source.is_none();
        };
        let rebooted = self.reboots.get(host).is_some_and(|reboot| {
            reboot.was_absent
                || now.saturating_since(reboot.since) >= MISSED_REBOOT_TIMEOUT
        });
        state == State::Live && rebooted
    }

    fn record_reboots(&mut self, rebooting: Vec<String>, now: Instant) {
        self.reboots.retain(|host, _| rebooting.contains(host));
        for host in rebooting {
            let is_absent =
                matches!(self.state(&host), Some(State::Gone | State::Leaving));
            let reboot = self.reboots.entry(host).or_insert(Reboot {
                since: now,
                was_absent: false,
            });
            reboot.was_absent |= is_absent;
        }
    }
}

impl Source {
    fn read(&mut self, node: &Node, now: Instant) -> Option<Listing> {
        let is_due = self
            .last_read
            .is_none_or(|last_read| now.saturating_since(last_read) >= self.interval);
        if !is_due {
            return None;
        }
        self.last_read = Some(now);
        match self.reader.read() {
            Ok(listing) => {
                self.is_down = false;
                Some(listing)
            }
            Err(error) => {
                if !self.is_down {
                    log::event(node.log(), Event::PlatformListUnreachable, error);
                }
                self.is_down = true;
                None
            }
        }
    }
}
