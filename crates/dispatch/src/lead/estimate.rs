//! Writes the leader's estimate of when new jobs start, for entry hosts.

use std::rc::Rc;
use std::time::Duration;

use rhubarbrill_core::job::Estimate;
use rhubarbrill_core::job::scheduler::{Authority, Scheduler};
use rhubarbrill_core::time::Instant;

use super::save;
use super::term::Shared;
use crate::clock;
use crate::platform::Platform;

/// Interval between two estimates.
const INTERVAL: Duration = Duration::from_millis(500);

/// Age above which an estimate with a wait is written again even if it hasn't changed.
/// Entry hosts use it for 1.5 s.
const REFRESH_AGE: Duration = Duration::from_millis(1_000);

/// What was written last, and when the next estimate is due.
#[derive(Debug)]
pub(super) struct EstimateWriter {
    last: Estimate,
    written_at: Instant,
    next: Instant,
}

impl EstimateWriter {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            last: Estimate::default(),
            written_at: now,
            next: now,
        }
    }

    /// Writes the estimate if it is due and has changed.
    pub(super) fn write<P: Platform>(
        &mut self,
        shared: &Rc<Shared<P>>,
        scheduler: &Scheduler,
        authority: Authority,
    ) {
        let now = clock::now();
        if now < self.next || authority != Authority::Certain {
            return;
        }
        let Some(estimate) = scheduler.estimate() else {
            return;
        };
        self.next = now + INTERVAL;
        let is_old = now.saturating_since(self.written_at) >= REFRESH_AGE;
        if estimate.differs_from(&self.last) || (is_old && estimate.has_wait()) {
            self.last = estimate.clone();
            self.written_at = now;
            save::write_estimate(shared, estimate);
        }
    }
}
