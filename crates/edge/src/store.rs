//! Interface to the platform's key-value store, and its adapters.
//!
//! The interface is the part of etcd v3 that rhubarbrill needs: reads, compare-and-swap
//! of one key, leases and watches.

use std::time::Duration;

mod any;
mod calls;
pub mod gateway;
pub mod memory;
mod prefixed;

pub use crate::error::{Effect, Error};
pub use any::{AnyStore, AnyWatch};
pub use calls::CallCounts;
pub use gateway::Gateway;
pub use memory::Memory;
pub use prefixed::Prefixed;

/// Maximum size of a value, in bytes; a swap with a larger one is rejected.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key with its value and version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key, without the prefix of a [`Prefixed`] store.
    pub key: String,
    /// The value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Vec<u8>,
    /// Store revision of the last change to this key, for use in [`Expect::Version`].
    pub version: u64,
}

/// A consistent snapshot of the entries under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
    /// Store revision at which the entries were read.
    pub revision: u64,
}

/// Precondition on a key for a swap to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The key doesn't exist.
    Absent,
    /// The key was last changed at this store revision.
    Version(u64),
}

/// A compare-and-swap of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Swap {
    /// The key to change; must not be empty.
    pub key: String,
    /// Precondition for the change.
    pub expect: Expect,
    /// The new value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// Lease to attach the key to; the key is deleted when the lease ends.
    pub lease: Option<Lease>,
}

impl Swap {
    /// Rejects an empty key or an oversized value before the swap is sent.
    fn validate(&self) -> Result<(), Error> {
        if self.key.is_empty() {
            return Err(Error::refused("the key is empty"));
        }
        let len = self.value.as_ref().map_or(0, Vec::len);
        if len > MAX_VALUE_BYTES {
            return Err(Error::refused(format!(
                "value of {len} bytes exceeds the limit of {MAX_VALUE_BYTES}"
            )));
        }
        Ok(())
    }
}

/// Outcome of a swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swapped {
    /// The swap took effect at this store revision.
    Done(u64),
    /// The precondition failed and nothing changed. Holds the entry found, or `None` if
    /// the key doesn't exist.
    Conflict(Option<Entry>),
}

/// Identifier of a lease in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lease(pub i64);

/// A change to a key that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted at this store revision.
    Delete {
        /// The deleted key.
        key: String,
        /// Store revision of the deletion.
        revision: u64,
    },
}

/// The platform's key-value store.
///
/// Every call blocks for at most the timeout that the adapter was built with. Each call
/// counts against the store's rate limit; an open watch counts as one call.
pub trait Store: Send + Sync {
    /// An open watch; yields changes until it fails, ends or is dropped.
    ///
    /// It ends without an error once nothing has been received for the adapter's idle
    /// timeout, since the connection may be dead. The caller then watches again from the
    /// revision after the last one seen. All changes of one revision are delivered, one
    /// after another.
    type Watch: Iterator<Item = Result<Change, Error>> + Send;

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives in time.
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads every key that starts with `prefix`, all at the same store revision.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives in time.
    fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Writes or deletes one key if its precondition holds.
    ///
    /// # Errors
    ///
    /// Fails when the swap is rejected or no response arrives in time; [`Error::effect`]
    /// tells whether the swap may have taken effect nevertheless.
    fn swap(&self, swap: Swap) -> Result<Swapped, Error>;

    /// Grants a lease that expires `ttl` after the grant or its last renewal.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives in time. The lease may have been granted
    /// nevertheless; it then expires by itself.
    fn grant(&self, ttl: Duration) -> Result<Lease, Error>;

    /// Renews a lease; returns false if it has already ended.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives in time.
    fn renew(&self, lease: Lease) -> Result<bool, Error>;

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// Succeeds also if the lease has already ended.
    ///
    /// # Errors
    ///
    /// Fails when no response arrives in time.
    fn revoke(&self, lease: Lease) -> Result<(), Error>;

    /// Watches every key that starts with `prefix` for changes from `start_revision` on,
    /// which is included. Zero stands for the first revision.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached. If the store has compacted the start
    /// revision, this call or the first item of the watch fails with an error for which
    /// [`Error::is_compacted`] is true.
    fn watch(&self, prefix: &str, start_revision: u64) -> Result<Self::Watch, Error>;
}
