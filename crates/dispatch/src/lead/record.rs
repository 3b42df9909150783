//! The leader's own record in the store, and the lease that it is attached to.

use std::cell::Cell;

use rhubarbrill_core::job::leader::Leader;
use tokio::sync::Notify;

use crate::platform::Lease;

/// The leader's record as this process wrote it.
#[derive(Debug)]
pub(super) struct Record {
    /// Content of the record.
    pub(super) own: Leader,
    revision: Cell<u64>,
    lease: Cell<Lease>,
    /// Lease under which the record is being written again. The record may exist under it,
    /// even if the write was cancelled.
    next_lease: Cell<Option<Lease>>,
    gone: Notify,
}

impl Record {
    /// Returns a record that was written at `revision`, attached to `lease`.
    pub(super) fn new(own: Leader, revision: u64, lease: Lease) -> Self {
        Self {
            own,
            revision: Cell::new(revision),
            lease: Cell::new(lease),
            next_lease: Cell::new(None),
            gone: Notify::new(),
        }
    }

    /// Returns the store revision of the record.
    pub(super) const fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns the lease that the record is attached to.
    pub(super) const fn lease(&self) -> Lease {
        self.lease.get()
    }

    /// Returns every lease that the record may be attached to.
    pub(super) fn possible_leases(&self) -> impl Iterator<Item = Lease> {
        std::iter::once(self.lease.get()).chain(self.next_lease.get())
    }

    /// Records that the record is about to be written again under `lease`.
    pub(super) fn prepare(&self, lease: Lease) {
        self.next_lease.set(Some(lease));
    }

    /// Records that the record was written again after its lease had ended.
    pub(super) fn replace(&self, revision: u64, lease: Lease) {
        self.revision.set(revision);
        self.lease.set(lease);
        self.next_lease.set(None);
    }

    /// Returns whether a leader's record was written by this process. Its revision may be
    /// newer than the known one while the response to the write is still on its way.
    pub(super) fn is_own(&self, leader: &Leader) -> bool {
        *leader == self.own
    }

    /// Records that the store was seen without a leader's record.
    pub(super) fn report_gone(&self) {
        self.gone.notify_one();
    }

    /// Waits until the store was seen without a leader's record.
    pub(super) async fn gone(&self) {
        self.gone.notified().await;
    }
}
