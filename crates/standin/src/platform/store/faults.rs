//! Faults and counts of the store.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// Calls that the store carried out, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Reads of a key or a range.
    pub ranges: u64,
    /// Unconditional writes.
    pub puts: u64,
    /// Unconditional deletions.
    pub deletes: u64,
    /// Transactions.
    pub txns: u64,
    /// Leases granted.
    pub grants: u64,
    /// Leases renewed, or found to have ended.
    pub renewals: u64,
    /// Leases ended.
    pub revokes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches that are going on.
    pub watching: u64,
}

/// What becomes of the answer to a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fate {
    Sent,
    Lost,
    TimedOut,
}

#[derive(Debug, Default)]
pub(super) struct Faults {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    lost: u32,
    timed_out: u32,
    stale: u64,
    muted: bool,
    watches: CancellationToken,
    counts: Counts,
}

impl Faults {
    pub(super) fn counts(&self) -> Counts {
        self.lock().counts
    }

    pub(super) fn count(&self, add: impl FnOnce(&mut Counts)) {
        add(&mut self.lock().counts);
    }

    pub(super) fn lose_responses(&self, count: u32) {
        self.lock().lost = count;
    }

    pub(super) fn time_out_changes(&self, count: u32) {
        self.lock().timed_out = count;
    }

    /// Uses up one of the answers to lose.
    pub(super) fn take_fate(&self) -> Fate {
        let mut inner = self.lock();
        if let Some(left) = inner.lost.checked_sub(1) {
            inner.lost = left;
            return Fate::Lost;
        }
        if let Some(left) = inner.timed_out.checked_sub(1) {
            inner.timed_out = left;
            return Fate::TimedOut;
        }
        Fate::Sent
    }

    pub(super) fn set_stale(&self, lag: u64) {
        self.lock().stale = lag;
    }

    pub(super) fn stale(&self) -> u64 {
        self.lock().stale
    }

    pub(super) fn mute_watches(&self, muted: bool) {
        self.lock().muted = muted;
    }

    pub(super) fn muted(&self) -> bool {
        self.lock().muted
    }

    pub(super) fn drop_watches(&self) {
        let fresh = CancellationToken::new();
        std::mem::replace(&mut self.lock().watches, fresh).cancel();
    }

    /// Returns the token that is cancelled when the present watches are dropped.
    pub(super) fn watches(&self) -> CancellationToken {
        self.lock().watches.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
