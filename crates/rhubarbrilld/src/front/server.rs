//! The listener for callers, with its bounds and its planned stop.

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

/// Pause after a failed accept, for the process to get descriptors back.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Whether connections were still open when a stop's drain_timeout ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenConnections {
    /// Every connection had ended.
    None,
    /// Connections were still open.
    Some(usize),
}

/// Answers callers on one address.
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
    /// Fails when the address can't be listened on.
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

    /// Returns the address that callers connect to.
    ///
    /// # Errors
    ///
    /// Fails when the system doesn't tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers callers until `cancel`, then lets open requests end for up to `drain_timeout`.
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
        let connection_slots = Arc::new(Semaphore::new(options.max_connections));
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
                (stream, slot) = accept(&listener, &connection_slots) => spawn(stream, slot),
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
    connection_slots: &Arc<Semaphore>,
) -> (TcpStream, Option<tokio::sync::OwnedSemaphorePermit>) {
    // The semaphore is never closed, so a slot always comes.
    let slot = Arc::clone(connection_slots).acquire_owned().await.ok();
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
