//! Request handling of an endpoint.

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

use super::body::{Aborted, Body};
use super::connection::TrailingBytes;
use super::log::{Log, LoggedRequest, Run, Stage};
use super::{
    DIGEST_HEADER, Fault, IDENTITY_HEADER, LARGE_RESPONSE_BYTES, NAME_HEADER, Options,
    WORK_HEADER, WORKSPACE_HEADER,
};

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Difference between the `Content-Length` and the body length under
/// [`Fault::LengthTooLong`] and [`Fault::LengthTooShort`], in bytes.
const LENGTH_ERROR_BYTES: usize = 5;

/// The response body under [`Fault::LargeResponse`], computed once because hashing it is
/// slow in builds without optimization.
pub(super) static LARGE_RESPONSE: LazyLock<DigestedBody> = LazyLock::new(|| {
    let pattern = (0..LARGE_RESPONSE_BYTES).map(|index| (index % 251) as u8);
    DigestedBody::from(pattern.collect::<Bytes>())
});

/// A complete response body with its SHA-256 digest in hexadecimal.
#[derive(Clone, Debug)]
pub(super) struct DigestedBody {
    body: Bytes,
    digest: String,
}

impl From<Bytes> for DigestedBody {
    fn from(body: Bytes) -> Self {
        Self {
            digest: digest(&body),
            body,
        }
    }
}

/// Handles the requests of one endpoint.
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

    /// Handles one request: logs it, runs it and builds the response.
    ///
    /// Bytes to send beyond the end of the response are left in `trailing_bytes`.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        trailing_bytes: &TrailingBytes,
    ) -> Result<Response<Body>, Aborted> {
        let (head, body) = request.into_parts();
        let identity = header_text(&head.headers, IDENTITY_HEADER);
        let work = header_text(&head.headers, WORK_HEADER)
            .and_then(|millis| millis.parse().ok())
            .map_or(self.options.work, Duration::from_millis);
        let run = Run {
            identity: identity.clone(),
            workspace: header_text(&head.headers, WORKSPACE_HEADER),
            method: head.method.to_string(),
            path: head.uri.to_string(),
            stage: Stage::Arrived,
            at: std::time::Instant::now(),
            ended: None,
        };
        let logged_request = self.log.record_arrival(run.clone());
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|_| Aborted)?.to_bytes();
        let fault = *self.fault.borrow();
        if fault == Fault::FailFast {
            logged_request.reject();
            return Ok(self.status(StatusCode::INTERNAL_SERVER_ERROR, &identity));
        }
        if !logged_request.try_start(self.options.slots) {
            return Ok(self.status(StatusCode::SERVICE_UNAVAILABLE, &identity));
        }
        self.work(logged_request, &run, work, fault).await;
        let response = self.response(fault, body, trailing_bytes);
        Ok(with_identity(response, &identity))
    }

    /// Simulates the run of a request, and counts it in the log and the tally.
    async fn work(
        &self,
        logged_request: LoggedRequest,
        run: &Run,
        work: Duration,
        fault: Fault,
    ) {
        let workspace = run.workspace.as_deref().unwrap_or_default();
        let running = self.options.tally.start(workspace, run.identity.as_deref());
        let work = async move {
            let _running = running;
            if fault == Fault::Hang {
                future::pending::<()>().await;
            }
            // Timers round up to a whole millisecond, so that even a sleep of zero would
            // distort measured latencies.
            if !work.is_zero() {
                tokio::time::sleep(work).await;
            }
            logged_request.finish();
        };
        if self.options.detached {
            // The task neither panics nor is aborted, so that joining it can't fail.
            let _ = tokio::spawn(work).await;
        } else {
            work.await;
        }
        if let Fault::SlowFirstByte(delay) = fault {
            tokio::time::sleep(delay).await;
        }
    }

    fn response(
        &self,
        fault: Fault,
        body: Bytes,
        trailing_bytes: &TrailingBytes,
    ) -> Response<Body> {
        let digested = match fault {
            Fault::LargeResponse => LARGE_RESPONSE.clone(),
            _ => DigestedBody::from(body),
        };
        let body = digested.body;
        let len = body.len();
        let (len, body) = match fault {
            Fault::CloseMidResponse => (len, Body::aborted(body.slice(..len / 2))),
            Fault::LengthTooLong => (len + LENGTH_ERROR_BYTES, Body::aborted(body)),
            Fault::LengthTooShort => {
                let kept = len.saturating_sub(LENGTH_ERROR_BYTES);
                *trailing_bytes
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = body.slice(kept..);
                (kept, Body::whole(body.slice(..kept)))
            }
            _ => (len, Body::whole(body)),
        };
        Response::builder()
            .header(NAME_HEADER, &self.options.name)
            .header(DIGEST_HEADER, digested.digest)
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

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Returns the SHA-256 digest of `bytes` in hexadecimal.
fn digest(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(bytes) {
        // Writing to a `String` can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
