//! View of a store that is limited to one key prefix.

use std::time::Duration;

use super::{Change, Entry, Error, Lease, Listing, Store, Swap, Swapped};

/// A view of the keys of a store that start with a prefix.
///
/// The prefix is added to the keys of calls and removed from the keys of results. Leases
/// are shared with the whole store.
///
/// # Example
///
/// ```
/// use rhubarbrill_edge::store::{Expect, Memory, Prefixed, Store, Swap};
///
/// let memory = Memory::new();
/// let store = Prefixed::new(memory.clone(), "south/");
/// let swap = Swap {
///     key: "a".into(),
///     expect: Expect::Absent,
///     value: Some(b"1".to_vec()),
///     lease: None,
/// };
/// store.swap(swap)?;
/// assert!(memory.get("south/a")?.is_some());
/// assert_eq!(store.get("a")?.unwrap().key, "a");
/// # Ok::<(), rhubarbrill_edge::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Prefixed<S> {
    inner: S,
    prefix: String,
}

/// An open watch that removes the prefix from the keys of changes.
#[derive(Debug)]
pub struct Watch<W> {
    inner: W,
    prefix: String,
}

impl<S> Prefixed<S> {
    /// Returns a view of the keys of `inner` that start with `prefix`.
    pub fn new(inner: S, prefix: impl Into<String>) -> Self {
        Self {
            inner,
            prefix: prefix.into(),
        }
    }

    /// Returns the underlying store, whose keys include the prefix.
    pub const fn inner(&self) -> &S {
        &self.inner
    }

    fn full_key(&self, key: &str) -> String {
        format!("{}{key}", self.prefix)
    }
}

fn strip_entry(prefix: &str, mut entry: Entry) -> Entry {
    entry.key = strip_key(prefix, entry.key);
    entry
}

fn strip_key(prefix: &str, key: String) -> String {
    match key.strip_prefix(prefix) {
        Some(rest) => rest.to_owned(),
        None => key,
    }
}

impl<S: Store> Store for Prefixed<S> {
    type Watch = Watch<S::Watch>;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let found = self.inner.get(&self.full_key(key))?;
        Ok(found.map(|entry| strip_entry(&self.prefix, entry)))
    }

    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let listing = self.inner.list(&self.full_key(prefix))?;
        let entries = listing.entries.into_iter();
        Ok(Listing {
            entries: entries
                .map(|entry| strip_entry(&self.prefix, entry))
                .collect(),
            revision: listing.revision,
        })
    }

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        let key = self.full_key(&swap.key);
        let swapped = self.inner.swap(Swap { key, ..swap })?;
        Ok(match swapped {
            Swapped::Conflict(Some(entry)) => {
                Swapped::Conflict(Some(strip_entry(&self.prefix, entry)))
            }
            other => other,
        })
    }

    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.inner.grant(ttl)
    }

    fn renew(&self, lease: Lease) -> Result<bool, Error> {
        self.inner.renew(lease)
    }

    fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.inner.revoke(lease)
    }

    fn watch(&self, prefix: &str, start_revision: u64) -> Result<Self::Watch, Error> {
        let inner = self.inner.watch(&self.full_key(prefix), start_revision)?;
        Ok(Watch {
            inner,
            prefix: self.prefix.clone(),
        })
    }
}

impl<W: Iterator<Item = Result<Change, Error>>> Iterator for Watch<W> {
    type Item = Result<Change, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        let change = self.inner.next()?;
        Some(change.map(|change| match change {
            Change::Put(entry) => Change::Put(strip_entry(&self.prefix, entry)),
            Change::Delete { key, revision } => Change::Delete {
                key: strip_key(&self.prefix, key),
                revision,
            },
        }))
    }
}
