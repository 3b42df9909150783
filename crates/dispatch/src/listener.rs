//! The listener for callers, with its bounds and its planned stop.

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

/// Pause after a failed accept, for the process to get descriptors back.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Longest wait of a planned stop for the first request of a connection.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Silence after which no completed connection waits to be accepted.
const PENDING_TIMEOUT: Duration = Duration::from_millis(1);

/// Most completed connections that a planned stop still accepts.
const MAX_PENDING: usize = 1_024;

/// Why a service or a body failed.
type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most connections at once.
    pub max_connections: usize,
    /// Longest time until a request's header is complete.
    pub header_timeout: Duration,
    /// Largest header of a request, in bytes.
    pub max_header_bytes: usize,
}

/// Answers requests on one address.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    options: Options,
}

impl Listener {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn bind(address: SocketAddr, options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, options })
    }

    /// Answers requests until `cancel`, then lets open requests end for up to `patience`.
    ///
    /// Returns the number of connections that were still open then.
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
                // The semaphore is never closed, so a slot always comes.
                let _slot = slots.acquire().await;
                serve_connection(stream, answer, options, cancel).await;
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
        // What is still open when the patience ends is counted by the caller.
        let _ = tokio::time::timeout(grace, connections.wait()).await;
        connections.len()
    }
}

async fn serve_connection<F, R>(
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

/// Serves one connection until its end, or until `cancel` and the end of its open request.
///
/// The service cancels `first` when a request comes.
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
    // An error here is a caller that broke off or broke the protocol; hyper has already
    // answered it where an answer was possible.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = cancel.cancelled() => {}
    }
    // A connection that hyper has read nothing from is closed at once by its planned
    // stop, and the first request may be on its way.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = first_request.cancelled() => {}
        () = tokio::time::sleep(FIRST_REQUEST_GRACE) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Takes in connections that the system has completed and nobody has accepted yet, since
/// closing the listener would reset them.
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
