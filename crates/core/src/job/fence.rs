//! Fencing tokens of the orders to one endpoint.
//!
//! An endpoint rejects orders with a lower token than the highest that it has seen. All leaders
//! take their tokens from the revisions of the store: the first one is the revision of the
//! leader's record, and later ones are revisions of writes that were conditional on that
//! record. The tokens of the next leader are therefore higher.

use crate::time::Instant;

/// The fencing token of the orders to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fence {
    token: u64,
    /// When the first order with this token may have been sent.
    since: Instant,
    /// Whether an acknowledgement with this token may still be executed, so that start orders must
    /// carry a newer one.
    is_used_up: bool,
}

impl Fence {
    /// Returns a fence whose start orders carry a token newer than `token`, or this one if no
    /// acknowledgement can have carried it.
    pub(super) const fn new(token: u64, now: Instant, is_used_up: bool) -> Self {
        Self {
            token,
            since: now,
            is_used_up,
        }
    }

    /// Returns the token of the orders that are sent now.
    pub(super) const fn token(self) -> u64 {
        self.token
    }

    /// Requires a newer token for start orders, as an acknowledgement with the present one may
    /// still be executed.
    pub(super) const fn use_up(&mut self) {
        self.is_used_up = true;
    }

    /// Prepares for a start order. `newest` is the newest revision at which this leader is known to
    /// have led. Returns whether the present token, or the one that it is replaced by, will do.
    pub(super) const fn prepare_start(&mut self, now: Instant, newest: u64) -> bool {
        if self.is_used_up && newest > self.token {
            self.token = newest;
            self.since = now;
            self.is_used_up = false;
        }
        !self.is_used_up
    }

    /// Returns whether an order that was sent at `sent` may have carried an earlier token of this
    /// leader, so that its rejection doesn't prove that there is a later leader.
    pub(super) fn is_superseded(self, sent: Instant) -> bool {
        sent < self.since
    }
}
