//! Tracks how long the leader's lease is certain to be valid.

use std::cell::Cell;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::Authority;
use rhubarbrill_core::time::Instant;

use crate::clock;

/// How long before the end of its lease a leader stops acting. Covers orders in transit
/// and clocks that run at different rates.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// How long a leader keeps renewing the leases of runs after its own lease is no longer
/// certain. While the store is unreachable, no other process can be elected. A new leader
/// waits for the same time. From then on the leader sends nothing, and only tries to renew
/// its own lease: if the store's leases paused, it still leads.
pub const HOLD_GRACE: Duration = Duration::from_secs(4);

/// The time until which a leader is certain that no other process leads.
#[derive(Debug)]
pub struct LeaseValidity {
    valid_until: Cell<Instant>,
    ended: Cell<bool>,
}

impl LeaseValidity {
    /// Starts the validity of a lease that was requested at `sent`.
    pub fn new(sent: Instant, ttl: Duration) -> Self {
        Self {
            valid_until: Cell::new(validity_end(sent, ttl)),
            ended: Cell::new(false),
        }
    }

    /// Extends the validity after a renewal that was requested at `sent`.
    pub fn renew(&self, sent: Instant, ttl: Duration) {
        self.valid_until
            .set(self.valid_until.get().max(validity_end(sent, ttl)));
    }

    /// Records that the leadership has ended for good.
    pub fn end(&self) {
        self.ended.set(true);
    }

    /// Returns whether the leadership has ended for good.
    pub fn is_over(&self) -> bool {
        self.ended.get()
    }

    /// Returns what the leader may do now.
    pub fn authority(&self) -> Authority {
        if self.ended.get() {
            return Authority::Suspended;
        }
        Authority::at(clock::now(), self.valid_until.get(), HOLD_GRACE)
    }
}

fn validity_end(sent: Instant, ttl: Duration) -> Instant {
    sent + ttl.saturating_sub(SAFETY_MARGIN)
}
