//! Lending of endpoint slots between entry hosts. Loans travel in heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::gate::Loan;
use rhubarbrill_peer::{Heartbeat, Slot};

use super::{Node, lock};

impl Node {
    /// Lends free slots to peers that reported waiting work. The loans go with the next
    /// heartbeat to each borrower.
    pub fn lend(&self) {
        let (now, loans) = self.engine().change(|gate, now| (now, gate.lend(now)));
        lock(&self.loans).add(now, loans);
    }

    /// Returns the heartbeat for the peer at `address`, including loans to it.
    pub fn heartbeat_to(&self, address: SocketAddr) -> Heartbeat {
        let entry = self.roster(|roster| {
            let found = roster.peers().find(|peer| peer.address == address);
            found.map(|peer| peer.member.entry.clone())
        });
        match entry {
            Some(entry) => self.heartbeat_for(&entry),
            None => self.heartbeat(),
        }
    }

    /// Returns the heartbeat for the entry host named `entry`, including loans to it.
    pub(super) fn heartbeat_for(&self, entry: &str) -> Heartbeat {
        let now = self.engine().clock().now();
        let loans = lock(&self.loans).take(now, entry);
        let revision = self.revision();
        let slot = |loan: &Loan| slot(&revision.fleet, loan);
        Heartbeat {
            slots: loans.iter().filter_map(slot).collect(),
            ..self.heartbeat()
        }
    }

    /// Adds the slots that a peer lends to this entry host in a heartbeat.
    pub(super) fn borrow(&self, slots: &[Slot]) {
        if slots.is_empty() {
            return;
        }
        let revision = self.revision();
        let loan = |slot: &Slot| {
            Some(Loan {
                to: self.member().entry.clone(),
                host: revision.fleet.hosts.find(&slot.host)?,
                term: Duration::from_millis(slot.term_ms),
            })
        };
        let loans: Vec<Loan> = slots.iter().filter_map(loan).collect();
        self.engine().change(|gate, now| gate.borrow(now, &loans));
    }
}

fn slot(fleet: &Fleet, loan: &Loan) -> Option<Slot> {
    Some(Slot {
        host: fleet.hosts.name(loan.host)?.to_owned(),
        term_ms: u64::try_from(loan.term.as_millis()).ok()?,
    })
}
