//! One connection to an endpoint.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::{Failure, Reason};

/// A connection whose socket closes when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    idle_since: Instant,
}

/// The task that moves a connection's bytes; aborted when dropped.
///
/// Without the abort, hyper would keep reading an answer that nobody waits for and the
/// endpoint would not learn that its caller has left.
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
            // The request that waits on this connection reports the failure itself.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: Driver(driver),
            idle_since: Instant::now(),
        })
    }

    /// Marks the start of an idle period.
    pub(super) fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns whether the connection may carry another request.
    pub(super) fn is_usable(&self, max_idle: Duration) -> bool {
        self.idle_since.elapsed() < max_idle
            && !self.sender.is_closed()
            && !self.driver.0.is_finished()
    }
}
