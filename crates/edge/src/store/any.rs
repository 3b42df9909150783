//! Store whose adapter is selected at run time.

use std::time::Duration;

use super::{Change, gateway, memory};
use super::{Entry, Error, Gateway, Lease, Listing, Memory, Store, Swap, Swapped};

/// A store whose adapter is selected at run time, for example by the settings.
#[derive(Clone, Debug)]
pub enum AnyStore {
    /// A store reached through etcd v3's JSON gateway.
    Gateway(Gateway),
    /// An in-memory store.
    Memory(Memory),
}

/// An open watch on an [`AnyStore`].
#[derive(Debug)]
pub enum AnyWatch {
    /// A watch through etcd v3's JSON gateway.
    Gateway(Box<gateway::Watch>),
    /// A watch on an in-memory store.
    Memory(memory::Watch),
}

impl Iterator for AnyWatch {
    type Item = Result<Change, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        match self {
            Self::Gateway(watch) => watch.next(),
            Self::Memory(watch) => watch.next(),
        }
    }
}

impl Store for AnyStore {
    type Watch = AnyWatch;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        match self {
            Self::Gateway(store) => store.get(key),
            Self::Memory(store) => store.get(key),
        }
    }

    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        match self {
            Self::Gateway(store) => store.list(prefix),
            Self::Memory(store) => store.list(prefix),
        }
    }

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        match self {
            Self::Gateway(store) => store.swap(swap),
            Self::Memory(store) => store.swap(swap),
        }
    }

    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        match self {
            Self::Gateway(store) => store.grant(ttl),
            Self::Memory(store) => store.grant(ttl),
        }
    }

    fn renew(&self, lease: Lease) -> Result<bool, Error> {
        match self {
            Self::Gateway(store) => store.renew(lease),
            Self::Memory(store) => store.renew(lease),
        }
    }

    fn revoke(&self, lease: Lease) -> Result<(), Error> {
        match self {
            Self::Gateway(store) => store.revoke(lease),
            Self::Memory(store) => store.revoke(lease),
        }
    }

    fn watch(&self, prefix: &str, start_revision: u64) -> Result<Self::Watch, Error> {
        match self {
            Self::Gateway(store) => store
                .watch(prefix, start_revision)
                .map(|watch| AnyWatch::Gateway(Box::new(watch))),
            Self::Memory(store) => {
                store.watch(prefix, start_revision).map(AnyWatch::Memory)
            }
        }
    }
}
