//! Simulated entry hosts under each policy.

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

/// Allowance units that every workspace holds at every entry host without expiry, so many
/// that workspace limits never bind.
const WORKSPACE_FLOOR: u32 = 100_000;

/// Scheduling policy of the entry hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// A gate on each entry host.
    Gate,
    /// First come, first served on each entry host, with a fixed part of the slots.
    Fifo,
    /// A single entry host with one queue per pool, which starts urgent requests first.
    Central,
}

/// An entry host under one of the policies.
///
/// Requests are given by their index in the generated demand.
#[derive(Debug)]
pub enum EntryHost {
    Gate(Box<GateEntryHost>),
    Fifo(Fifo),
}

/// A gate with the mapping between its tickets and request indices.
#[derive(Debug)]
pub struct GateEntryHost {
    gate: Gate,
    tickets: BTreeMap<usize, Ticket>,
    indices: BTreeMap<Ticket, usize>,
}

/// A request that an entry host sends now, and the host it is sent to.
#[derive(Clone, Copy, Debug)]
pub struct StartedRequest {
    pub index: usize,
    pub host: HostKey,
}

/// What happens to a request after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryOutcome {
    /// The request has ended.
    Ended,
    /// The request waits for another attempt.
    Requeued,
}

impl EntryHost {
    /// Returns the entry hosts of a deployment under a policy; just one for `Central`.
    pub fn build_all(deployment: &Deployment, policy: Policy, seed: u64) -> Vec<Self> {
        let count = deployment.members.len();
        let max_waiting = MAX_WAITING as usize / count;
        let fifo = |index, urgent_first| {
            let slots = slots_by_service(deployment, index);
            Self::Fifo(Fifo::new(slots, max_waiting, urgent_first))
        };
        match policy {
            Policy::Gate => (0..count)
                .map(|index| {
                    Self::Gate(Box::new(GateEntryHost::new(deployment, index, seed)))
                })
                .collect(),
            Policy::Fifo => (0..count).map(|index| fifo(index, false)).collect(),
            Policy::Central => {
                vec![fifo(0, true)]
            }
        }
    }

    /// Submits a request and returns whether it was admitted.
    pub fn submit(
        &mut self,
        now: Instant,
        deployment: &Deployment,
        index: usize,
        request: &Request,
    ) -> bool {
        match self {
            Self::Gate(gate_host) => gate_host.submit(now, deployment, index, request),
            Self::Fifo(fifo) => fifo.submit(
                index as u64,
                request.service,
                request.class,
                request.deadline,
            ),
        }
    }

    /// Starts the next request for which a slot is free.
    pub fn next_start(&mut self, now: Instant) -> Option<StartedRequest> {
        match self {
            Self::Gate(gate_host) => {
                let start = gate_host.gate.next_start(now)?;
                let index = gate_host.indices[&start.ticket];
                let host = start.host;
                Some(StartedRequest { index, host })
            }
            Self::Fifo(fifo) => {
                let (index, host) = fifo.next_start()?;
                let index = index as usize;
                Some(StartedRequest { index, host })
            }
        }
    }

    /// Ends a request with the outcome of its last attempt.
    pub fn finish(&mut self, now: Instant, index: usize, outcome: Outcome) {
        match self {
            Self::Gate(gate_host) => {
                if let Some(ticket) = gate_host.remove_ticket(index) {
                    gate_host.gate.finish(now, ticket, outcome);
                }
            }
            Self::Fifo(fifo) => fifo.finish(index as u64),
        }
    }

    /// Decides whether a request is retried after a failed attempt; `Fifo` never retries.
    pub fn retry(
        &mut self,
        now: Instant,
        index: usize,
        verdict: Verdict,
    ) -> RetryOutcome {
        match self {
            Self::Gate(gate_host) => gate_host.retry(now, index, verdict),
            Self::Fifo(fifo) => {
                fifo.finish(index as u64);
                RetryOutcome::Ended
            }
        }
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<usize> {
        match self {
            Self::Gate(gate_host) => gate_host.expire(now),
            Self::Fifo(fifo) => {
                let ids = fifo.expire(now);
                ids.into_iter().map(|id| id as usize).collect()
            }
        }
    }

    /// Returns the time at which the entry host next has to act without other events.
    pub fn next_wake(&self) -> Option<Instant> {
        match self {
            Self::Gate(gate_host) => gate_host.gate.next_wake(),
            Self::Fifo(fifo) => fifo.next_wake(),
        }
    }

    /// Returns the rows of the usage report; `Fifo` reports none.
    pub fn usage(&self) -> Vec<Usage> {
        match self {
            Self::Gate(gate_host) => gate_host.gate.usage(),
            Self::Fifo(_) => Vec::new(),
        }
    }

    /// Lends free slots to other entry hosts; `Fifo` lends none.
    pub fn lend(&mut self, now: Instant) -> Vec<Loan> {
        match self {
            Self::Gate(gate_host) => gate_host.gate.lend(now),
            Self::Fifo(_) => Vec::new(),
        }
    }

    /// Adds the slots lent by another entry host.
    pub fn borrow(&mut self, now: Instant, loans: &[Loan]) {
        if let Self::Gate(gate_host) = self {
            gate_host.gate.borrow(now, loans);
        }
    }

    /// Takes the usage report of another entry host into account.
    pub fn apply_usage_report(&mut self, now: Instant, member: &str, usage: Vec<Usage>) {
        if let Self::Gate(gate_host) = self {
            gate_host.gate.apply_usage_report(now, member, usage);
        }
    }
}

impl GateEntryHost {
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
            gate.holder_mut().set_floor(workspace, WORKSPACE_FLOOR);
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
        let submission = Submission {
            workspace: deployment.workspaces[request.workspace],
            queue: deployment.services[request.service].queue,
            class: request.class,
            deadline: request.deadline,
            repeatable: request.repeatable,
        };
        let Ok(ticket) = self.gate.submit(now, submission) else {
            return false;
        };
        self.tickets.insert(index, ticket);
        self.indices.insert(ticket, index);
        true
    }

    fn retry(&mut self, now: Instant, index: usize, verdict: Verdict) -> RetryOutcome {
        let Some(&ticket) = self.tickets.get(&index) else {
            return RetryOutcome::Ended;
        };
        match self.gate.retry(now, ticket, verdict) {
            Retry::Requeued => RetryOutcome::Requeued,
            Retry::GiveUp(_) => {
                self.remove_ticket(index);
                RetryOutcome::Ended
            }
        }
    }

    fn expire(&mut self, now: Instant) -> Vec<usize> {
        let expired = self.gate.expire(now);
        let indices: Vec<usize> = expired
            .iter()
            .filter_map(|expired_request| {
                self.indices.get(&expired_request.ticket).copied()
            })
            .collect();
        for &index in &indices {
            self.remove_ticket(index);
        }
        indices
    }

    /// Removes the mapping of a request and returns its ticket.
    fn remove_ticket(&mut self, index: usize) -> Option<Ticket> {
        let ticket = self.tickets.remove(&index)?;
        self.indices.remove(&ticket);
        Some(ticket)
    }
}

/// Returns an entry host's slots in each service's pool; a host appears once per slot.
fn slots_by_service(deployment: &Deployment, index: usize) -> Vec<Vec<HostKey>> {
    let peer = |member: &rhubarbrill_core::member::Member| Peer {
        entry: member.entry.clone(),
        zone: deployment.fleet.zones.find(&member.zone),
    };
    let peers: Vec<Peer> = deployment.members.iter().map(peer).collect();
    let divider = SlotDivider::new(peers[index].clone(), peers);
    let service_slots = |(offset, service): (usize, &crate::deployment::Service)| {
        let hosts = deployment.fleet.hosts.iter();
        let hosts = hosts.filter(|(_, _, host)| host.pool == service.pool);
        let endpoints: Vec<DivisibleEndpoint> = hosts
            .map(|(key, _, host)| DivisibleEndpoint {
                host: key,
                zone: host.zone,
                slots: host.slots,
            })
            .collect();
        let slot_counts = divider.divide_slots(&endpoints, offset);
        let repeat_host = |(endpoint, slots): (&DivisibleEndpoint, u32)| {
            std::iter::repeat_n(endpoint.host, slots as usize)
        };
        endpoints
            .iter()
            .zip(slot_counts)
            .flat_map(repeat_host)
            .collect()
    };
    deployment
        .services
        .iter()
        .enumerate()
        .map(service_slots)
        .collect()
}
