//! Units of attempts whose end at the endpoint nobody has seen.
//!
//! A connection that closes doesn't tell whether the endpoint stopped. Until the run time
//! it was given has passed, the work may go on, and a unit that was given to other work
//! meanwhile would let the workspace run more than its limit.

use std::collections::BTreeMap;
use std::time::Duration;

use super::request::Attempt;
use super::{Gate, Ticket};
use crate::fleet::WorkspaceKey;
use crate::time::Instant;

/// Time allowed between the end of a run by the entry host's clock and at the endpoint.
const END_GRACE: Duration = Duration::from_millis(500);

/// Units that stay occupied, by the time they are free again.
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
    /// Frees the slot of an attempt whose work may go on, and keeps its unit.
    pub(super) fn abandon_attempt(
        &mut self,
        ticket: Ticket,
        attempt: Attempt,
        now: Instant,
    ) {
        let request = self.requests[ticket];
        let queue = self.queues.get(request.submission.queue);
        if queue.is_some_and(|queue| queue.stops_on_close) {
            return self.finish_attempt(ticket, attempt, now);
        }
        self.release_slot(ticket, attempt, now);
        self.lingering
            .add(attempt.until + END_GRACE, request.submission.workspace);
    }

    /// Frees units whose work has ended by now.
    pub(super) fn release_ended_units(&mut self, now: Instant) {
        while let Some((workspace, units)) = self.lingering.pop_expired(now) {
            for _ in 0..units {
                self.holder.finish(workspace);
            }
            self.unpark(workspace);
        }
    }
}
