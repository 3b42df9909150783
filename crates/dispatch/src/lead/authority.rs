//! How certain a leader is of its leadership.

use std::cell::Cell;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::Authority;
use rhubarbrill_core::time::Instant;

use crate::clock;

/// Time by which a leader stops before its lease ends, for orders on their way and for clocks
/// that differ in rate.
const MARGIN: Duration = Duration::from_millis(300);

/// Time after the last certain moment for which a leader goes on holding what runs. A store
/// that is away lets nobody else lead meanwhile; a successor waits for as long.
pub const HOLD_ON: Duration = Duration::from_secs(4);

/// Until when a leader is certain that nobody else leads.
#[derive(Debug)]
pub struct Certainty {
    until: Cell<Instant>,
    over: Cell<bool>,
}

impl Certainty {
    /// Returns the certainty that a lease gives that was asked for at `sent`.
    pub fn new(sent: Instant, term: Duration) -> Self {
        Self {
            until: Cell::new(end(sent, term)),
            over: Cell::new(false),
        }
    }

    /// Notes that the lease was renewed by a call that was sent at `sent`.
    pub fn renew(&self, sent: Instant, term: Duration) {
        self.until.set(self.until.get().max(end(sent, term)));
    }

    /// Notes that the leadership is over for good.
    pub fn end(&self) {
        self.over.set(true);
    }

    /// Returns whether the leadership is over for good.
    pub fn is_over(&self) -> bool {
        self.over.get() || clock::now() > self.until.get() + HOLD_ON
    }

    /// Returns what may be done now.
    pub fn authority(&self) -> Authority {
        if !self.over.get() && clock::now() < self.until.get() {
            Authority::Certain
        } else {
            Authority::HoldOnly
        }
    }
}

fn end(sent: Instant, term: Duration) -> Instant {
    sent + term.saturating_sub(MARGIN)
}
