//! A store with injected faults, and operators whose calls are made in a given order.

#![allow(dead_code, reason = "each test binary uses only some items")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use rhubarbrill_config::document::{Id, Kind, Section};
use rhubarbrill_config::{Document, Revision};
use rhubarbrill_edge::store::{
    Change, Effect, Entry, Error, Expect, Lease, Listing, Store, Swap, Swapped,
};

/// A fault injected into one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The call is carried out and answered.
    None,
    /// The call never reaches the store, and the caller knows it.
    Unreachable,
    /// A swap never reaches the store, and the caller can't tell.
    LostRequest,
    /// A swap takes effect, and its response is lost.
    LostResponse,
    /// A swap takes effect two calls later, and its response is lost.
    Delayed,
    /// A read returns the state of the store before this many changes.
    StaleRead(usize),
    /// The caller loses its connection for good: this call and all later ones fail.
    Crash,
}

type Contents = BTreeMap<String, Entry>;

#[derive(Default)]
struct State {
    /// Contents of the store after each change, beginning with the empty store.
    history: Vec<Contents>,
    delayed: Vec<(usize, Swap)>,
    calls: usize,
    turns: VecDeque<usize>,
    finished: Vec<usize>,
}

/// The store shared by all operators, each of whom uses a [`Connection`].
#[derive(Clone, Default)]
pub struct FakeStore(Arc<(Mutex<State>, Condvar)>);

/// One operator's connection to the store, with the faults of its next calls.
pub struct Connection {
    store: FakeStore,
    operator: usize,
    faults: Mutex<VecDeque<Fault>>,
}

impl FakeStore {
    /// Returns a store that admits calls in the order of `turns`, and in any order once
    /// the turns are used up.
    pub fn new(turns: &[usize]) -> Self {
        let store = Self::default();
        let mut state = store.0.0.lock().unwrap();
        state.turns = turns.iter().copied().collect();
        state.history.push(Contents::new());
        drop(state);
        store
    }

    pub fn connection(&self, operator: usize, faults: &[Fault]) -> Connection {
        Connection {
            store: self.clone(),
            operator,
            faults: Mutex::new(faults.iter().copied().collect()),
        }
    }

    pub fn calls(&self) -> usize {
        self.0.0.lock().unwrap().calls
    }

    /// Returns the entry of a key without waiting for a turn.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.entries().into_iter().find(|entry| entry.key == key)
    }

    pub fn entries(&self) -> Vec<Entry> {
        let state = self.0.0.lock().unwrap();
        state.history.last().unwrap().values().cloned().collect()
    }

    fn call<T>(&self, operator: usize, run: impl FnOnce(&mut State) -> T) -> T {
        let (lock, condition) = &*self.0;
        let mut state = lock.lock().unwrap();
        while state.turns.front().is_some_and(|&turn| turn != operator) {
            state = condition.wait(state).unwrap();
        }
        state.turns.pop_front();
        state.skip_finished();
        state.calls += 1;
        state.apply_delayed();
        let answer = run(&mut state);
        condition.notify_all();
        answer
    }
}

impl State {
    fn skip_finished(&mut self) {
        while self
            .turns
            .front()
            .is_some_and(|turn| self.finished.contains(turn))
        {
            self.turns.pop_front();
        }
    }

    fn apply_delayed(&mut self) {
        let calls = self.calls;
        for (due, swap) in std::mem::take(&mut self.delayed) {
            if due <= calls {
                self.swap(swap);
            } else {
                self.delayed.push((due, swap));
            }
        }
    }

    fn swap(&mut self, swap: Swap) -> Swapped {
        let entries = self.history.last().unwrap();
        let found = entries.get(&swap.key);
        let matches_expectation = match swap.expect {
            Expect::Absent => found.is_none(),
            Expect::Version(version) => {
                found.is_some_and(|entry| entry.version == version)
            }
        };
        if !matches_expectation {
            return Swapped::Conflict(found.cloned());
        }
        let (mut entries, version) = (entries.clone(), self.history.len() as u64);
        match swap.value {
            Some(value) => {
                let key = swap.key.clone();
                entries.insert(
                    swap.key,
                    Entry {
                        key,
                        value,
                        version,
                    },
                );
            }
            None => drop(entries.remove(&swap.key)),
        }
        self.history.push(entries);
        Swapped::Done(version)
    }

    fn visible(&self, fault: Fault) -> &Contents {
        let lag = if let Fault::StaleRead(lag) = fault {
            lag
        } else {
            0
        };
        &self.history[self.history.len().saturating_sub(1 + lag)]
    }
}

impl Connection {
    fn fault(&self) -> Fault {
        let mut faults = self.faults.lock().unwrap();
        match faults.front() {
            Some(Fault::Crash) => Fault::Crash,
            _ => faults.pop_front().unwrap_or(Fault::None),
        }
    }
}

impl Drop for Connection {
    /// Removes the remaining turns of this operator, so that the others don't wait for
    /// it.
    fn drop(&mut self) {
        let (lock, condition) = &*self.store.0;
        let mut state = lock.lock().unwrap();
        state.finished.push(self.operator);
        state.skip_finished();
        condition.notify_all();
    }
}

impl Store for Connection {
    type Watch = std::iter::Empty<Result<Change, Error>>;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let fault = self.fault();
        self.store.call(self.operator, |state| match fault {
            Fault::Unreachable | Fault::Crash => {
                Err(Error::unreachable(Effect::None, key))
            }
            _ => Ok(state.visible(fault).get(key).cloned()),
        })
    }

    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let fault = self.fault();
        self.store.call(self.operator, |state| match fault {
            Fault::Unreachable | Fault::Crash => {
                Err(Error::unreachable(Effect::None, prefix))
            }
            _ => {
                let entries = state.visible(fault).values();
                let entries = entries.filter(|entry| entry.key.starts_with(prefix));
                Ok(Listing {
                    entries: entries.cloned().collect(),
                    revision: state.history.len() as u64,
                })
            }
        })
    }

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        let fault = self.fault();
        self.store.call(self.operator, |state| {
            let lost = Err(Error::unreachable(Effect::Unknown, swap.key.as_str()));
            match fault {
                Fault::None | Fault::StaleRead(_) => Ok(state.swap(swap)),
                Fault::Unreachable | Fault::Crash => {
                    Err(Error::unreachable(Effect::None, swap.key))
                }
                Fault::LostRequest => lost,
                Fault::LostResponse => {
                    state.swap(swap);
                    lost
                }
                Fault::Delayed => {
                    let due = state.calls + 2;
                    state.delayed.push((due, swap));
                    lost
                }
            }
        })
    }

    fn grant(&self, _: Duration) -> Result<Lease, Error> {
        Err(Error::refused("leases are not supported"))
    }

    fn renew(&self, _: Lease) -> Result<bool, Error> {
        Err(Error::refused("leases are not supported"))
    }

    fn revoke(&self, _: Lease) -> Result<(), Error> {
        Err(Error::refused("leases are not supported"))
    }

    fn watch(&self, _: &str, _: u64) -> Result<Self::Watch, Error> {
        Err(Error::refused("watches are not supported"))
    }
}

/// Returns a copy of `document` with one more workspace.
pub fn with_workspace(document: &Document, name: &str) -> Document {
    let mut document = document.clone();
    document.insert(Section {
        id: Id::new(Kind::Workspace, name),
        properties: [("share", "1"), ("limit", "1")].into_iter().collect(),
    });
    document
}

/// Returns the names of the sections that a revision adds or changes.
pub fn changed_names(revision: &Revision) -> Vec<&str> {
    let sections = revision.delta.upserts.iter();
    sections.map(|section| section.id.name.as_str()).collect()
}
