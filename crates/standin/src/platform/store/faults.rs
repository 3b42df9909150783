//! Injected faults and request counts of the store.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;

/// Number of requests that the store has processed, by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Reads of one key or of a range.
    pub ranges: u64,
    /// Unconditional writes.
    pub puts: u64,
    /// Unconditional deletions of one key or of a range.
    pub deletes: u64,
    /// Transactions.
    pub txns: u64,
    /// Requests for a new lease.
    pub grants: u64,
    /// Requests to renew a lease, including those that found it expired.
    pub renewals: u64,
    /// Requests to revoke a lease.
    pub revokes: u64,
    /// Watches opened since the start of the store.
    pub watches: u64,
    /// Watches that are open now.
    pub open_watches: u64,
}

/// Fault that applies to the response to a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResponseFault {
    None,
    Lose,
    TimeOut,
}

#[derive(Debug, Default)]
pub(super) struct Faults {
    inner: Mutex<FaultsState>,
}

#[derive(Debug, Default)]
struct FaultsState {
    responses_to_lose: u32,
    changes_to_time_out: u32,
    stale_by: u64,
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
        self.lock().responses_to_lose = count;
    }

    pub(super) fn time_out_changes(&self, count: u32) {
        self.lock().changes_to_time_out = count;
    }

    /// Returns the fault for the next response and counts it as used.
    pub(super) fn take_response_fault(&self) -> ResponseFault {
        let mut inner = self.lock();
        if let Some(remaining) = inner.responses_to_lose.checked_sub(1) {
            inner.responses_to_lose = remaining;
            return ResponseFault::Lose;
        }
        if let Some(remaining) = inner.changes_to_time_out.checked_sub(1) {
            inner.changes_to_time_out = remaining;
            return ResponseFault::TimeOut;
        }
        ResponseFault::None
    }

    pub(super) fn set_stale(&self, lag: u64) {
        self.lock().stale_by = lag;
    }

    pub(super) fn stale_by(&self) -> u64 {
        self.lock().stale_by
    }

    pub(super) fn mute_watches(&self, muted: bool) {
        self.lock().muted = muted;
    }

    pub(super) fn muted(&self) -> bool {
        self.lock().muted
    }

    pub(super) fn drop_watches(&self) {
        let new_token = CancellationToken::new();
        std::mem::replace(&mut self.lock().watches, new_token).cancel();
    }

    /// Returns the token that is cancelled when the open watches are dropped.
    pub(super) fn watches(&self) -> CancellationToken {
        self.lock().watches.clone()
    }

    fn lock(&self) -> MutexGuard<'_, FaultsState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
