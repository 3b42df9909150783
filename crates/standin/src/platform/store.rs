//! The platform's key-value store, served as by etcd v3's JSON gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_edge::store::{Lease, Memory, Store as _};

use super::http::{Down, FaultyServer};

mod faults;
mod handler;
mod kv;
mod watch;

pub use faults::Counts;
use handler::RequestHandler;

/// A server of the platform's key-value store. Dropping it stops the server.
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
    server: FaultyServer,
    handler: Arc<RequestHandler>,
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

    /// Starts a store on a free port that serves the contents of `memory`.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn with_memory(memory: Memory) -> Self {
        let handler = Arc::new(RequestHandler::new(memory));
        let shared_handler = Arc::clone(&handler);
        let server = FaultyServer::start(move |call| {
            let handler = Arc::clone(&shared_handler);
            async move { handler.handle(&call) }
        });
        Self { server, handler }
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL for clients of the store.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns the contents of the store, to which the injected faults don't apply.
    pub fn memory(&self) -> &Memory {
        self.handler.memory()
    }

    /// Returns the number of requests processed, by kind.
    pub fn counts(&self) -> Counts {
        self.handler.faults().counts()
    }

    /// Delays every request by `delay` before it is processed.
    pub fn set_delay(&self, delay: Duration) {
        self.server.set_delay(delay);
    }

    /// Makes the server unavailable and closes its watches; `None` makes it available
    /// again.
    pub fn set_down(&self, down: Option<Down>) {
        self.server.set_down(down);
        if down.is_some() {
            self.drop_watches();
        }
    }

    /// Applies the next `count` changes and closes their connections without a response.
    pub fn lose_responses(&self, count: u32) {
        self.handler.faults().lose_responses(count);
    }

    /// Applies the next `count` changes and responds that the store timed out.
    pub fn time_out_changes(&self, count: u32) {
        self.handler.faults().time_out_changes(count);
    }

    /// Serves reads from the state of `lag` revisions ago.
    pub fn set_stale(&self, lag: u64) {
        self.handler.faults().set_stale(lag);
    }

    /// Closes the connections of all open watches.
    pub fn drop_watches(&self) {
        self.handler.faults().drop_watches();
    }

    /// Keeps watches open but sends them nothing while `muted` is set.
    pub fn mute_watches(&self, muted: bool) {
        self.handler.faults().mute_watches(muted);
    }

    /// Ends a lease before its TTL has passed, and deletes its keys.
    pub fn expire_lease(&self, lease: Lease) {
        // Operations on an in-memory store don't fail.
        let _ = self.memory().revoke(lease);
    }
}
