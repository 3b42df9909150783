//! Short-term loans of slots between entry hosts.
//!
//! The division gives every entry host an equal part of a pool. An entry host without
//! waiting requests lends its free slots, except one, to entry hosts that have waiting
//! requests. The lender gives up its slots before it sends the loan. A lost message
//! therefore leaves slots unused until the loan ends, but never lets two entry hosts use
//! the same slot.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Gate;
use crate::fleet::{HostKey, PoolKey};
use crate::time::Instant;

/// How long a borrower may start work on a borrowed slot.
const TERM: Duration = Duration::from_millis(1_250);
/// Number of mean run times after the term for which the lender doesn't use the slot, so
/// that work started at the end of the term can finish. The borrower reports the mean,
/// because a lender that serves no requests itself doesn't know it.
const HOLD_RUN_TIMES: u32 = 2;
/// Free slots of a pool that aren't lent, for requests that arrive next.
const MIN_FREE_SLOTS: usize = 1;

/// A slot at an endpoint that is lent to another entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loan {
    /// Name of the borrowing entry host.
    pub to: String,
    /// The endpoint that the slot belongs to.
    pub host: HostKey,
    /// How long work may be started on the slot, counted from the receipt of the message.
    pub term: Duration,
}

/// Loans given and received, by the time they end.
#[derive(Clone, Debug, Default)]
pub(super) struct Loans {
    ends: BTreeMap<(Instant, u64), (HostKey, LoanKind)>,
    next: u64,
}

#[derive(Clone, Copy, Debug)]
enum LoanKind {
    Lent,
    Borrowed,
}

/// Entry hosts with waiting requests for one pool.
type Borrowers = Vec<Borrower>;

/// An entry host with waiting requests for one pool.
#[derive(Clone, Debug, Default)]
struct Borrower {
    entry: String,
    /// Number of slots that it may still borrow.
    wanted: u32,
    /// Mean run time that it reports; `None` if it reports none.
    run_time: Option<Duration>,
}

impl Loans {
    pub(super) fn next_wake(&self) -> Option<Instant> {
        self.ends.first_key_value().map(|(&(end, _), _)| end)
    }

    pub(super) fn clear(&mut self) {
        self.ends.clear();
    }

    fn insert(&mut self, end: Instant, host: HostKey, kind: LoanKind) {
        self.ends.insert((end, self.next), (host, kind));
        self.next += 1;
    }

    fn pop_expired(&mut self, now: Instant) -> Option<(HostKey, LoanKind)> {
        let entry = self.ends.first_entry()?;
        let expired = entry.key().0 <= now;
        expired.then(|| entry.remove())
    }
}

impl Gate {
    /// Lends free slots to the entry hosts that reported waiting requests.
    ///
    /// Call it with every usage report that is sent, and send each loan to its borrower.
    pub fn lend(&mut self, now: Instant) -> Vec<Loan> {
        let mut loans = Vec::new();
        for (pool, borrowers) in self.borrowers() {
            self.lend_from_pool(pool, borrowers, now, &mut loans);
        }
        loans
    }

    /// Adds slots that another entry host has lent to this one.
    pub fn borrow(&mut self, now: Instant, loans: &[Loan]) {
        for loan in loans {
            self.loans
                .insert(now + loan.term, loan.host, LoanKind::Borrowed);
            self.adjust_loans(loan.host, 0, 1);
        }
    }

    /// Ends the loans that are due at `now`.
    pub(super) fn end_loans(&mut self, now: Instant) {
        while let Some((host, kind)) = self.loans.pop_expired(now) {
            match kind {
                LoanKind::Lent => self.adjust_loans(host, -1, 0),
                LoanKind::Borrowed => self.adjust_loans(host, 0, -1),
            }
        }
    }

    fn lend_from_pool(
        &mut self,
        pool: PoolKey,
        mut borrowers: Borrowers,
        now: Instant,
        loans: &mut Vec<Loan>,
    ) {
        let Some(pool_state) = self.pools.get(pool) else {
            return;
        };
        if pool_state.fair_queue.waiting() > 0 {
            return;
        }
        let own_run_time = pool_state.fair_queue.run_time();
        for host in self.table.free_slots(pool, MIN_FREE_SLOTS) {
            let Some(borrower) = borrowers.last_mut() else {
                return;
            };
            let run_time = borrower.run_time.unwrap_or(own_run_time);
            let end = now + TERM + run_time * HOLD_RUN_TIMES;
            let to = borrower.entry.clone();
            borrower.wanted -= 1;
            if borrower.wanted == 0 {
                borrowers.pop();
            }
            let term = TERM;
            loans.push(Loan { to, host, term });
            self.loans.insert(end, host, LoanKind::Lent);
            self.adjust_loans(host, 1, 0);
        }
    }

    /// Returns the borrowers of each pool. As every lender computes this from the same
    /// reports, each covers only its fraction of the requested slots.
    fn borrowers(&self) -> BTreeMap<PoolKey, Borrowers> {
        let mut waiting: BTreeMap<PoolKey, BTreeMap<&str, Borrower>> = BTreeMap::new();
        for (member, row) in self.reports.rows() {
            if row.waiting > 0 {
                let members = waiting.entry(row.pool).or_default();
                let borrower = members.entry(member).or_default();
                borrower.wanted += row.waiting;
                borrower.run_time = borrower.run_time.max(row.run_time);
            }
        }
        let lenders = self.reports.count().max(1);
        let borrowers = |members: BTreeMap<&str, Borrower>| {
            let share = |(member, borrower): (&str, Borrower)| Borrower {
                entry: member.to_owned(),
                wanted: borrower.wanted.div_ceil(lenders),
                run_time: borrower.run_time,
            };
            let mut borrowers: Borrowers = members.into_iter().map(share).collect();
            borrowers.sort_by_key(|borrower| borrower.wanted);
            borrowers
        };
        waiting
            .into_iter()
            .map(|(pool, members)| (pool, borrowers(members)))
            .collect()
    }

    fn adjust_loans(&mut self, host: HostKey, lent: i32, borrowed: i32) {
        self.table
            .adjust_loans(host, lent, borrowed, self.monitor.state(host));
        self.ready.extend(self.table.pool(host));
    }
}
