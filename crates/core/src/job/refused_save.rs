//! Writes of progress that the store refuses for good, such as records that are too large.
//!
//! A write covers several jobs. If it is refused, each of them is written alone until one of its
//! writes is accepted, so that the job at fault holds up no other. That job is tried again less
//! and less often, and is given up if the store goes on accepting the writes of others.

use std::time::Duration;

use crate::time::Instant;

/// Delay of the second write after a refusal. It doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay between two writes that are refused.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Number of refusals of a job that was written alone from which it is given up.
const MAX_REFUSALS: u32 = 5;

/// Refused writes of one job's progress since the last one that was accepted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Refusals {
    /// Whether a write of this job and of others was refused.
    shared: bool,
    /// Number of refused writes of this job alone.
    alone: u32,
    /// When the first of them was refused.
    first_at: Instant,
    /// Time of the next write.
    next_at: Instant,
}

impl Refusals {
    /// Records a refused write of this job and of others.
    pub(super) const fn record_shared(&mut self) {
        self.shared = true;
    }

    /// Records a refused write of this job alone.
    pub(super) fn record_alone(&mut self, now: Instant) {
        if self.alone == 0 {
            self.first_at = now;
        }
        let delay = RETRY_DELAY * 2_u32.saturating_pow(self.alone);
        self.alone += 1;
        self.next_at = now + delay.min(MAX_RETRY_DELAY);
    }

    /// Returns whether the job's progress is to be written alone.
    pub(super) const fn is_alone(self) -> bool {
        self.shared || self.alone > 0
    }

    /// Returns whether the next write is due.
    pub(super) fn is_due(self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Returns whether to give the job up. `accepted_at` is when the store last accepted the
    /// progress of any job.
    pub(super) fn is_exhausted(self, accepted_at: Option<Instant>) -> bool {
        self.alone >= MAX_REFUSALS && accepted_at.is_some_and(|at| at > self.first_at)
    }
}
