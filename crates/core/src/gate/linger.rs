//! Lingering units: units of attempts that may still run at their endpoint.
//!
//! A closed connection doesn't show whether the endpoint stopped the work. The work may
//! go on until the run time given to the endpoint has passed. If its unit were reused
//! before that, the workspace could run more than its limit.

use std::collections::BTreeMap;
use std::time::Duration;

use super::request::Attempt;
use super::{Gate, Ticket};
use crate::fleet::WorkspaceKey;
use crate::time::Instant;

/// Margin for the endpoint to end a run after the entry host's clock says it must have
/// ended.
const END_GRACE: Duration = Duration::from_millis(500);

/// Occupied units by the time at which they become free.
#[derive(Clone, Debug, Default)]
pub(super) struct Lingering {
    units: BTreeMap<(Instant, WorkspaceKey), u32>,
}

impl Lingering {
    fn add(&mut self, until: Instant, workspace: WorkspaceKey) {
        *self.units.entry((until, workspace)).or_default() += 1;
    }

    fn pop_expired(&mut self, now: Instant) -> Option<(WorkspaceKey, u32)> {
        let entry = self.units.first_entry()?;
        let (until, workspace) = *entry.key();
        (until <= now).then(|| (workspace, entry.remove()))
    }

    pub(super) fn next_wake(&self) -> Option<Instant> {
        self.units.first_key_value().map(|(&(until, _), _)| until)
    }
}

impl Gate {
    /// Frees the slot of an attempt whose work may go on. The unit stays occupied, unless
    /// the queue's endpoints stop work when the connection closes.
    pub(super) fn abandon(&mut self, ticket: Ticket, attempt: Attempt, now: Instant) {
        let request = self.requests[ticket];
        let queue = self.queues.get(request.submission.queue);
        if queue.is_some_and(|queue| queue.stops_on_close) {
            return self.finish_attempt(ticket, attempt, now);
        }
        self.release_slot(ticket, attempt, now);
        self.lingering
            .add(attempt.until + END_GRACE, request.submission.workspace);
    }

    /// Frees the units of work that must have ended by `now`.
    pub(super) fn release_ended_units(&mut self, now: Instant) {
        while let Some((workspace, units)) = self.lingering.pop_expired(now) {
            for _ in 0..units {
                self.holder.finish(workspace);
            }
            self.unpark(workspace);
        }
    }
}
