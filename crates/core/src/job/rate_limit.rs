//! Limits on the rate of events that allow for bursts.

use std::time::Duration;

use crate::time::Instant;

/// One event in thousandths, the unit in which events are counted.
const ONE_EVENT: u64 = 1_000;

/// How often an event may happen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    /// Events per second, in thousandths.
    pub(super) permille: u64,
    /// Time over which unused events accumulate.
    pub(super) burst: Duration,
}

impl Rate {
    /// Returns how much is allowed within a span, in thousandths of an event.
    fn allowed(self, span: Duration) -> u64 {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        self.permille.saturating_mul(millis) / 1_000
    }

    fn capacity(self) -> u64 {
        self.allowed(self.burst).max(ONE_EVENT)
    }
}

/// A leaky bucket, which counts the events of the recent past.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Fill level, in thousandths of an event.
    level: u64,
    at: Instant,
}

impl Bucket {
    /// Returns an empty bucket.
    pub(super) const fn new(now: Instant) -> Self {
        Self { level: 0, at: now }
    }

    /// Returns whether one more event is within the rate.
    pub(super) fn has_room(&mut self, now: Instant, rate: Rate) -> bool {
        let passed = now.saturating_since(self.at);
        self.level = self.level.saturating_sub(rate.allowed(passed));
        self.at = now;
        self.level + ONE_EVENT <= rate.capacity()
    }

    /// Counts an event.
    pub(super) const fn add(&mut self) {
        self.level = self.level.saturating_add(ONE_EVENT);
    }
}
