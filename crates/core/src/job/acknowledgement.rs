//! Acknowledgements of the ends that an endpoint has reported.
//!
//! A hold acknowledges ends, and the endpoint forgets them. It names the endpoint by an identity
//! that the next incarnation may reuse, and may be executed seconds after it was sent. An
//! incarnation that numbers its ends anew would forget ends that the leader hasn't seen, so none
//! that has executed a start order may execute an acknowledgement meant for an earlier one. Three
//! rules exclude it, however late an acknowledgement arrives:
//!
//! - It is sent only while every start order has been executed by the incarnation that
//!   reported the ends, or by an earlier one. See [`is_settled`].
//! - No start order is sent to the endpoint while the answer is outstanding.
//! - If there is no answer, later start orders carry a newer fencing token, with which an
//!   endpoint rejects it. See [`fence`](super::fence).

use std::time::Duration;

use super::live::JobKey;
use super::run::{Phase, Run};
use crate::time::Instant;

/// Longest time that an order may take to be executed. The platform executes some of those
/// that it doesn't answer seconds later.
const MAX_TRANSIT_TIME: Duration = Duration::from_secs(15);

/// The end of a run whose effect on its job isn't in the store yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnsavedEnd {
    /// Sequence number that the endpoint gave to the end.
    pub(super) sequence: u64,
    pub(super) job: JobKey,
    /// Generation of the job that includes the effect of the end.
    pub(super) generation: u64,
}

/// The ends of one incarnation of an endpoint, from their report to their acknowledgement.
#[derive(Clone, Debug, Default)]
pub(super) struct Tracker {
    /// Highest sequence number among the ends that were processed.
    processed: u64,
    /// Ends that must not be acknowledged until their jobs are saved.
    unsaved: Vec<UnsavedEnd>,
    /// Highest sequence number whose acknowledgement the endpoint has confirmed.
    confirmed: u64,
    /// Highest sequence number that the hold in flight acknowledges; `None` if it acknowledges
    /// none.
    in_flight: Option<u64>,
    /// When the hold was sent that the latest report answers; `None` if a later hold got no
    /// report.
    reported: Option<Instant>,
}

impl Tracker {
    /// Records that the end with this sequence number is being processed. Returns whether it is
    /// new.
    pub(super) const fn begin(&mut self, sequence: u64) -> bool {
        let is_new = sequence > self.processed;
        if is_new {
            self.processed = sequence;
        }
        is_new
    }

    /// Records that the effect of an end isn't in the store yet.
    pub(super) fn add_unsaved(&mut self, end: UnsavedEnd) {
        self.unsaved.push(end);
    }

    /// Removes the unsaved ends that `is_saved` names. Returns whether none is left of some.
    pub(super) fn release(&mut self, is_saved: impl Fn(&UnsavedEnd) -> bool) -> bool {
        let before = self.unsaved.len();
        self.unsaved.retain(|end| !is_saved(end));
        before > 0 && self.unsaved.is_empty()
    }

    /// Returns whether the effect of a reported end isn't in the store yet.
    pub(super) const fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Returns whether the endpoint may still list ends that were processed.
    pub(super) const fn has_unconfirmed(&self) -> bool {
        self.processed > self.confirmed
    }

    /// Returns the highest sequence number that may be acknowledged: this end and all earlier ones
    /// are in the store, and the endpoint has just reported. Returns `None` if there is nothing
    /// new to acknowledge.
    pub(super) fn due(&self) -> Option<u64> {
        let first_unsaved = self.unsaved.iter().map(|end| end.sequence).min();
        let saved = first_unsaved.map_or(self.processed, |sequence| sequence - 1);
        (self.reported.is_some() && saved > self.confirmed).then_some(saved)
    }

    /// Returns when the hold was sent that the latest report answers, unless a later one got no
    /// report.
    pub(super) const fn reported(&self) -> Option<Instant> {
        self.reported
    }

    /// Returns whether the hold in flight acknowledges ends.
    pub(super) const fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Records the hold that is being sent.
    pub(super) const fn record_hold(&mut self, acknowledged: Option<u64>) {
        self.in_flight = acknowledged;
    }

    /// Records a report in answer to the hold that was sent at `sent`.
    pub(super) fn record_report(&mut self, sent: Instant) {
        self.reported = Some(sent);
        let acknowledged = self.in_flight.take();
        self.confirmed = self.confirmed.max(acknowledged.unwrap_or(0));
    }

    /// Records that the hold in flight got no report. Returns the highest sequence number that it
    /// acknowledges; `None` if it acknowledges none.
    pub(super) const fn record_failure(&mut self) -> Option<u64> {
        self.reported = None;
        self.in_flight.take()
    }
}

/// Returns whether the start order of a run, if it is executed at all, was executed before an
/// endpoint reported in answer to a hold that was sent at `reported`.
///
/// It was if a report has listed the run, or if its answer arrived before the hold was sent. The
/// order of an earlier leader counts as executed, since the endpoint rejects it once it has seen
/// this leader's fencing token.
pub(super) fn is_settled(run: &Run, now: Instant, reported: Instant) -> bool {
    run.is_reported
        || match run.phase {
            Phase::Planned(_) | Phase::Inherited => true,
            Phase::Running(at) | Phase::StopAcknowledged(at) => at < reported,
            Phase::Starting
            | Phase::Unconfirmed
            | Phase::Stopping(_)
            | Phase::StopSent(_) => run.age(now) > MAX_TRANSIT_TIME,
        }
}
