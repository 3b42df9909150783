//! The listener for callers, with a connection limit and a graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use rhubarbrill_dispatch::listener::{accept_pending, serve};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Service;

pub use rhubarbrill_dispatch::listener::Options;

/// Pause after a failed accept, so that the process can free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Connections that were still open when the drain timeout elapsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenConnections {
    /// All connections had closed.
    None,
    /// This number of connections was still open.
    Some(usize),
}

/// Serves callers on one address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    service: Arc<Service>,
    options: Options,
    connections: TaskTracker,
}

impl Server {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        service: Arc<Service>,
        options: Options,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            service,
            options,
            connections: TaskTracker::new(),
        })
    }

    /// Returns the local address that callers connect to.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't report the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `cancel`, then waits up to `drain_timeout` for open requests.
    pub async fn run(
        self,
        cancel: CancellationToken,
        drain_timeout: Duration,
    ) -> OpenConnections {
        let Self {
            listener,
            service,
            options,
            connections,
        } = self;
        let conn_slots = Arc::new(Semaphore::new(options.max_connections));
        let spawn = |stream, slot| {
            let served =
                serve_connection(stream, Arc::clone(&service), options, cancel.clone());
            connections.spawn(async move {
                served.await;
                drop(slot);
            });
        };
        loop {
            tokio::select! {
                () = cancel.cancelled() => break,
                (stream, slot) = accept(&listener, &conn_slots) => spawn(stream, slot),
            }
        }
        accept_pending(&listener, |stream| spawn(stream, None)).await;
        drop(listener);
        connections.close();
        match tokio::time::timeout(drain_timeout, connections.wait()).await {
            Ok(()) => OpenConnections::None,
            Err(_) => OpenConnections::Some(connections.len()),
        }
    }
}

async fn accept(
    listener: &TcpListener,
    conn_slots: &Arc<Semaphore>,
) -> (TcpStream, Option<tokio::sync::OwnedSemaphorePermit>) {
    // The semaphore is never closed, so the acquisition can't fail.
    let slot = Arc::clone(conn_slots).acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return (stream, slot),
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    service: Arc<Service>,
    options: Options,
    cancel: CancellationToken,
) {
    let first_request = CancellationToken::new();
    let started = first_request.clone();
    let handler = service_fn(move |request| {
        started.cancel();
        let service = Arc::clone(&service);
        async move { Ok::<_, std::convert::Infallible>(service.handle(request).await) }
    });
    serve(stream, handler, first_request, options, cancel).await;
}
