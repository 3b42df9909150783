//! Counters of store calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Numbers of calls made to the store since its adapter was built, including failed ones.
///
/// A call that was attempted at several addresses counts once for each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of single keys and of prefixes.
    pub reads: u64,
    /// Compare-and-swaps.
    pub swaps: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Attempts to open a watch.
    pub watches: u64,
    /// Watches that are open now.
    pub active_watches: u64,
    /// Calls of any kind that failed, and open watches that failed later.
    pub failures: u64,
}

/// Kind of a call, which selects the counter for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Read,
    Swap,
    Lease,
    Watch,
}

/// Thread-safe counters of calls.
#[derive(Debug, Default)]
pub(super) struct CallCounter {
    reads: AtomicU64,
    swaps: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    active_watches: AtomicU64,
    failures: AtomicU64,
}

/// Guard that counts a watch as open until it is dropped.
#[derive(Debug)]
pub(super) struct ActiveWatch(Arc<CallCounter>);

impl CallCounter {
    pub(super) fn record_call(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Swap => &self.swaps,
            CallKind::Lease => &self.leases,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a watch as open until the returned guard is dropped.
    pub(super) fn start_watch(self: &Arc<Self>) -> ActiveWatch {
        self.active_watches.fetch_add(1, Ordering::Relaxed);
        ActiveWatch(Arc::clone(self))
    }

    pub(super) fn snapshot(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            swaps: self.swaps.load(Ordering::Relaxed),
            leases: self.leases.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            active_watches: self.active_watches.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
        }
    }
}

impl ActiveWatch {
    /// Counts the watch as failed.
    pub(super) fn record_failure(&self) {
        self.0.record_failure();
    }
}

impl Drop for ActiveWatch {
    fn drop(&mut self) {
        self.0.active_watches.fetch_sub(1, Ordering::Relaxed);
    }
}
