//! Types of the daemon's settings.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of the daemon, read at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name and addresses of this entry host.
    pub entry: Entry,
    /// How other entry hosts are found and authenticated.
    pub peers: Peers,
    /// Store of the platform, or a store in memory.
    pub store: Store,
    /// Declarations that are read at the start; only used with the in-memory store.
    pub declarations: Option<Declarations>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Format and level of logs.
    pub log: Log,
    /// Platform's list of live and leaving hosts, if it provides one.
    pub hosts: Option<Hosts>,
}

/// The name, availability zone and addresses of an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name, unique in the fleet; a replacement of the entry host takes over the name.
    pub name: String,
    /// Availability zone of the entry host.
    pub zone: String,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address for operators, health checks of the load balancer, and metrics.
    pub operators: SocketAddr,
    /// Address on which other entry hosts connect.
    pub peers_listen: SocketAddr,
    /// Address advertised to other entry hosts, if it isn't `peers_listen`.
    pub advertise: Option<SocketAddr>,
}

/// How other entry hosts are found and authenticated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peers {
    /// Entry hosts that are asked for the members while the store is down.
    pub addresses: Vec<SocketAddr>,
    /// Secret shared by all entry hosts of the fleet.
    pub secret: Secret,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Time without contact to the store, directly or through peers, after which the
    /// configuration counts as possibly out of date.
    pub stale_after: Duration,
}

/// A secret whose value is left out of its debug output, and so of logs.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(pub(crate) String);

impl Secret {
    /// Returns the value of the secret.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The store of the platform or in memory, and the timeouts of its use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Store {
    /// Kind of store, with its addresses.
    pub kind: StoreKind,
    /// Prefix of all keys in the store.
    pub prefix: String,
    /// Timeout of a single call to the store.
    pub timeout: Duration,
    /// Time to live of the entry host's member lease; longer than `timeout`.
    pub lease: Duration,
}

/// A kind of store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreKind {
    /// An etcd cluster, reached through the JSON gateway at any of these URLs.
    Etcd(Vec<String>),
    /// A store in the memory of the daemon, for a fleet with a single entry host.
    Memory,
}

/// The declarations that are read at the start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Declarations {
    /// File, or folder of `.ini` files.
    pub path: PathBuf,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum body size of a request or response, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of requests open at once.
    pub max_open: u32,
    /// Maximum time until a request's header is complete.
    pub header_timeout: Duration,
    /// Maximum size of a request's header, in bytes.
    pub max_header_bytes: u64,
    /// Maximum time that a planned shutdown waits for open requests.
    pub drain_timeout: Duration,
    /// Deadline of a request that doesn't set one.
    pub default_deadline: Duration,
    /// Latest deadline that a request may set.
    pub max_deadline: Duration,
}

/// The format and level of logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Log {
    /// Format of a log line.
    pub format: Format,
    /// Least severe level that is logged.
    pub level: Level,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Text for human readers.
    Human,
    /// One JSON object per line.
    Json,
}

/// The severity of a log line, most severe first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Level {
    /// Failures that should not happen.
    Error,
    /// Conditions that need attention.
    Warning,
    /// Ordinary events.
    Info,
    /// Details for developers.
    Debug,
    /// Every processing step.
    Trace,
}

/// Access to the platform's list of live and leaving hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hosts {
    /// URL from which the list is read.
    pub url: String,
    /// Interval between reads.
    pub interval: Duration,
}

impl Entry {
    /// Returns the address advertised to other entry hosts.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peers_listen)
    }
}
