//! Entry hosts under each policy.

use std::collections::BTreeMap;

use rhubarbrill_core::fleet::HostKey;
use rhubarbrill_core::gate::{
    Gate, Loan, Members, Options, Outcome, Retry, Submission, Ticket, Usage,
};
use rhubarbrill_core::placement::Placement;
use rhubarbrill_core::route::{DivisibleEndpoint, Peer, SlotDivider};
use rhubarbrill_core::time::Instant;
use rhubarbrill_core::verdict::Verdict;

use crate::demand::Request;
use crate::deployment::{Deployment, MAX_WAITING};
use crate::fifo::Fifo;

/// Units of every workspace at every entry host, so that limits don't bind.
const FLOOR: u32 = 100_000;

/// Which decisions are measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// A gate per entry host.
    Gate,
    /// First come, first served, per entry host.
    Fifo,
    /// One queue per pool, urgent work first.
    Central,
}

/// One entry host under some policy.
#[derive(Debug)]
pub enum Entry {
    Gate(Box<Gated>),
    Fifo(Fifo),
}

/// A gate, with the requests of the script behind its tickets.
#[derive(Debug)]
pub struct Gated {
    gate: Gate,
    tickets: BTreeMap<usize, Ticket>,
    indices: BTreeMap<Ticket, usize>,
}

/// A request that is sent now.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    pub index: usize,
    pub host: HostKey,
}

/// What became of a failed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    Ended,
    Waits,
}

impl Entry {
    /// Returns the entry hosts of a deployment.
    pub fn all(deployment: &Deployment, policy: Policy, seed: u64) -> Vec<Self> {
        let count = deployment.members.len();
        let max_waiting = MAX_WAITING as usize / count;
        let fifo = |index, urgent_first| {
            let slots = parts(deployment, index);
            Self::Fifo(Fifo::new(slots, max_waiting, urgent_first))
        };
        match policy {
            Policy::Gate => (0..count)
                .map(|index| Self::Gate(Box::new(Gated::new(deployment, index, seed))))
                .collect(),
            Policy::Fifo => (0..count).map(|index| fifo(index, false)).collect(),
            Policy::Central => {
                vec![fifo(0, true)]
            }
        }
    }

    pub fn submit(
        &mut self,
        now: Instant,
        deployment: &Deployment,
        index: usize,
        request: &Request,
    ) -> bool {
        match self {
            Self::Gate(gated) => gated.submit(now, deployment, index, request),
            Self::Fifo(fifo) => fifo.submit(
                index as u64,
                request.service,
                request.class,
                request.deadline,
            ),
        }
    }

    pub fn next_start(&mut self, now: Instant) -> Option<Started> {
        match self {
            Self::Gate(gated) => {
                let start = gated.gate.next_start(now)?;
                let index = gated.indices[&start.ticket];
                let host = start.host;
                Some(Started { index, host })
            }
            Self::Fifo(fifo) => {
                let (index, host) = fifo.next_start()?;
                let index = index as usize;
                Some(Started { index, host })
            }
        }
    }

    pub fn finish(&mut self, now: Instant, index: usize, outcome: Outcome) {
        match self {
            Self::Gate(gated) => {
                if let Some(ticket) = gated.forget(index) {
                    gated.gate.finish(now, ticket, outcome);
                }
            }
            Self::Fifo(fifo) => fifo.finish(index as u64),
        }
    }

    pub fn retry(&mut self, now: Instant, index: usize, verdict: Verdict) -> Fate {
        match self {
            Self::Gate(gated) => gated.retry(now, index, verdict),
            Self::Fifo(fifo) => {
                fifo.finish(index as u64);
                Fate::Ended
            }
        }
    }

    pub fn expire(&mut self, now: Instant) -> Vec<usize> {
        match self {
            Self::Gate(gated) => gated.expire(now),
            Self::Fifo(fifo) => {
                let ids = fifo.expire(now);
                ids.into_iter().map(|id| id as usize).collect()
            }
        }
    }

    pub fn next_wake(&self) -> Option<Instant> {
        match self {
            Self::Gate(gated) => gated.gate.next_wake(),
            Self::Fifo(fifo) => fifo.next_wake(),
        }
    }

    pub fn usage(&self) -> Vec<Usage> {
        match self {
            Self::Gate(gated) => gated.gate.usage(),
            Self::Fifo(_) => Vec::new(),
        }
    }

    pub fn lend(&mut self, now: Instant) -> Vec<Loan> {
        match self {
            Self::Gate(gated) => gated.gate.lend(now),
            Self::Fifo(_) => Vec::new(),
        }
    }

    pub fn borrow(&mut self, now: Instant, loans: &[Loan]) {
        if let Self::Gate(gated) = self {
            gated.gate.borrow(now, loans);
        }
    }

    pub fn absorb(&mut self, now: Instant, member: &str, usage: Vec<Usage>) {
        if let Self::Gate(gated) = self {
            gated.gate.apply_usage_report(now, member, usage);
        }
    }
}

impl Gated {
    fn new(deployment: &Deployment, index: usize, seed: u64) -> Self {
        let seed = seed.wrapping_mul(1_000).wrapping_add(index as u64);
        let mut gate = Gate::new(Options::default().seed(seed));
        let placement = Placement::declared(&deployment.fleet);
        gate.reconfigure(&deployment.fleet, &placement, Instant::ZERO);
        gate.set_members(Members {
            this: deployment.members[index].clone(),
            live: deployment.members.clone(),
        });
        for &workspace in &deployment.workspaces {
            gate.holder_mut().set_floor(workspace, FLOOR);
        }
        Self {
            gate,
            tickets: BTreeMap::new(),
            indices: BTreeMap::new(),
        }
    }

    fn submit(
        &mut self,
        now: Instant,
        deployment: &Deployment,
        index: usize,
        request: &Request,
    ) -> bool {
        let ask = Submission {
            workspace: deployment.workspaces[request.workspace],
            queue: deployment.services[request.service].queue,
            class: request.class,
            deadline: request.deadline,
            repeatable: request.repeatable,
        };
        let Ok(ticket) = self.gate.submit(now, ask) else {
            return false;
        };
        self.tickets.insert(index, ticket);
        self.indices.insert(ticket, index);
        true
    }

    fn retry(&mut self, now: Instant, index: usize, verdict: Verdict) -> Fate {
        let Some(&ticket) = self.tickets.get(&index) else {
            return Fate::Ended;
        };
        match self.gate.retry(now, ticket, verdict) {
            Retry::Requeued => Fate::Waits,
            Retry::GiveUp(_) => {
                self.forget(index);
                Fate::Ended
            }
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<usize> {
        let expired = self.gate.expire(now);
        let indices: Vec<usize> = expired
            .iter()
            .filter_map(|one| self.indices.get(&one.ticket).copied())
            .collect();
        for &index in &indices {
            self.forget(index);
        }
        indices
    }

    fn forget(&mut self, index: usize) -> Option<Ticket> {
        let ticket = self.tickets.remove(&index)?;
        self.indices.remove(&ticket);
        Some(ticket)
    }
}

/// Returns an entry host's slots in each service's pool, one entry per slot.
fn parts(deployment: &Deployment, index: usize) -> Vec<Vec<HostKey>> {
    let peer = |member: &rhubarbrill_core::member::Member| Peer {
        entry: member.entry.clone(),
        zone: deployment.fleet.zones.find(&member.zone),
    };
    let peers: Vec<Peer> = deployment.members.iter().map(peer).collect();
    let divider = SlotDivider::new(peers[index].clone(), peers);
    let of_service = |(offset, service): (usize, &crate::deployment::Service)| {
        let hosts = deployment.fleet.hosts.iter();
        let hosts = hosts.filter(|(_, _, host)| host.pool == service.pool);
        let sites: Vec<DivisibleEndpoint> = hosts
            .map(|(key, _, host)| DivisibleEndpoint {
                host: key,
                zone: host.zone,
                slots: host.slots,
            })
            .collect();
        let units = divider.divide_slots(&sites, offset);
        let repeat = |(site, units): (&DivisibleEndpoint, u32)| {
            std::iter::repeat_n(site.host, units as usize)
        };
        sites.iter().zip(units).flat_map(repeat).collect()
    };
    deployment
        .services
        .iter()
        .enumerate()
        .map(of_service)
        .collect()
}
