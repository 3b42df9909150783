//! The platform's list of hosts, which can lag behind the changes made to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::StatusCode;
use rhubarbrill_wire::hosts::{Host, List, State};

use super::http::{Down, FaultyServer, ReceivedRequest, json, raw_json};

/// HTTP path of the list.
const PATH: &str = "/v1/hosts";

/// A server of the platform's list of hosts. Dropping it stops the server.
///
/// # Example
///
/// ```
/// use rhubarbrill_standin::platform::Hosts;
/// use rhubarbrill_wire::hosts::State;
///
/// let hosts = Hosts::start();
/// hosts.set("h1", "127.0.0.1:9".parse().unwrap(), State::Leaving);
/// assert!(hosts.url().starts_with("http://127.0.0.1:"));
/// ```
#[derive(Debug)]
pub struct Hosts {
    server: FaultyServer,
    shared: Arc<Mutex<HostsState>>,
}

#[derive(Debug, Default)]
struct HostsState {
    versions: Vec<HostsVersion>,
    lag: Duration,
    calls: u64,
    override_body: Option<String>,
}

/// The hosts listed since one point in time, until the next version.
#[derive(Clone, Debug)]
struct HostsVersion {
    since: Instant,
    hosts: BTreeMap<String, Host>,
}

impl Hosts {
    /// Starts a server of an empty list on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start() -> Self {
        let shared = Arc::new(Mutex::new(HostsState::default()));
        let state = Arc::clone(&shared);
        let server = FaultyServer::start(move |call: ReceivedRequest| {
            let response = if call.path == PATH {
                let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
                state.calls += 1;
                match &state.override_body {
                    Some(override_body) => {
                        raw_json(StatusCode::OK, override_body.clone())
                    }
                    None => json(StatusCode::OK, &state.list()),
                }
            } else {
                json(StatusCode::NOT_FOUND, &"no such path")
            };
            std::future::ready(Ok(response))
        });
        Self { server, shared }
    }

    /// Returns the address that the list is served on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}{PATH}", self.address())
    }

    /// Adds a host to the list, or replaces the entry of the same name.
    pub fn set(&self, name: &str, address: SocketAddr, state: State) {
        self.set_raw(name, &address.to_string(), state);
    }

    /// Adds or replaces a host, with an address that need not be valid.
    pub fn set_raw(&self, name: &str, address: &str, state: State) {
        let host = Host {
            name: name.to_owned(),
            address: address.to_owned(),
            state,
        };
        self.update(|hosts| {
            hosts.insert(name.to_owned(), host);
        });
    }

    /// Removes a host from the list.
    pub fn remove(&self, name: &str) {
        self.update(|hosts| {
            hosts.remove(name);
        });
    }

    /// Sets how long after a change the served list shows it.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Serves this text in place of the list; `None` serves the list again.
    pub fn set_response(&self, text: Option<&str>) {
        self.lock().override_body = text.map(str::to_owned);
    }

    /// Delays every response by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.server.set_delay(delay);
    }

    /// Makes the server unavailable; `None` makes it available again.
    pub fn set_down(&self, down: Option<Down>) {
        self.server.set_down(down);
    }

    /// Returns the number of requests for the list that were answered.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn update(&self, update: impl FnOnce(&mut BTreeMap<String, Host>)) {
        let mut state = self.lock();
        let mut version = HostsVersion {
            since: Instant::now(),
            hosts: state
                .versions
                .last()
                .map_or_else(BTreeMap::new, |version| version.hosts.clone()),
        };
        update(&mut version.hosts);
        state.versions.push(version);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HostsState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HostsState {
    /// Returns the list as it was `lag` ago.
    fn list(&self) -> List {
        let newest_first = self.versions.iter().rev();
        let version = newest_first
            .into_iter()
            .find(|version| version.since.elapsed() >= self.lag);
        let hosts = version.map_or_else(Vec::new, |version| {
            version.hosts.values().cloned().collect()
        });
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let as_of = now.saturating_sub(self.lag).as_millis();
        List {
            hosts,
            as_of: u64::try_from(as_of).unwrap_or(u64::MAX),
        }
    }
}
