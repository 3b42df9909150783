//! A store in memory that can be down, and loses swaps or their answers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rhubarbrill_edge::Effect;
use rhubarbrill_edge::store::{
    Entry, Error, Lease, Listing, Memory, Store, Swap, Swapped, memory,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(dead_code, reason = "each test binary uses some")]
pub enum State {
    Up,
    Down,
    LosesAnswers,
    /// Of five swaps, one never arrives and one loses its answer.
    Mixed(u32),
}

#[derive(Clone)]
pub struct Flaky {
    pub store: Memory,
    state: Arc<Mutex<State>>,
}

impl Default for Flaky {
    fn default() -> Self {
        let state = Arc::new(Mutex::new(State::Up));
        Self {
            store: Memory::new(),
            state,
        }
    }
}

#[allow(dead_code, reason = "each test binary uses some")]
impl Flaky {
    pub fn set(&self, state: State) {
        *self.state.lock().unwrap() = state;
    }

    pub fn is(&self, state: State) -> bool {
        *self.state.lock().unwrap() == state
    }

    fn next(&self) -> State {
        let mut state = self.state.lock().unwrap();
        match *state {
            State::Mixed(count) => {
                *state = State::Mixed(count + 1);
                match count % 5 {
                    1 => State::Down,
                    3 => State::LosesAnswers,
                    _ => State::Up,
                }
            }
            other => other,
        }
    }
}

fn silent<T>(effect: Effect) -> Result<T, Error> {
    Err(Error::unreachable(effect, "no answer"))
}

impl Store for Flaky {
    type Watch = memory::Watch;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        if self.is(State::Down) {
            return silent(Effect::None);
        }
        self.store.get(key)
    }
    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.store.list(prefix)
    }
    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        match self.next() {
            State::Up | State::Mixed(_) => self.store.swap(swap),
            State::Down => silent(Effect::None),
            State::LosesAnswers => {
                self.store.swap(swap)?;
                silent(Effect::Unknown)
            }
        }
    }
    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.store.grant(ttl)
    }
    fn renew(&self, lease: Lease) -> Result<bool, Error> {
        self.store.renew(lease)
    }
    fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.store.revoke(lease)
    }
    fn watch(&self, prefix: &str, from: u64) -> Result<memory::Watch, Error> {
        self.store.watch(prefix, from)
    }
}
