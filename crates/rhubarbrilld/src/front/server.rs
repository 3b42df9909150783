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

/// Whether connections were still open when a stop's patience ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Open {
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
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers callers until `cancel`, then lets open requests end for up to `patience`.
    pub async fn run(self, cancel: CancellationToken, patience: Duration) -> Open {
        let Self {
            listener,
            service,
            options,
            connections,
        } = self;
        let slots = Arc::new(Semaphore::new(options.max_connections));
        let spawn = |stream, slot| {
            let served =
                answer_all(stream, Arc::clone(&service), options, cancel.clone());
            connections.spawn(async move {
                served.await;
                drop(slot);
            });
        };
        loop {
            tokio::select! {
                () = cancel.cancelled() => break,
                (stream, slot) = accept(&listener, &slots) => spawn(stream, slot),
            }
        }
        accept_pending(&listener, |stream| spawn(stream, None)).await;
        drop(listener);
        connections.close();
        match tokio::time::timeout(patience, connections.wait()).await {
            Ok(()) => Open::None,
            Err(_) => Open::Some(connections.len()),
        }
    }
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> (TcpStream, Option<tokio::sync::OwnedSemaphorePermit>) {
    // The semaphore is never closed, so a slot always comes.
    let slot = Arc::clone(slots).acquire_owned().await.ok();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return (stream, slot),
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn answer_all(
    stream: TcpStream,
    service: Arc<Service>,
    options: Options,
    cancel: CancellationToken,
) {
    let first = CancellationToken::new();
    let started = first.clone();
    let handler = service_fn(move |request| {
        started.cancel();
        let service = Arc::clone(&service);
        async move { Ok::<_, std::convert::Infallible>(service.answer(request).await) }
    });
    serve(stream, handler, first, options, cancel).await;
}
