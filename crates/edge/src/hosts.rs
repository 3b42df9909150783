//! Client of the platform's list of hosts and their states.
//!
//! The list may be stale; [`Listing::as_of`] tells when the platform compiled it.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::Value;
use ureq::Agent;

pub use rhubarbrill_wire::hosts::State;

use crate::error::{Effect, Error};
use crate::http::agent;

/// Default timeout of a read.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body, in bytes; a longer list is an error.
const MAX_LIST_BYTES: u64 = 16 << 20;

/// A host as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Address at which the host's endpoint accepts requests.
    pub address: SocketAddr,
    /// Lifecycle state that the platform reports for the host.
    pub state: State,
}

/// The hosts as of one point in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The hosts, in the platform's order.
    pub hosts: Vec<Host>,
    /// Time at which the list was compiled, by the platform's clock.
    pub as_of: SystemTime,
    /// Number of entries left out because they couldn't be parsed.
    pub unreadable: usize,
}

/// HTTP client that reads the platform's list of hosts.
///
/// # Example
///
/// ```
/// use rhubarbrill_edge::hosts::{Reader, State};
/// use rhubarbrill_standin::platform::Hosts;
///
/// let list = Hosts::start();
/// list.set("h1", "127.0.0.1:9".parse().unwrap(), State::Leaving);
/// let listing = Reader::new(list.url()).read()?;
/// assert_eq!(listing.hosts[0].state, State::Leaving);
/// # Ok::<(), rhubarbrill_edge::Error>(())
/// ```
#[derive(Debug)]
pub struct Reader {
    url: String,
    timeout: Duration,
    agent: Mutex<Agent>,
}

/// The response body with unparsed entries, so that a malformed entry doesn't make the
/// others unreadable.
#[derive(Debug, Deserialize)]
struct RawListing {
    hosts: Vec<Value>,
    as_of: u64,
}

impl Reader {
    /// Creates a reader of the list at `url`, without connecting yet.
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            timeout: DEFAULT_TIMEOUT,
            agent: Mutex::new(agent()),
        }
    }

    /// Sets the timeout of a whole read, 2 s by default.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Fetches and parses the list.
    ///
    /// # Errors
    ///
    /// Fails when no complete response with status 200 arrives before the timeout, or the
    /// body isn't a list of hosts.
    pub fn read(&self) -> Result<Listing, Error> {
        let body = self.fetch().map_err(|error| {
            // Pooled connections may be dead like the one that just failed, so drop them.
            *self.lock() = agent();
            Error::unreachable(Effect::None, error.to_string())
        })?;
        let raw: RawListing = serde_json::from_slice(&body)
            .map_err(|error| Error::malformed(Effect::None, error.to_string()))?;
        Ok(Listing::from(raw))
    }

    fn fetch(&self) -> Result<Vec<u8>, ureq::Error> {
        let agent = self.lock().clone();
        let mut response = agent
            .get(&self.url)
            .config()
            .timeout_global(Some(self.timeout))
            .build()
            .call()?;
        let status = response.status();
        if status != ureq::http::StatusCode::OK {
            return Err(ureq::Error::StatusCode(status.as_u16()));
        }
        let body = response.body_mut().with_config().limit(MAX_LIST_BYTES);
        body.read_to_vec()
    }

    fn lock(&self) -> MutexGuard<'_, Agent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<RawListing> for Listing {
    fn from(raw: RawListing) -> Self {
        let total = raw.hosts.len();
        let hosts: Vec<Host> = raw.hosts.into_iter().filter_map(parse_host).collect();
        Self {
            unreadable: total - hosts.len(),
            hosts,
            as_of: UNIX_EPOCH + Duration::from_millis(raw.as_of),
        }
    }
}

fn parse_host(entry: Value) -> Option<Host> {
    let host: rhubarbrill_wire::hosts::Host = serde_json::from_value(entry).ok()?;
    Some(Host {
        address: host.address.parse().ok()?,
        name: host.name,
        state: host.state,
    })
}
