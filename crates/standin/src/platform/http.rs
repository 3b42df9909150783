//! An HTTP server that can delay requests, leave them unanswered or refuse connections.

use std::future::{self, Future};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::server::Server;

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// How a server is unavailable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Down {
    /// The server closes every connection and refuses new ones.
    Refuse,
    /// The server accepts connections and reads requests, but never processes them.
    Hang,
}

/// A response body.
pub(super) type Body = BoxBody<Bytes, ConnectionClosed>;

/// Error that makes the server close the connection instead of sending a response.
#[derive(Debug)]
pub(super) struct ConnectionClosed;

/// A request whose body was read completely.
#[derive(Debug)]
pub(super) struct ReceivedRequest {
    pub(super) path: String,
    pub(super) body: Bytes,
}

/// An HTTP server with injectable faults.
#[derive(Debug)]
pub(super) struct FaultyServer {
    server: Server,
    faults: watch::Sender<Faults>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    hang: bool,
    delay: Duration,
}

impl FaultyServer {
    /// Starts a server that passes every request to `handler`.
    pub(super) fn start<H, F>(handler: H) -> Self
    where
        H: Fn(ReceivedRequest) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Response<Body>, ConnectionClosed>> + Send + 'static,
    {
        let (faults, faults_receiver) = watch::channel(Faults::default());
        let handler = Arc::new(handler);
        let server = Server::start(move |listener, stop| {
            listener.accept(stop, move |stream, token| {
                let faults = faults_receiver.clone();
                tokio::spawn(serve(stream, token, faults, Arc::clone(&handler)));
            })
        });
        Self { server, faults }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub(super) fn set_down(&self, down: Option<Down>) {
        self.faults
            .send_modify(|faults| faults.hang = down == Some(Down::Hang));
        self.server.set_refusing(down == Some(Down::Refuse));
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.faults.send_modify(|faults| faults.delay = delay);
    }
}

async fn serve<H, F>(
    stream: TcpStream,
    token: CancellationToken,
    faults: watch::Receiver<Faults>,
    handler: Arc<H>,
) where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = Result<Response<Body>, ConnectionClosed>>,
{
    let service = service_fn(|request: Request<hyper::body::Incoming>| {
        let faults = faults.clone();
        let handler = Arc::clone(&handler);
        async move {
            let path = request.uri().path().to_owned();
            let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
            let body = body
                .collect()
                .await
                .map_err(|_| ConnectionClosed)?
                .to_bytes();
            let Faults { hang, delay } = *faults.borrow();
            if hang {
                future::pending::<()>().await;
            }
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            handler(ReceivedRequest { path, body }).await
        }
    });
    let connection =
        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = token.cancelled() => {}
        // A connection error is visible to the caller.
        _ = connection => {}
    }
}

/// Returns a response with one JSON value.
pub(super) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes =
        serde_json::to_vec(value).expect("types of the wire format serialize to JSON");
    raw_json(status, bytes)
}

/// Returns a response with the content type of JSON, whatever the text.
pub(super) fn raw_json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|never| match never {});
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(body.boxed())
        .expect("the headers are valid")
}

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response withheld by an injected fault")
    }
}

impl std::error::Error for ConnectionClosed {}
