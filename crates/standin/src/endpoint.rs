//! An endpoint that echoes requests, counts runs and misbehaves on demand.
//!
//! Any method and path is answered with the request's body. A request's identity is read
//! from [`IDENTITY_HEADER`], its workspace from [`WORKSPACE_HEADER`], and the time that
//! its work takes from [`WORK_HEADER`]. An answer carries the SHA-256 of its whole body
//! in [`DIGEST_HEADER`], so that a caller can tell a whole answer from a part of one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use self::log::Log;
use self::service::Service;
use crate::Tally;
use crate::server::Server;

mod body;
mod connection;
mod log;
mod service;

pub use log::{Counters, Run, Stage};

/// Request header that identifies a request over all its tries; echoed in the answer.
pub const IDENTITY_HEADER: &str = "idempotency-key";

/// Request header that names the workspace.
pub const WORKSPACE_HEADER: &str = "rhubarbrill-team";

/// Request header with the time the work takes, in milliseconds.
pub const WORK_HEADER: &str = "x-work-ms";

/// Response header with the SHA-256 of the whole body, in hexadecimal.
pub const DIGEST_HEADER: &str = "x-body-digest";

/// Response header with the endpoint's name.
pub const NAME_HEADER: &str = "x-endpoint";

/// Length of the body under [`Fault::LargeResponse`], in bytes.
pub const LARGE_RESPONSE_BYTES: usize = 4 << 20;

/// How an endpoint misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Not at all.
    #[default]
    None,
    /// Closes every connection and refuses new ones.
    Refuse,
    /// Sends half of the body and closes the connection.
    CloseMidResponse,
    /// Announces more bytes than it sends, then closes the connection.
    LengthTooLong,
    /// Announces fewer bytes than it sends.
    LengthTooShort,
    /// Reads requests and never answers them; open connections stay silent for good.
    Hang,
    /// Answers 500 at once without working.
    FailFast,
    /// Answers with [`LARGE_RESPONSE_BYTES`] bytes.
    LargeResponse,
    /// Sends nothing for this long after the work is done.
    SlowFirstByte(Duration),
}

/// How an endpoint is set up.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_standin::endpoint::{Endpoint, Options};
///
/// let options = Options::new("e1").work(Duration::from_millis(5)).slots(8);
/// let endpoint = Endpoint::start(options);
/// assert_eq!(endpoint.counters().runs, 0);
/// ```
#[derive(Clone, Debug)]
pub struct Options {
    name: String,
    tally: Tally,
    work: Duration,
    slots: u32,
    connections: u32,
    detached: bool,
}

impl Options {
    /// Returns the options of an endpoint without work time and bounds.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            tally: Tally::default(),
            work: Duration::ZERO,
            slots: u32::MAX,
            connections: u32::MAX,
            detached: false,
        }
    }

    /// Counts runs in a tally that other endpoints share.
    #[must_use]
    pub fn tally(mut self, tally: &Tally) -> Self {
        self.tally = tally.clone();
        self
    }

    /// Sets how long a request without [`WORK_HEADER`] works.
    #[must_use]
    pub fn work(mut self, work: Duration) -> Self {
        self.work = work;
        self
    }

    /// Answers 503 without working when this many requests work already.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Closes a new connection when this many are open already.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Goes on working after the caller's connection has closed.
    #[must_use]
    pub fn detached(mut self) -> Self {
        self.detached = true;
        self
    }
}

/// A running endpoint; dropping it stops it.
#[derive(Debug)]
pub struct Endpoint {
    server: Server,
    name: String,
    tally: Tally,
    log: Arc<Log>,
    fault: watch::Sender<Fault>,
}

impl Endpoint {
    /// Starts an endpoint on a free port.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start(options: Options) -> Self {
        let (fault, fault_seen) = watch::channel(Fault::None);
        let log = Arc::new(Log::default());
        let name = options.name.clone();
        let tally = options.tally.clone();
        let connections = options.connections;
        let service = Arc::new(Service::new(options, Arc::clone(&log), fault_seen));
        let shared = Arc::clone(&log);
        let server = Server::start(move |listener, stop| {
            listener.accept(stop, move |stream, token| {
                if let Some(open) = shared.connect(connections) {
                    let service = Arc::clone(&service);
                    tokio::spawn(connection::run(service, open, stream, token));
                }
            })
        });
        Self {
            server,
            name,
            tally,
            log,
            fault,
        }
    }

    /// Returns where the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the endpoint's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Changes how the endpoint misbehaves from the next request on.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
        self.server.set_refusing(fault == Fault::Refuse);
    }

    /// Returns what the endpoint has counted.
    pub fn counters(&self) -> Counters {
        self.log.counters()
    }

    /// Returns every request whose head arrived, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.log.runs()
    }

    /// Returns the tally that the endpoint counts in.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }
}
