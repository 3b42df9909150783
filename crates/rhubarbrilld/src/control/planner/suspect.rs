//! Detects failed hosts from the ejections that entry hosts report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Ledger, Step};
use rhubarbrill_core::time::Instant;

use super::probe;
use crate::control::Node;

/// Time for which a host must be suspected without interruption to count as failed.
const MIN_EJECTION: Duration = Duration::from_secs(5);

/// Shortest time that a host counts as failed. Doubles with each repeated failure.
const MIN_FAILURE: Duration = Duration::from_secs(2);

/// Maximum number of doublings of [`MIN_FAILURE`].
const MAX_DOUBLINGS: u32 = 7;

/// Hosts that are suspected to be down, and the failures recorded in the ledger.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    suspects: BTreeMap<String, Instant>,
    failures: BTreeMap<String, Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    since: Instant,
    previous: u32,
    has_ended: bool,
}

impl Suspects {
    /// Records the ejections by this entry host and its live peers, and the failures in
    /// the ledger.
    pub(super) fn observe(&mut self, node: &Node, ledger: &Ledger, now: Instant) {
        let suspects = suspects(node, now);
        self.suspects.retain(|host, _| suspects.contains(host));
        for host in suspects {
            self.suspects.entry(host).or_insert(now);
        }
        self.observe_failures(ledger, now);
    }

    /// Returns whether the host has been suspected for at least [`MIN_EJECTION`].
    pub(super) fn has_failed(&self, host: &str, now: Instant) -> bool {
        self.suspects
            .get(host)
            .is_some_and(|&since| now.saturating_since(since) >= MIN_EJECTION)
    }

    /// Returns whether a failed host that is reachable again has been out of service for
    /// long enough.
    pub(super) fn may_return(&self, host: &str, now: Instant) -> bool {
        self.failures.get(host).is_some_and(|failure| {
            let min_duration = MIN_FAILURE * (1 << failure.previous.min(MAX_DOUBLINGS));
            now.saturating_since(failure.since) >= min_duration
        })
    }

    fn observe_failures(&mut self, ledger: &Ledger, now: Instant) {
        let has_failed = |host: &str| {
            let record = ledger.record(host);
            record.is_some_and(|record| record.step == Step::Failed)
        };
        for (host, failure) in &mut self.failures {
            failure.has_ended |= !has_failed(host);
        }
        let failed = ledger.records().filter(|(host, _)| has_failed(host));
        for (host, _) in failed {
            let first = Failure {
                since: now,
                previous: 0,
                has_ended: false,
            };
            let failure = self.failures.entry(host.to_owned()).or_insert(first);
            if failure.has_ended {
                let previous = failure.previous + 1;
                *failure = Failure { previous, ..first };
            }
        }
    }
}

/// Returns the hosts that are suspected to be down.
///
/// A host is suspected if every entry host has ejected it. It is also suspected if an
/// entry host of its own zone has ejected it and it accepts no connection from here,
/// because an entry host without requests never ejects a host.
fn suspects(node: &Node, now: Instant) -> BTreeSet<String> {
    let revision = node.revision();
    let fleet = &revision.fleet;
    let votes = votes(node, fleet, now);
    let ejected: BTreeSet<&String> =
        votes.iter().flat_map(|vote| &vote.ejected).collect();
    let addresses = ejected.iter().filter_map(|host| {
        let key = fleet.hosts.find(host)?;
        Some((host.as_str(), fleet.hosts.get(key)?.address))
    });
    let reachable = probe::reachable(addresses.collect());
    let is_suspect = |host: &&&String| {
        let zone = zone_of(fleet, host);
        let of_zone = |vote: &Vote| Some(vote.zone.as_str()) == zone;
        let ejects = |vote: &Vote| vote.ejected.contains(**host);
        let is_unreachable = !reachable.contains(host.as_str());
        votes.iter().all(ejects)
            || (is_unreachable && votes.iter().any(|vote| of_zone(vote) && ejects(vote)))
    };
    ejected
        .iter()
        .filter(is_suspect)
        .map(|host| (*host).clone())
        .collect()
}

/// The ejections that one entry host reports.
#[derive(Debug)]
struct Vote {
    zone: String,
    ejected: BTreeSet<String>,
}

fn votes(node: &Node, fleet: &Fleet, now: Instant) -> Vec<Vote> {
    let own = Vote {
        zone: node.member().zone.clone(),
        ejected: node.ejected(fleet).into_iter().collect(),
    };
    node.roster(|roster| {
        let peers = roster.live(now).map(|peer| Vote {
            zone: peer.member.zone.clone(),
            ejected: peer.ejected.clone(),
        });
        peers.chain([own]).collect()
    })
}

fn zone_of<'a>(fleet: &'a Fleet, host: &str) -> Option<&'a str> {
    let host = fleet.hosts.get(fleet.hosts.find(host)?)?;
    fleet.zones.name(host.zone)
}
