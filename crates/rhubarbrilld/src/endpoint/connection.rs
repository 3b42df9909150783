//! A connection to an endpoint.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::{Failure, Reason};

/// An HTTP/1.1 connection whose socket closes when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    idle_since: Instant,
}

/// The task that drives a connection's I/O. Aborted when dropped.
///
/// Without the abort, hyper would keep reading a response that nobody waits for, and the
/// endpoint would not notice that its caller has gone.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Connects to an endpoint.
    pub(super) async fn open(
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, Failure> {
        let connect_failure =
            |error: &dyn std::fmt::Display| Failure::not_run(Reason::Connect, error);
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|error| connect_failure(&error))?
            .map_err(|error| connect_failure(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| connect_failure(&error))?;
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_failure(&error))?;
        let driver = tokio::spawn(async move {
            // The request that waits on this connection reports the error itself.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: Driver(driver),
            idle_since: Instant::now(),
        })
    }

    /// Records that the connection becomes idle now.
    pub(super) fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns whether the connection is open and has been idle for less than `max_idle`.
    pub(super) fn is_usable(&self, max_idle: Duration) -> bool {
        self.idle_since.elapsed() < max_idle
            && !self.sender.is_closed()
            && !self.driver.0.is_finished()
    }
}
