//! HTTP listener with connection limits and graceful shutdown.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Delay after a failed accept, which gives the process time to free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// How long a graceful shutdown waits for the first request of a connection.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Time without a new connection after which a graceful shutdown assumes that the accept
/// queue is empty.
const PENDING_TIMEOUT: Duration = Duration::from_millis(1);

/// Maximum number of pending connections that a graceful shutdown accepts.
const MAX_PENDING: usize = 1_024;

/// Error of a service or a body.
type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Limits on connections and request headers.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of connections that are served at the same time.
    pub max_connections: usize,
    /// Time within which the header of a request must be complete.
    pub header_timeout: Duration,
    /// Maximum size of a request header, in bytes.
    pub max_header_bytes: usize,
}

/// An HTTP listener on one address.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    options: Options,
}

impl Listener {
    /// Binds to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(address: SocketAddr, options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, options })
    }

    /// Serves requests until `cancel`, then lets open requests finish for up to `grace`.
    ///
    /// Returns the number of connections that are still open after that.
    pub async fn run<F, R>(
        self,
        answer: F,
        cancel: CancellationToken,
        grace: Duration,
    ) -> usize
    where
        F: Fn(Request<Incoming>) -> R + 'static,
        R: Future<Output = Response<Full<Bytes>>> + 'static,
    {
        let answer = Rc::new(answer);
        let slots = Rc::new(Semaphore::new(self.options.max_connections));
        let connections = TaskTracker::new();
        let spawn = |stream: TcpStream| {
            let answer = Rc::clone(&answer);
            let (options, cancel) = (self.options, cancel.clone());
            let slots = Rc::clone(&slots);
            let token = connections.token();
            tokio::task::spawn_local(async move {
                // The semaphore is never closed, so a permit always becomes available.
                let _slot = slots.acquire().await;
                serve_requests(stream, answer, options, cancel).await;
                drop(token);
            });
        };
        loop {
            tokio::select! {
                () = cancel.cancelled() => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => spawn(stream),
                    Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
                },
            }
        }
        accept_pending(&self.listener, spawn).await;
        drop(self.listener);
        connections.close();
        // The return value counts the connections that are still open after the timeout.
        let _ = tokio::time::timeout(grace, connections.wait()).await;
        connections.len()
    }
}

async fn serve_requests<F, R>(
    stream: TcpStream,
    answer: Rc<F>,
    options: Options,
    cancel: CancellationToken,
) where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let first_request = CancellationToken::new();
    let started = first_request.clone();
    let handler = service_fn(move |request| {
        started.cancel();
        let answered = answer(request);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    serve(stream, handler, first_request, options, cancel).await;
}

/// Serves one connection until it ends, or until `cancel` and the end of its open
/// request.
///
/// The service cancels `first_request` when the first request arrives.
pub async fn serve<S, B>(
    stream: TcpStream,
    service: S,
    first_request: CancellationToken,
    options: Options,
    cancel: CancellationToken,
) where
    S: hyper::service::Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Failure>,
    B: hyper::body::Body + 'static,
    B::Error: Into<Failure>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.header_timeout)
        .max_buf_size(options.max_header_bytes)
        .pipeline_flush(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error here means that the caller closed the connection or violated the protocol.
    // Hyper has already sent a response where one was possible.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = cancel.cancelled() => {}
    }
    // A graceful shutdown immediately closes a connection from which hyper has read
    // nothing, although the first request may be in transit.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = first_request.cancelled() => {}
        () = tokio::time::sleep(FIRST_REQUEST_GRACE) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Accepts the connections that the kernel has completed but that were not accepted yet,
/// because closing the listener would reset them.
pub async fn accept_pending(
    listener: &TcpListener,
    mut on_accept: impl FnMut(TcpStream),
) {
    for _ in 0..MAX_PENDING {
        let accepted = tokio::time::timeout(PENDING_TIMEOUT, listener.accept()).await;
        let Ok(Ok((stream, _))) = accepted else {
            return;
        };
        on_accept(stream);
    }
}
