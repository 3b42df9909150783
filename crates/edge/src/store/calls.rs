//! Counts of store calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Calls made to the store since its adapter was built, failed ones included.
///
/// A call that was tried at several addresses counts once for each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads of keys.
    pub reads: u64,
    /// Swaps.
    pub swaps: u64,
    /// Grants, renewals and ends of leases.
    pub leases: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches that are going on.
    pub watching: u64,
    /// Calls of any kind without a usable answer, and watches that failed later on.
    pub failures: u64,
}

/// What a call does, as far as counting goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    Read,
    Swap,
    Lease,
    Watch,
}

/// Counts calls from many threads.
#[derive(Debug, Default)]
pub(super) struct Counter {
    reads: AtomicU64,
    swaps: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    watching: AtomicU64,
    failures: AtomicU64,
}

/// A watch that is going on; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct Watching(Arc<Counter>);

impl Counter {
    pub(super) fn count(&self, kind: Kind) {
        let counter = match kind {
            Kind::Read => &self.reads,
            Kind::Swap => &self.swaps,
            Kind::Lease => &self.leases,
            Kind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a watch as going on.
    pub(super) fn watching(self: &Arc<Self>) -> Watching {
        self.watching.fetch_add(1, Ordering::Relaxed);
        Watching(Arc::clone(self))
    }

    pub(super) fn calls(&self) -> Calls {
        Calls {
            reads: self.reads.load(Ordering::Relaxed),
            swaps: self.swaps.load(Ordering::Relaxed),
            leases: self.leases.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            watching: self.watching.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
        }
    }
}

impl Watching {
    /// Counts the watch as failed.
    pub(super) fn fail(&self) {
        self.0.count_failure();
    }
}

impl Drop for Watching {
    fn drop(&mut self) {
        self.0.watching.fetch_sub(1, Ordering::Relaxed);
    }
}
