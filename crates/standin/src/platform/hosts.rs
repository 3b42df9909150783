//! The platform's list of hosts, which lags behind reality.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::StatusCode;
use rhubarbrill_wire::hosts::{Host, List, State};

use super::http::{Call, Down, Front, json, text};

/// Path of the list.
const PATH: &str = "/v1/hosts";

/// The platform's list of hosts; dropping it stops it.
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
    front: Front,
    shared: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    views: Vec<View>,
    lag: Duration,
    calls: u64,
    raw: Option<String>,
}

/// The hosts from one time on.
#[derive(Clone, Debug)]
struct View {
    since: Instant,
    hosts: BTreeMap<String, Host>,
}

impl Hosts {
    /// Starts an empty list on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start() -> Self {
        let shared = Arc::new(Mutex::new(Inner::default()));
        let inner = Arc::clone(&shared);
        let front = Front::start(move |call: Call| {
            let response = if call.path == PATH {
                let mut inner = inner.lock().unwrap_or_else(PoisonError::into_inner);
                inner.calls += 1;
                match &inner.raw {
                    Some(raw) => text(StatusCode::OK, raw.clone()),
                    None => json(StatusCode::OK, &inner.list()),
                }
            } else {
                json(StatusCode::NOT_FOUND, &"no such path")
            };
            std::future::ready(Ok(response))
        });
        Self { front, shared }
    }

    /// Returns where the list is served.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Returns the URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}{PATH}", self.address())
    }

    /// Lists a host in a state, from now on.
    pub fn set(&self, name: &str, address: SocketAddr, state: State) {
        self.set_raw(name, &address.to_string(), state);
    }

    /// Lists a host with an address that need not be one.
    pub fn set_raw(&self, name: &str, address: &str, state: State) {
        let host = Host {
            name: name.to_owned(),
            address: address.to_owned(),
            state,
        };
        self.change(|hosts| {
            hosts.insert(name.to_owned(), host);
        });
    }

    /// Takes a host off the list.
    pub fn remove(&self, name: &str) {
        self.change(|hosts| {
            hosts.remove(name);
        });
    }

    /// Shows changes this long after they were made.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Answers with a text in place of the list; `None` for the list again.
    pub fn set_response(&self, text: Option<&str>) {
        self.lock().raw = text.map(str::to_owned);
    }

    /// Delays every answer.
    pub fn set_delay(&self, delay: Duration) {
        self.front.set_delay(delay);
    }

    /// Takes the server down; `None` brings it up.
    pub fn set_down(&self, down: Option<Down>) {
        self.front.set_down(down);
    }

    /// Returns how often the list was read.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<String, Host>)) {
        let mut inner = self.lock();
        let mut view = View {
            since: Instant::now(),
            hosts: inner
                .views
                .last()
                .map_or_else(BTreeMap::new, |view| view.hosts.clone()),
        };
        change(&mut view.hosts);
        inner.views.push(view);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns the list as it was `lag` ago.
    fn list(&self) -> List {
        let seen = self.views.iter().rev();
        let view = seen
            .into_iter()
            .find(|view| view.since.elapsed() >= self.lag);
        let hosts =
            view.map_or_else(Vec::new, |view| view.hosts.values().cloned().collect());
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
