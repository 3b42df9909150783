//! An HTTP endpoint that echoes requests, counts runs and injects faults on demand.
//!
//! The response to any method and path contains the body of the request. The idempotency
//! key of a request is read from [`IDENTITY_HEADER`], its workspace from
//! [`WORKSPACE_HEADER`], and its processing time from [`WORK_HEADER`]. A response carries
//! the SHA-256 of its complete body in [`DIGEST_HEADER`], so that a caller can detect a
//! truncated response.

use std::net::SocketAddr;
use std::sync::{Arc, LazyLock};
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

/// Request header with the idempotency key, which is the same in every attempt of a
/// request and is echoed in the response.
pub const IDENTITY_HEADER: &str = "idempotency-key";

/// Request header with the name of the workspace that the run is counted for.
pub const WORKSPACE_HEADER: &str = "rhubarbrill-team";

/// Request header with the processing time of the request, in milliseconds.
pub const WORK_HEADER: &str = "x-work-ms";

/// Response header with the SHA-256 of the complete body, in hexadecimal.
pub const DIGEST_HEADER: &str = "x-body-digest";

/// Response header with the name of the endpoint, as set by [`Options::new`].
pub const NAME_HEADER: &str = "x-endpoint";

/// Length of the response body under [`Fault::LargeResponse`], in bytes.
pub const LARGE_RESPONSE_BYTES: usize = 4 << 20;

/// A fault that an endpoint injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// The endpoint works normally.
    #[default]
    None,
    /// Closes every connection and refuses new ones.
    Refuse,
    /// Sends half of the response body and closes the connection.
    CloseMidResponse,
    /// Sends a `Content-Length` that exceeds the body, then closes the connection.
    LengthTooLong,
    /// Sends a `Content-Length` that is smaller than the number of body bytes sent.
    LengthTooShort,
    /// Reads requests and never responds to them. A connection that carries such a
    /// request stays silent even after the fault is cleared.
    Hang,
    /// Responds with status 500 at once, without starting a run.
    FailFast,
    /// Responds with a body of [`LARGE_RESPONSE_BYTES`] bytes.
    LargeResponse,
    /// Delays the response by this duration after the run has finished.
    SlowFirstByte(Duration),
}

/// Configuration of an [`Endpoint`].
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
    /// Returns options with no processing time and no limits.
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

    /// Counts runs in `tally`, which several endpoints may share.
    #[must_use]
    pub fn tally(mut self, tally: &Tally) -> Self {
        self.tally = tally.clone();
        self
    }

    /// Sets the processing time of requests without [`WORK_HEADER`].
    #[must_use]
    pub fn work(mut self, work: Duration) -> Self {
        self.work = work;
        self
    }

    /// Limits the number of concurrent runs; further requests receive status 503.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Limits the number of open connections; further ones are closed at once.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Lets a run continue after the connection of its caller has closed.
    #[must_use]
    pub fn detached(mut self) -> Self {
        self.detached = true;
        self
    }
}

/// A running endpoint. Dropping it stops the server.
#[derive(Debug)]
pub struct Endpoint {
    server: Server,
    name: String,
    tally: Tally,
    log: Arc<Log>,
    fault: watch::Sender<Fault>,
}

impl Endpoint {
    /// Starts an endpoint on a free port of 127.0.0.1.
    ///
    /// # Panics
    ///
    /// Panics when no port of 127.0.0.1 is free.
    pub fn start(options: Options) -> Self {
        let (fault, fault_receiver) = watch::channel(Fault::None);
        let log = Arc::new(Log::default());
        let name = options.name.clone();
        let tally = options.tally.clone();
        let connections = options.connections;
        let service = Arc::new(Service::new(options, Arc::clone(&log), fault_receiver));
        let shared_log = Arc::clone(&log);
        let server = Server::start(move |listener, stop| {
            listener.accept(stop, move |stream, token| {
                if let Some(open) = shared_log.open_connection(connections) {
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

    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the name of the endpoint, as set by [`Options::new`].
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sets the fault that applies to every request received in full from now on.
    pub fn set_fault(&self, fault: Fault) {
        if fault == Fault::LargeResponse {
            // Hashing the body for the first time takes most of a second in a build
            // without optimization, which must not count against a caller's deadline.
            LazyLock::force(&service::LARGE_RESPONSE);
        }
        self.fault.send_replace(fault);
        self.server.set_refusing(fault == Fault::Refuse);
    }

    /// Returns the current values of the counters.
    pub fn counters(&self) -> Counters {
        self.log.counters()
    }

    /// Returns every request whose header section was received, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.log.runs()
    }

    /// Returns the tally in which the endpoint counts its runs.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }
}
