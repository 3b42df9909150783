//! Gathers evidence that leaving hosts have no more requests.

use std::collections::{BTreeMap, BTreeSet};

use rhubarbrill_core::maintenance::{Command, DrainReport, Evidence, Ledger, Step};
use rhubarbrill_core::member::{Member, Peer};
use rhubarbrill_core::time::Instant;

use crate::control::Node;

/// The leaving hosts, as observed by one planner.
#[derive(Debug, Default)]
pub(super) struct Drains {
    hosts: BTreeMap<String, Drain>,
}

#[derive(Debug)]
struct Drain {
    since: u64,
    first_read: Instant,
    /// Entry hosts that may still have requests on the host.
    members: BTreeSet<Member>,
}

impl Drains {
    /// Returns the drains that had already begun when this planner took over.
    ///
    /// The member record of an entry host may have expired before this planner took over,
    /// so that the planner doesn't know of it. Each drain therefore includes a
    /// placeholder member that never reports, which forces the planner to wait for the
    /// full grace period.
    pub(super) fn inherit(ledger: &Ledger, now: Instant) -> Self {
        let unknown = Member {
            entry: String::new(),
            zone: String::new(),
            incarnation: 0,
        };
        let mut drains = Self::default();
        drains.observe(ledger, &BTreeSet::from([unknown]), now);
        drains
    }

    /// Records the leaving hosts and the entry hosts that may still have requests on
    /// them.
    pub(super) fn observe(
        &mut self,
        ledger: &Ledger,
        members: &BTreeSet<Member>,
        now: Instant,
    ) {
        self.hosts
            .retain(|host, drain| ledger.leaving_since(host) == Some(drain.since));
        for (host, record) in ledger.records() {
            let Step::Leaving { since } = record.step else {
                continue;
            };
            let drain = self.hosts.entry(host.to_owned()).or_insert_with(|| Drain {
                since,
                first_read: now,
                members: BTreeSet::new(),
            });
            drain.members.extend(members.iter().cloned());
        }
    }

    /// Returns a confirmation command for each host. The ledger rejects the command until
    /// the evidence is sufficient.
    pub(super) fn confirmations(&self, node: &Node, now: Instant) -> Vec<Command> {
        let confirm = |(host, drain): (&String, &Drain)| Command::ConfirmDrained {
            host: host.clone(),
            evidence: drain.evidence(node, host, now),
        };
        self.hosts.iter().map(confirm).collect()
    }
}

impl Drain {
    fn evidence(&self, node: &Node, host: &str, now: Instant) -> Evidence {
        let evidence = Evidence::after(now.saturating_since(self.first_read));
        self.members.iter().fold(evidence, |evidence, member| {
            evidence.with(member.clone(), report(node, host, member, now))
        })
    }
}

/// Returns what the entry host `member` reports about its requests on a leaving host.
fn report(node: &Node, host: &str, member: &Member, now: Instant) -> DrainReport {
    if member == node.member() {
        return own_report(node, host);
    }
    node.roster(|roster| {
        let peer = roster.peer(&member.entry);
        peer.filter(|peer| peer.member == *member && roster.is_live(peer, now))
            .map_or(DrainReport::NoAnswer, |peer| peer_report(peer, host))
    })
}

fn peer_report(peer: &Peer, host: &str) -> DrainReport {
    match peer.residents.contains(host) {
        true => DrainReport::Busy,
        false => DrainReport::Idle {
            generation: peer.ledger,
        },
    }
}

fn own_report(node: &Node, host: &str) -> DrainReport {
    // The generation is read first: once it is applied, this entry host sends no more
    // requests to the leaving host.
    let generation = node.versions().1;
    let key = node.revision().fleet.hosts.find(host);
    let running = key.map_or(0, |key| node.engine().read(|gate, _| gate.running(key)));
    match running {
        0 => DrainReport::Idle { generation },
        _ => DrainReport::Busy,
    }
}
