//! Time-driven changes: deadlines and the expiry of reports, loans and ejections.

use super::{Expired, Gate, Reason};
use crate::time::Instant;

impl Gate {
    /// Returns the waiting requests that were rejected since the last call, including
    /// those whose deadline has passed at `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<Expired> {
        self.advance_to(now);
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let pool = self.requests[ticket].pool;
            if let Some(pool_state) = self.pools.get_mut(pool) {
                pool_state.forecast.record_late();
            }
            self.reject_waiting(ticket, Reason::DeadlinePassed);
        }
        std::mem::take(&mut self.expired)
    }

    /// Returns the time of the next change that is due to time alone.
    ///
    /// Call [`Gate::expire`] and [`Gate::next_start`] at that time.
    pub fn next_wake(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|&(deadline, _)| deadline);
        [
            deadline,
            self.unpark_at,
            self.monitor.next_wake(),
            self.reports.next_wake(),
            self.lingering.next_wake(),
            self.loans.next_wake(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Advances ejections, parked workspaces, usage reports, lingering units and loans to
    /// `now`.
    pub(super) fn advance_to(&mut self, now: Instant) {
        if self.unpark_at.is_some_and(|at| at <= now) {
            self.unpark_all();
        }
        for host in self.monitor.begin_probes(now) {
            self.table.update_candidacy(host, self.monitor.state(host));
            self.ready.extend(self.table.pool(host));
        }
        self.expire_reports(now);
        self.release_ended_units(now);
        self.end_loans(now);
    }
}
