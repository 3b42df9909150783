//! Sends requests to endpoints and reuses idle connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use super::body::{ResponseBody, is_bounded};
use super::connection::Connection;
use super::{Failure, Reason};

/// Timeouts and limits of requests to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Idle time up to which a connection may be reused.
    pub max_idle: Duration,
    /// Idle time up to which a connection counts as recently used; see [`Reuse::Recent`].
    pub max_recent_idle: Duration,
    /// Longest wait between two parts of a response body.
    pub progress_timeout: Duration,
    /// Maximum number of idle connections kept per endpoint.
    pub max_idle_connections: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle: Duration::from_secs(2),
            max_recent_idle: Duration::from_millis(250),
            progress_timeout: Duration::from_secs(10),
            max_idle_connections: 8,
        }
    }
}

/// Sends requests to endpoints. Clones share their idle connections.
#[derive(Clone, Debug, Default)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
pub(super) struct Shared {
    options: Options,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Only a new connection.
    Never,
    /// A connection that was in use within [`Options::max_recent_idle`], or a new one.
    Recent,
    /// A connection that was in use within [`Options::max_idle`], or a new one.
    Idle,
}

/// A request to an endpoint, with the rules for sending it.
#[derive(Debug)]
pub struct Call {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// The request to send.
    pub request: Request<Full<Bytes>>,
    /// Which connections may carry the request.
    pub reuse: Reuse,
    /// Longest wait for the response head after the request was sent.
    pub timeout: Duration,
}

impl Client {
    /// Returns a client without connections.
    pub fn new(options: Options) -> Self {
        Self {
            shared: Arc::new(Shared {
                options,
                idle: Mutex::default(),
            }),
        }
    }

    /// Sends a request, provided that `may_send` returns true right before the first byte
    /// leaves.
    ///
    /// Dropping the future closes the connection, which tells the endpoint to stop.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] with its verdict if no response head was received.
    pub async fn send(
        &self,
        call: Call,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Response<ResponseBody>, Failure> {
        let mut connection = self.connect(&call).await?;
        if !may_send() {
            self.shared.return_to_pool(call.address, connection);
            return Err(Failure::not_run(Reason::Withheld, call.address));
        }
        let is_head_request = call.request.method() == Method::HEAD;
        let response = connection.sender.try_send_request(call.request);
        let outcome = tokio::time::timeout(call.timeout, response)
            .await
            .map_err(|error| Failure::may_have_run(Reason::Timeout, error))?;
        let response = outcome.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            closed_failure(unsent, &error.into_error())
        })?;
        self.wrap_response(response, call.address, connection, is_head_request)
    }

    /// Closes idle connections that are too old to be reused.
    pub fn prune_idle(&self) {
        let mut idle = self.shared.idle();
        let max_idle = self.shared.options.max_idle;
        idle.retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(max_idle));
            !connections.is_empty()
        });
    }

    async fn connect(&self, call: &Call) -> Result<Connection, Failure> {
        let max_idle = self.shared.max_idle(call.reuse);
        if let Some(connection) = self.shared.take_idle(call.address, max_idle) {
            return Ok(connection);
        }
        Connection::open(call.address, self.shared.options.connect_timeout).await
    }

    fn wrap_response(
        &self,
        response: Response<Incoming>,
        address: SocketAddr,
        connection: Connection,
        is_head_request: bool,
    ) -> Result<Response<ResponseBody>, Failure> {
        if !is_bounded(&response, is_head_request) {
            return Err(Failure::may_have_run(Reason::Unbounded, address));
        }
        let progress_timeout = self.shared.options.progress_timeout;
        let shared = Arc::clone(&self.shared);
        let return_to_pool = move |connection| shared.return_to_pool(address, connection);
        Ok(response.map(|body| {
            ResponseBody::new(
                body,
                connection,
                progress_timeout,
                Box::new(return_to_pool),
            )
        }))
    }
}

fn closed_failure(unsent: bool, error: &hyper::Error) -> Failure {
    if unsent {
        return Failure::not_run(Reason::Closed, error);
    }
    Failure::may_have_run(Reason::Closed, error)
}

impl Shared {
    fn idle(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the idle time up to which a connection may be reused.
    const fn max_idle(&self, reuse: Reuse) -> Duration {
        match reuse {
            Reuse::Never => Duration::ZERO,
            Reuse::Recent => self.options.max_recent_idle,
            Reuse::Idle => self.options.max_idle,
        }
    }

    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        if max_idle.is_zero() {
            return None;
        }
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable(max_idle) && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn return_to_pool(&self, address: SocketAddr, mut connection: Connection) {
        connection.mark_idle();
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.options.max_idle_connections {
            connections.push(connection);
        }
    }
}
