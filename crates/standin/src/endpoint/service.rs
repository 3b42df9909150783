//! How an endpoint answers one request.

use std::fmt::Write;
use std::future;
use std::sync::{Arc, LazyLock, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use super::body::{Body, Cut};
use super::connection::Surplus;
use super::log::{Log, Run, Stage, Ticket};
use super::{
    DIGEST_HEADER, Fault, IDENTITY_HEADER, LARGE_RESPONSE_BYTES, NAME_HEADER, Options,
    WORK_HEADER, WORKSPACE_HEADER,
};

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Bytes by which a wrong length differs from the true one.
const LENGTH_ERROR_BYTES: usize = 5;

/// The answer under [`Fault::LargeResponse`]; hashing it takes long without optimisation.
pub(super) static LARGE_RESPONSE: LazyLock<Answer> = LazyLock::new(|| {
    let pattern = (0..LARGE_RESPONSE_BYTES).map(|index| (index % 251) as u8);
    Answer::from(pattern.collect::<Bytes>())
});

/// A whole body with its digest.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    body: Bytes,
    digest: String,
}

impl From<Bytes> for Answer {
    fn from(body: Bytes) -> Self {
        Self {
            digest: digest(&body),
            body,
        }
    }
}

/// Answers the requests of one endpoint.
#[derive(Debug)]
pub(super) struct Service {
    options: Options,
    log: Arc<Log>,
    fault: watch::Receiver<Fault>,
}

impl Service {
    pub(super) fn new(
        options: Options,
        log: Arc<Log>,
        fault: watch::Receiver<Fault>,
    ) -> Self {
        Self {
            options,
            log,
            fault,
        }
    }

    /// Answers one request.
    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        surplus: &Surplus,
    ) -> Result<Response<Body>, Cut> {
        let (head, body) = request.into_parts();
        let identity = text(&head.headers, IDENTITY_HEADER);
        let work = text(&head.headers, WORK_HEADER)
            .and_then(|millis| millis.parse().ok())
            .map_or(self.options.work, Duration::from_millis);
        let run = Run {
            identity: identity.clone(),
            workspace: text(&head.headers, WORKSPACE_HEADER),
            method: head.method.to_string(),
            path: head.uri.to_string(),
            stage: Stage::Arrived,
            at: std::time::Instant::now(),
            ended: None,
        };
        let ticket = self.log.arrive(run.clone());
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|_| Cut)?.to_bytes();
        let fault = *self.fault.borrow();
        if fault == Fault::FailFast {
            ticket.reject();
            return Ok(self.status(StatusCode::INTERNAL_SERVER_ERROR, &identity));
        }
        if !ticket.try_start(self.options.slots) {
            return Ok(self.status(StatusCode::SERVICE_UNAVAILABLE, &identity));
        }
        self.work(ticket, &run, work, fault).await;
        let response = self.response(fault, body, surplus);
        Ok(with_identity(response, &identity))
    }

    /// Works, and counts the run while it does.
    async fn work(&self, ticket: Ticket, run: &Run, work: Duration, fault: Fault) {
        let workspace = run.workspace.as_deref().unwrap_or_default();
        let running = self.options.tally.start(workspace, run.identity.as_deref());
        let work = async move {
            let _running = running;
            if fault == Fault::Hang {
                future::pending::<()>().await;
            }
            // The timer rounds up to a millisecond, which would show in latencies.
            if !work.is_zero() {
                tokio::time::sleep(work).await;
            }
            ticket.finish();
        };
        if self.options.detached {
            // The task can't panic, and is never aborted.
            let _ = tokio::spawn(work).await;
        } else {
            work.await;
        }
        if let Fault::SlowFirstByte(delay) = fault {
            tokio::time::sleep(delay).await;
        }
    }

    fn response(&self, fault: Fault, body: Bytes, surplus: &Surplus) -> Response<Body> {
        let answer = match fault {
            Fault::LargeResponse => LARGE_RESPONSE.clone(),
            _ => Answer::from(body),
        };
        let body = answer.body;
        let len = body.len();
        let (len, body) = match fault {
            Fault::CloseMidResponse => (len, Body::cut(body.slice(..len / 2))),
            Fault::LengthTooLong => (len + LENGTH_ERROR_BYTES, Body::cut(body)),
            Fault::LengthTooShort => {
                let kept = len.saturating_sub(LENGTH_ERROR_BYTES);
                *surplus.lock().unwrap_or_else(PoisonError::into_inner) =
                    body.slice(kept..);
                (kept, Body::whole(body.slice(..kept)))
            }
            _ => (len, Body::whole(body)),
        };
        Response::builder()
            .header(NAME_HEADER, &self.options.name)
            .header(DIGEST_HEADER, answer.digest)
            .header(CONTENT_LENGTH, len)
            .body(body)
            .expect("the headers are valid")
    }

    fn status(&self, status: StatusCode, identity: &Option<String>) -> Response<Body> {
        let response = Response::builder()
            .status(status)
            .header(NAME_HEADER, &self.options.name)
            .body(Body::whole(Bytes::new()))
            .expect("the headers are valid");
        with_identity(response, identity)
    }
}

fn with_identity(
    mut response: Response<Body>,
    identity: &Option<String>,
) -> Response<Body> {
    if let Some(value) = identity.as_ref().and_then(|text| text.parse().ok()) {
        response.headers_mut().insert(IDENTITY_HEADER, value);
    }
    response
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Returns the SHA-256 of `bytes` in hexadecimal.
fn digest(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
