//! Tells an outage of a service from single calls that fail.
//!
//! A client that waits until its last answer is old notices an outage late, because a
//! service may rightly be silent for a while. Calls that fail tell sooner: once calls have
//! failed for some time and none was answered, the service can't be reached.

use std::time::Duration;

use crate::time::Instant;

/// Time for which all calls must fail before the service counts as unreachable. Calls
/// that are refused for a moment, or one lost answer, are no outage.
const MIN_OUTAGE: Duration = Duration::from_millis(600);

/// Whether a service answers, according to the outcomes of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// When the first call failed since the last answer; `None` if none has.
    failing_since: Option<Instant>,
}

impl Contact {
    /// Records that a call was answered.
    pub const fn record_answer(&mut self) {
        self.failing_since = None;
    }

    /// Records that a call failed: it wasn't sent, was turned away or got no answer.
    pub const fn record_failure(&mut self, now: Instant) {
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
        }
    }

    /// Returns whether the service can't be reached.
    pub fn is_lost(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_since(since) >= MIN_OUTAGE)
    }
}
