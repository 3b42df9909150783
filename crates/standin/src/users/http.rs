//! A server that handles JSON requests with access to the shared state.

use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::task::LocalSet;

use super::SharedState;
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
    pub(crate) fn query(&self, name: &str) -> &str {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }

    /// Returns an unsigned integer field of the body, zero if it is missing.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.body[name].as_u64().unwrap_or(0)
    }
}

/// The status and body of a response; `None` closes the connection without a response.
pub(crate) type Reply = Option<(StatusCode, Value)>;

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
) -> Result<Response<Full<Bytes>>, std::io::Error>
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
    let Some((status, value)) = handler(shared, call).await else {
        return Err(std::io::Error::other("the handler gave no response"));
    };
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    Ok(response)
}
