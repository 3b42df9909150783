//! Lending of endpoint slots between entry hosts. Loans travel in heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::gate::Loan;
use rhubarbrill_peer::{Heartbeat, Slot};

use super::{Node, lock};

/// Loans that wait for the next heartbeat to their borrower, by the borrower's name.
pub(super) type Outbox = BTreeMap<String, Vec<Loan>>;

impl Node {
    /// Lends free slots to peers that reported waiting work.
    ///
    /// Loans that no heartbeat has carried since the last call are dropped. The lender
    /// has already subtracted them from its own slots, so a dropped loan is unused until
    /// its term ends and is never used twice.
    pub fn lend(&self) {
        let loans = self.engine().change(|gate, now| gate.lend(now));
        let mut outbox = Outbox::new();
        for loan in loans {
            outbox.entry(loan.to.clone()).or_default().push(loan);
        }
        *lock(&self.loans) = outbox;
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
        let loans = lock(&self.loans).remove(entry).unwrap_or_default();
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
