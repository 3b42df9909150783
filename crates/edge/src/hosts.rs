//! The platform's list of live and leaving hosts.
//!
//! The list lags behind reality, and says by how much.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::Value;
use ureq::Agent;

pub use rhubarbrill_wire::hosts::State;

use crate::error::{Effect, Error};
use crate::http::agent;

/// Longest time that a read takes by default.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Longest list that is read, in bytes.
const MAX_LIST_BYTES: u64 = 16 << 20;

/// A host as the platform sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Where the host's endpoint answers.
    pub address: SocketAddr,
    /// What the platform plans for the host.
    pub state: State,
}

/// The hosts at one time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The hosts, in the platform's order.
    pub hosts: Vec<Host>,
    /// When the list was made, by the platform's clock.
    pub as_of: SystemTime,
    /// Entries that were left out because they can't be read.
    pub unreadable: usize,
}

/// Reads the platform's list of hosts.
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

/// The list with its entries unread, so that one bad entry spoils no other.
#[derive(Debug, Deserialize)]
struct Rough {
    hosts: Vec<Value>,
    as_of: u64,
}

impl Reader {
    /// Creates a reader of the list at `url`; nothing is sent yet.
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            timeout: TIMEOUT,
            agent: Mutex::new(agent()),
        }
    }

    /// Sets the longest time that a read takes.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes in time, or the answer isn't a list of hosts.
    pub fn read(&self) -> Result<Listing, Error> {
        let body = self.fetch().map_err(|error| {
            // The idle connections may have gone silent like the failed one.
            *self.lock() = agent();
            Error::unreachable(Effect::None, error.to_string())
        })?;
        let rough: Rough = serde_json::from_slice(&body)
            .map_err(|error| Error::malformed(Effect::None, error.to_string()))?;
        Ok(Listing::from(rough))
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

impl From<Rough> for Listing {
    fn from(rough: Rough) -> Self {
        let listed = rough.hosts.len();
        let hosts: Vec<Host> = rough.hosts.into_iter().filter_map(parse).collect();
        Self {
            unreadable: listed - hosts.len(),
            hosts,
            as_of: UNIX_EPOCH + Duration::from_millis(rough.as_of),
        }
    }
}

fn parse(entry: Value) -> Option<Host> {
    let host: rhubarbrill_wire::hosts::Host = serde_json::from_value(entry).ok()?;
    Some(Host {
        address: host.address.parse().ok()?,
        name: host.name,
        state: host.state,
    })
}
