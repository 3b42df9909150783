//! Loans of slots that wait for a message to their borrowers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Loan;
use crate::time::Instant;

/// Shortest remaining term of a loan that is still sent. A shorter one would end before
/// the borrower can use it.
const MIN_TERM: Duration = Duration::from_millis(100);

/// Loans that no message has carried yet, by the borrower's name.
///
/// The lender gives up a slot when it grants the loan, so a loan that misses one message
/// goes with the next one, with the rest of its term. If it were dropped, neither entry
/// host would use the slot until the loan ends.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    pending: BTreeMap<String, Vec<Pending>>,
}

/// A loan, and when its term began at the lender.
#[derive(Clone, Debug)]
struct Pending {
    loan: Loan,
    granted_at: Instant,
}

impl Pending {
    /// Returns the loan with the rest of its term, or `None` if that is too short to be
    /// of use.
    fn remaining(&self, now: Instant) -> Option<Loan> {
        let passed = now.saturating_since(self.granted_at);
        let term = self.loan.term.saturating_sub(passed);
        (term >= MIN_TERM).then(|| Loan {
            term,
            ..self.loan.clone()
        })
    }
}

impl Outbox {
    /// Adds loans that were granted now, and removes those whose terms have ended.
    pub fn add(&mut self, now: Instant, loans: Vec<Loan>) {
        for pending in self.pending.values_mut() {
            pending.retain(|pending| pending.remaining(now).is_some());
        }
        self.pending.retain(|_, pending| !pending.is_empty());
        for loan in loans {
            let granted_at = now;
            let pending = Pending { loan, granted_at };
            let borrower = pending.loan.to.clone();
            self.pending.entry(borrower).or_default().push(pending);
        }
    }

    /// Removes and returns the loans to the entry host named `borrower`, for a message
    /// that is sent now.
    pub fn take(&mut self, now: Instant, borrower: &str) -> Vec<Loan> {
        let pending = self.pending.remove(borrower).unwrap_or_default();
        pending
            .iter()
            .filter_map(|pending| pending.remaining(now))
            .collect()
    }
}
