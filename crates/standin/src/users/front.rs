//! A server that answers JSON calls from the shared state.

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

use super::Shared;
use crate::server::Server;

/// A call as a handler gets it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) target: Option<String>,
    /// Who gives an order for a host.
    pub(crate) holder: String,
    pub(crate) body: Value,
}

impl Call {
    /// Returns a value of the query.
    pub(crate) fn query(&self, name: &str) -> &str {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }

    /// Returns a whole number of the body.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.body[name].as_u64().unwrap_or(0)
    }
}

/// What a call is answered with; nothing ends the connection without an answer.
pub(crate) type Reply = Option<(StatusCode, Value)>;

/// Starts a server on a free port.
pub(crate) fn start<F, R>(shared: Shared, answer: F) -> Server
where
    F: Fn(Shared, Call) -> R + Send + 'static,
    R: Future<Output = Reply> + 'static,
{
    Server::start(move |listener, stop| async move {
        let answer = Rc::new(answer);
        let local = LocalSet::new();
        let accepting = listener.accept(stop, |stream, period| {
            let (shared, answer) = (shared.clone(), Rc::clone(&answer));
            tokio::task::spawn_local(async move {
                let handler = service_fn(move |request| {
                    let (shared, answer) = (shared.clone(), Rc::clone(&answer));
                    async move { respond(shared, answer.as_ref(), request).await }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
                tokio::select! {
                    // A caller that broke off, or a call that gets no answer.
                    _ = connection => {}
                    () = period.cancelled() => {}
                }
            });
        });
        local.run_until(accepting).await;
    })
}

async fn respond<F, R>(
    shared: Shared,
    answer: &F,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error>
where
    F: Fn(Shared, Call) -> R,
    R: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Err(std::io::Error::other(error)),
    };
    let target = head.headers.get("x-target-instance");
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        target: target
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
    let Some((status, value)) = answer(shared, call).await else {
        return Err(std::io::Error::other("no answer"));
    };
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    Ok(response)
}
