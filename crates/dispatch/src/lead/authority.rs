//! How certain a leader is of its leadership.

use std::cell::Cell;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::Authority;
use rhubarbrill_core::time::Instant;

use crate::clock;

/// Time by which a leader stops before its lease ends, for orders on their way and for clocks
/// that differ in rate.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// Time after the last certain moment for which a leader goes on holding what runs. A store
/// that is away lets nobody else lead meanwhile; a successor waits for as long.
pub const HOLD_GRACE: Duration = Duration::from_secs(4);

/// Until when a leader is certain that nobody else leads.
#[derive(Debug)]
pub struct LeaseValidity {
    valid_until: Cell<Instant>,
    ended: Cell<bool>,
}

impl LeaseValidity {
    /// Returns the certainty that a lease gives that was asked for at `sent`.
    pub fn new(sent: Instant, ttl: Duration) -> Self {
        Self {
            valid_until: Cell::new(validity_end(sent, ttl)),
            ended: Cell::new(false),
        }
    }

    /// Notes that the lease was renewed by a call that was sent at `sent`.
    pub fn renew(&self, sent: Instant, ttl: Duration) {
        self.valid_until
            .set(self.valid_until.get().max(validity_end(sent, ttl)));
    }

    /// Notes that the leadership is over for good.
    pub fn end(&self) {
        self.ended.set(true);
    }

    /// Returns whether the leadership is over for good.
    pub fn is_over(&self) -> bool {
        self.ended.get() || clock::now() > self.valid_until.get() + HOLD_GRACE
    }

    /// Returns what may be done now.
    pub fn authority(&self) -> Authority {
        if !self.ended.get() && clock::now() < self.valid_until.get() {
            Authority::Certain
        } else {
            Authority::HoldOnly
        }
    }
}

fn validity_end(sent: Instant, ttl: Duration) -> Instant {
    sent + ttl.saturating_sub(SAFETY_MARGIN)
}
