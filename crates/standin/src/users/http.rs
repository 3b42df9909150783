//! A server that handles JSON requests with access to the shared state.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::task::LocalSet;

use super::{SharedState, StoreFault};
use crate::server::Server;

/// A request as it is passed to a handler, with its body parsed as JSON.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) target_id: Option<String>,
    /// The process that orders a host to move, empty if the request doesn't name it.
    pub(crate) holder: String,
    pub(crate) body: Value,
}

impl ReceivedRequest {
    /// Returns the value of a query parameter, empty if it is missing.
    pub(crate) fn query(&self, name: &str) -> String {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or_else(String::new, |(_, value)| decode_query(value))
    }

    /// Returns an unsigned integer field of the body, zero if it is missing.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.body[name].as_u64().unwrap_or(0)
    }
}

/// Decodes the percent-encoded value of a query parameter.
fn decode_query(value: &str) -> String {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let code = after.get(..2).filter(|_| first == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The status and body of a response; `None` closes the connection without a response.
pub(crate) type Reply = Option<(StatusCode, Value)>;

/// The first part of a response body, whose end never arrives.
#[derive(Debug)]
struct CutBody {
    part: Option<Bytes>,
    /// Length of the whole body, in bytes.
    length: u64,
}

impl CutBody {
    /// Returns a body of which only the first half arrives.
    fn new(body: &Bytes) -> Self {
        Self {
            part: Some(body.slice(..body.len() / 2)),
            length: body.len() as u64,
        }
    }
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.part.take() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

/// Starts a server on a free port that passes every request to `handler`.
pub(crate) fn start<F, R>(shared: SharedState, handler: F) -> Server
where
    F: Fn(SharedState, ReceivedRequest) -> R + Send + 'static,
    R: Future<Output = Reply> + 'static,
{
    Server::start(move |listener, stop| async move {
        let handler = Rc::new(handler);
        let local = LocalSet::new();
        let accepting = listener.accept(stop, |stream, connections_token| {
            let (shared, handler) = (shared.clone(), Rc::clone(&handler));
            tokio::task::spawn_local(async move {
                let service = service_fn(move |request| {
                    let (shared, handler) = (shared.clone(), Rc::clone(&handler));
                    async move { respond(shared, handler.as_ref(), request).await }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    // Fails if the caller disconnects or the handler gives no response.
                    _ = connection => {}
                    () = connections_token.cancelled() => {}
                }
            });
        });
        local.run_until(accepting).await;
    })
}

async fn respond<F, R>(
    shared: SharedState,
    handler: &F,
    request: Request<Incoming>,
) -> Result<Response<Either<Full<Bytes>, CutBody>>, std::io::Error>
where
    F: Fn(SharedState, ReceivedRequest) -> R,
    R: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Err(std::io::Error::other(error)),
    };
    let target_id = head.headers.get("x-target-instance");
    let call = ReceivedRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        target_id: target_id
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        holder: head
            .headers
            .get("x-duty-holder")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned(),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    };
    let is_watch = call.path == "/kv-watch";
    let Some((status, value)) = handler(shared.clone(), call).await else {
        return Err(std::io::Error::other("the handler gave no response"));
    };
    let body = Bytes::from(value.to_string());
    let is_cut = match shared.lock().store_fault {
        StoreFault::LongWatchesCut(limit) => is_watch && body.len() > limit,
        _ => false,
    };
    let mut response = Response::new(if is_cut {
        Either::Right(CutBody::new(&body))
    } else {
        Either::Left(Full::new(body))
    });
    *response.status_mut() = status;
    Ok(response)
}
