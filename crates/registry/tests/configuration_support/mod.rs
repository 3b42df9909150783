//! A store whose answers go wrong as told, and several operators who take turns.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use rhubarbrill_config::document::{Id, Kind, Section};
use rhubarbrill_config::{Document, Revision};
use rhubarbrill_edge::store::{
    Change, Effect, Entry, Error, Expect, Lease, Listing, Store, Swap, Swapped,
};

/// How a call goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It doesn't.
    None,
    /// The call never arrives, and the caller knows.
    Refused,
    /// A swap never arrives, and the caller can't know.
    LostRequest,
    /// A swap takes effect, and its answer is lost.
    LostAnswer,
    /// A swap takes effect two calls of the store later, and its answer is lost.
    Late,
    /// A read shows the store as it was so many changes ago.
    Lag(usize),
    /// The caller is cut off for good: this call and all later ones fail.
    Crash,
}

type Keys = BTreeMap<String, Entry>;

#[derive(Default)]
struct State {
    /// The keys after each change.
    history: Vec<Keys>,
    late: Vec<(usize, Swap)>,
    calls: usize,
    turns: VecDeque<usize>,
    leavers: Vec<usize>,
}

/// The store itself; operators reach it through a [`Link`].
#[derive(Clone, Default)]
pub struct Fake(Arc<(Mutex<State>, Condvar)>);

/// One operator's way to the store.
pub struct Link {
    fake: Fake,
    operator: usize,
    faults: Mutex<VecDeque<Fault>>,
}

impl Fake {
    /// Returns a store in which operators call in this order, as long as it lasts.
    pub fn new(turns: &[usize]) -> Self {
        let fake = Self::default();
        let mut state = fake.0.0.lock().unwrap();
        state.turns = turns.iter().copied().collect();
        state.history.push(Keys::new());
        drop(state);
        fake
    }

    pub fn link(&self, operator: usize, faults: &[Fault]) -> Link {
        Link {
            fake: self.clone(),
            operator,
            faults: Mutex::new(faults.iter().copied().collect()),
        }
    }

    pub fn calls(&self) -> usize {
        self.0.0.lock().unwrap().calls
    }

    /// Returns what a key holds, out of turn.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.keys().into_iter().find(|entry| entry.key == key)
    }

    pub fn keys(&self) -> Vec<Entry> {
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
        state.skip_leavers();
        state.calls += 1;
        state.land_late();
        let answer = run(&mut state);
        condition.notify_all();
        answer
    }
}

impl State {
    fn skip_leavers(&mut self) {
        while self
            .turns
            .front()
            .is_some_and(|turn| self.leavers.contains(turn))
        {
            self.turns.pop_front();
        }
    }

    fn land_late(&mut self) {
        let calls = self.calls;
        for (due, swap) in std::mem::take(&mut self.late) {
            if due <= calls {
                self.swap(swap);
            } else {
                self.late.push((due, swap));
            }
        }
    }

    fn swap(&mut self, swap: Swap) -> Swapped {
        let keys = self.history.last().unwrap();
        let found = keys.get(&swap.key);
        let fits = match swap.expect {
            Expect::Absent => found.is_none(),
            Expect::Version(version) => {
                found.is_some_and(|entry| entry.version == version)
            }
        };
        if !fits {
            return Swapped::Conflict(found.cloned());
        }
        let (mut keys, version) = (keys.clone(), self.history.len() as u64);
        match swap.value {
            Some(value) => {
                let key = swap.key.clone();
                keys.insert(
                    swap.key,
                    Entry {
                        key,
                        value,
                        version,
                    },
                );
            }
            None => drop(keys.remove(&swap.key)),
        }
        self.history.push(keys);
        Swapped::Done(version)
    }

    fn seen(&self, fault: Fault) -> &Keys {
        let lag = if let Fault::Lag(lag) = fault { lag } else { 0 };
        &self.history[self.history.len().saturating_sub(1 + lag)]
    }
}

impl Link {
    fn fault(&self) -> Fault {
        let mut faults = self.faults.lock().unwrap();
        match faults.front() {
            Some(Fault::Crash) => Fault::Crash,
            _ => faults.pop_front().unwrap_or(Fault::None),
        }
    }
}

impl Drop for Link {
    /// Lets the others go on without this operator.
    fn drop(&mut self) {
        let (lock, condition) = &*self.fake.0;
        let mut state = lock.lock().unwrap();
        state.leavers.push(self.operator);
        state.skip_leavers();
        condition.notify_all();
    }
}

impl Store for Link {
    type Watch = std::iter::Empty<Result<Change, Error>>;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let fault = self.fault();
        self.fake.call(self.operator, |state| match fault {
            Fault::Refused | Fault::Crash => Err(Error::unreachable(Effect::None, key)),
            _ => Ok(state.seen(fault).get(key).cloned()),
        })
    }

    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let fault = self.fault();
        self.fake.call(self.operator, |state| match fault {
            Fault::Refused | Fault::Crash => {
                Err(Error::unreachable(Effect::None, prefix))
            }
            _ => {
                let entries = state.seen(fault).values();
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
        self.fake.call(self.operator, |state| {
            let lost = Err(Error::unreachable(Effect::Unknown, swap.key.as_str()));
            match fault {
                Fault::None | Fault::Lag(_) => Ok(state.swap(swap)),
                Fault::Refused | Fault::Crash => {
                    Err(Error::unreachable(Effect::None, swap.key))
                }
                Fault::LostRequest => lost,
                Fault::LostAnswer => {
                    state.swap(swap);
                    lost
                }
                Fault::Late => {
                    let due = state.calls + 2;
                    state.late.push((due, swap));
                    lost
                }
            }
        })
    }

    fn grant(&self, _: Duration) -> Result<Lease, Error> {
        Err(Error::refused("no leases here"))
    }

    fn renew(&self, _: Lease) -> Result<bool, Error> {
        Err(Error::refused("no leases here"))
    }

    fn revoke(&self, _: Lease) -> Result<(), Error> {
        Err(Error::refused("no leases here"))
    }

    fn watch(&self, _: &str, _: u64) -> Result<Self::Watch, Error> {
        Err(Error::refused("no watches here"))
    }
}

/// Returns a document with one more workspace.
pub fn with_workspace(document: &Document, name: &str) -> Document {
    let mut document = document.clone();
    document.insert(Section {
        id: Id::new(Kind::Workspace, name),
        properties: [("share", "1"), ("limit", "1")].into_iter().collect(),
    });
    document
}

/// Returns the workspaces that a revision adds.
pub fn workspaces(revision: &Revision) -> Vec<&str> {
    let sections = revision.delta.upserts.iter();
    sections.map(|section| section.id.name.as_str()).collect()
}
