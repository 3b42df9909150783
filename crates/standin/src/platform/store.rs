//! The platform's store behind etcd v3's JSON gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_edge::store::{Lease, Memory, Store as _};

use super::http::{Down, Front};

mod answer;
mod faults;
mod kv;
mod watch;

use answer::Answerer;
pub use faults::Counts;

/// The platform's store; dropping it stops it.
///
/// # Example
///
/// ```
/// use rhubarbrill_edge::store::{Gateway, Store as _};
/// use rhubarbrill_standin::platform::Store;
///
/// let store = Store::start();
/// let gateway = Gateway::try_new([store.url()])?;
/// assert_eq!(gateway.get("config/head")?, None);
/// assert_eq!(store.counts().ranges, 1);
/// # Ok::<(), rhubarbrill_edge::store::Error>(())
/// ```
#[derive(Debug)]
pub struct Store {
    front: Front,
    answerer: Arc<Answerer>,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start() -> Self {
        Self::with_memory(Memory::new())
    }

    /// Starts a store over what `memory` holds.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn with_memory(memory: Memory) -> Self {
        let answerer = Arc::new(Answerer::new(memory));
        let shared = Arc::clone(&answerer);
        let front = Front::start(move |call| {
            let answerer = Arc::clone(&shared);
            async move { answerer.answer(&call) }
        });
        Self { front, answerer }
    }

    /// Returns where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Returns the URL that an adapter is built with.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns the state behind the store, without its faults.
    pub fn memory(&self) -> &Memory {
        self.answerer.memory()
    }

    /// Returns how many calls were carried out.
    pub fn counts(&self) -> Counts {
        self.answerer.faults().counts()
    }

    /// Delays every call.
    pub fn set_delay(&self, delay: Duration) {
        self.front.set_delay(delay);
    }

    /// Takes the server down; `None` brings it up.
    pub fn set_down(&self, down: Option<Down>) {
        self.front.set_down(down);
        if down.is_some() {
            self.drop_watches();
        }
    }

    /// Carries out the next `count` changes and closes the connection unanswered.
    pub fn lose_responses(&self, count: u32) {
        self.answerer.faults().lose_responses(count);
    }

    /// Carries out the next `count` changes and answers that the store timed out.
    pub fn time_out_changes(&self, count: u32) {
        self.answerer.faults().time_out_changes(count);
    }

    /// Answers reads with what was there `lag` revisions ago.
    pub fn set_stale(&self, lag: u64) {
        self.answerer.faults().set_stale(lag);
    }

    /// Closes the connections of all watches.
    pub fn drop_watches(&self) {
        self.answerer.faults().drop_watches();
    }

    /// Keeps watches open and tells them nothing, for as long as `muted` holds.
    pub fn mute_watches(&self, muted: bool) {
        self.answerer.faults().mute_watches(muted);
    }

    /// Ends a lease early.
    pub fn expire_lease(&self, lease: Lease) {
        // A store in memory can't fail.
        let _ = self.memory().revoke(lease);
    }
}
