//! An in-memory store that can be down, and that loses swaps or the responses to them.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rhubarbrill_edge::Effect;
use rhubarbrill_edge::store::{
    Entry, Error, Lease, Listing, Memory, Store, Swap, Swapped, memory,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(dead_code, reason = "each test binary uses only some items")]
pub enum StoreState {
    Up,
    Down,
    LosesResponses,
    /// Of every five swaps, one fails without taking effect and one takes effect but
    /// loses its response.
    Mixed(u32),
}

#[derive(Clone)]
pub struct FlakyStore {
    pub inner: Memory,
    state: Arc<Mutex<StoreState>>,
}

impl Default for FlakyStore {
    fn default() -> Self {
        let state = Arc::new(Mutex::new(StoreState::Up));
        Self {
            inner: Memory::new(),
            state,
        }
    }
}

#[allow(dead_code, reason = "each test binary uses only some items")]
impl FlakyStore {
    pub fn set(&self, state: StoreState) {
        *self.state.lock().unwrap() = state;
    }

    pub fn is(&self, state: StoreState) -> bool {
        *self.state.lock().unwrap() == state
    }

    fn next_swap_state(&self) -> StoreState {
        let mut state = self.state.lock().unwrap();
        match *state {
            StoreState::Mixed(count) => {
                *state = StoreState::Mixed(count + 1);
                match count % 5 {
                    1 => StoreState::Down,
                    3 => StoreState::LosesResponses,
                    _ => StoreState::Up,
                }
            }
            other => other,
        }
    }
}

fn no_response<T>(effect: Effect) -> Result<T, Error> {
    Err(Error::unreachable(effect, "no response"))
}

impl Store for FlakyStore {
    type Watch = memory::Watch;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        if self.is(StoreState::Down) {
            return no_response(Effect::None);
        }
        self.inner.get(key)
    }
    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.inner.list(prefix)
    }
    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        match self.next_swap_state() {
            StoreState::Up | StoreState::Mixed(_) => self.inner.swap(swap),
            StoreState::Down => no_response(Effect::None),
            StoreState::LosesResponses => {
                self.inner.swap(swap)?;
                no_response(Effect::Unknown)
            }
        }
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
    fn watch(&self, prefix: &str, from: u64) -> Result<memory::Watch, Error> {
        self.inner.watch(prefix, from)
    }
}
