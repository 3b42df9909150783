//! The platform's key-value store as rhubarbrill uses it.

use std::time::Duration;

mod any;
mod calls;
pub mod gateway;
pub mod memory;
mod prefixed;

pub use crate::error::{Effect, Error};
pub use any::{AnyStore, AnyWatch};
pub use calls::Calls;
pub use gateway::Gateway;
pub use memory::Memory;
pub use prefixed::Prefixed;

/// Largest value that the store keeps, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A key with its value, as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
    /// Store revision of the last change of this key; the token for a swap.
    pub version: u64,
}

/// Entries read at one store revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The entries, in order of key.
    pub entries: Vec<Entry>,
    /// Store revision at which the entries were read.
    pub revision: u64,
}

/// What a key must look like for a swap to take effect.
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
    /// The key.
    pub key: String,
    /// What the key must look like.
    pub expect: Expect,
    /// The new value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// Lease whose end deletes the key.
    pub lease: Option<Lease>,
}

impl Swap {
    /// Checks what a store would refuse anyway.
    fn check(&self) -> Result<(), Error> {
        if self.key.is_empty() {
            return Err(Error::refused("empty key"));
        }
        let len = self.value.as_ref().map_or(0, Vec::len);
        if len > MAX_VALUE_BYTES {
            return Err(Error::refused(format!("value of {len} bytes")));
        }
        Ok(())
    }
}

/// How a swap ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swapped {
    /// The swap took effect at this store revision.
    Done(u64),
    /// The key did not look as expected; nothing changed.
    Conflict(Option<Entry>),
}

/// Names a lease in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lease(pub i64);

/// A change that a watch saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted at this store revision.
    Delete {
        /// The key.
        key: String,
        /// Store revision of the deletion.
        revision: u64,
    },
}

/// The platform's key-value store.
///
/// Every call blocks, for at most the timeout that the adapter was built with. Each call
/// counts against the store's rate, and a waiting watch counts as one.
pub trait Store: Send + Sync {
    /// A running watch; yields changes until it fails, ends or is dropped.
    ///
    /// It ends, with no error, once no sign of life came for the adapter's idle bound: the
    /// connection may have gone silent. Watch again from the revision after the last one
    /// seen. Changes of one revision come one after another, and all of them come.
    type Watch: Iterator<Item = Result<Change, Error>> + Send;

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer in time.
    fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads every key that starts with `prefix`, at one store revision.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer in time.
    fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Changes one key if it looks as expected.
    ///
    /// # Errors
    ///
    /// Fails when no answer came; [`Error::effect`] says whether the swap may have taken
    /// effect all the same.
    fn swap(&self, swap: Swap) -> Result<Swapped, Error>;

    /// Grants a lease that ends `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails when no answer came; the lease may exist all the same, and then ends by itself.
    fn grant(&self, ttl: Duration) -> Result<Lease, Error>;

    /// Renews a lease; returns false when it has already ended.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer in time.
    fn renew(&self, lease: Lease) -> Result<bool, Error>;

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer in time.
    fn revoke(&self, lease: Lease) -> Result<(), Error>;

    /// Watches every key that starts with `prefix`, from store revision `from` on; zero
    /// stands for the first revision.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached. A revision that the store has dropped shows
    /// here or in the first item of the watch, by [`Error::is_compacted`].
    fn watch(&self, prefix: &str, from: u64) -> Result<Self::Watch, Error>;
}
