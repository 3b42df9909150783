//! Request and response bodies. Requests are read completely before they are queued;
//! responses are streamed as they arrive.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rhubarbrill_core::gate::{Outcome, Status};
use rhubarbrill_core::verdict::Verdict;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Sleep;

use super::problem::Problem;
use crate::endpoint::{BodyError, ResponseBody};
use crate::engine::Permit;

/// Maximum number of bytes of a rejected request that are read and discarded after the
/// response.
const MAX_DISCARD_BYTES: usize = 16 << 20;

/// Longest time for which a rejected request is read and discarded after the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the complete body of a request.
///
/// A request takes an endpoint's slot only after its body has arrived completely. A slow
/// caller thus costs a little memory but no slot, and a retry can send the same bytes.
pub(super) async fn read(
    headers: &HeaderMap,
    body: &mut Incoming,
    max_bytes: u64,
    timeout: Duration,
) -> Result<Bytes, Problem> {
    check_length(headers, max_bytes)?;
    tokio::time::timeout(timeout, collect(body, max_bytes))
        .await
        .unwrap_or_else(|_| {
            let detail = "The request's body did not arrive in time.";
            Err(Problem::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "slow-body",
                detail,
            ))
        })
}

fn check_length(headers: &HeaderMap, max_bytes: u64) -> Result<(), Problem> {
    let declared = headers.get(header::CONTENT_LENGTH);
    let length = declared.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > max_bytes) {
        return Err(too_large(max_bytes));
    }
    Ok(())
}

async fn collect(body: &mut Incoming, max_bytes: u64) -> Result<Bytes, Problem> {
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let detail = format!("The request's body could not be read: {error}.");
            Problem::not_run(StatusCode::BAD_REQUEST, "bad-body", detail)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (all.len() + data.len()) as u64 > max_bytes {
            return Err(too_large(max_bytes));
        }
        all.extend_from_slice(&data);
    }
    Ok(all.freeze())
}

fn too_large(max_bytes: u64) -> Problem {
    let detail = format!("The body is larger than {max_bytes} bytes.");
    Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail)
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum Reply {
    /// A response that the entry host generates itself.
    Local(Box<LocalReply>),
    /// A response of an endpoint.
    Proxied(Box<ProxiedReply>),
}

/// A response that the entry host generates itself, with the unread rest of the request.
///
/// A caller that is still sending when its connection closes may lose the response. The
/// rest of the request is therefore read and discarded, within limits, after the
/// response.
#[derive(Debug)]
pub struct LocalReply {
    body: Full<Bytes>,
    remainder: Option<RequestRemainder>,
}

#[derive(Debug)]
struct RequestRemainder {
    body: Incoming,
    bytes_left: usize,
    timer: Pin<Box<Sleep>>,
}

impl LocalReply {
    pub(super) fn new(body: Bytes, request: Incoming) -> Self {
        let remainder = (!request.is_end_stream()).then(|| RequestRemainder {
            body: request,
            bytes_left: MAX_DISCARD_BYTES,
            timer: Box::pin(tokio::time::sleep(DISCARD_TIMEOUT)),
        });
        Self {
            body: Full::new(body),
            remainder,
        }
    }

    fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.body.is_end_stream() {
            return Pin::new(&mut self.body)
                .poll_frame(cx)
                .map_err(|never| match never {});
        }
        if let Some(remainder) = &mut self.remainder {
            ready!(remainder.poll_discard(cx));
        }
        self.remainder = None;
        Poll::Ready(None)
    }
}

impl RequestRemainder {
    /// Reads and discards until the request ends or a limit is reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                return self.timer.as_mut().poll(cx);
            };
            let Some(Ok(frame)) = frame else {
                return Poll::Ready(());
            };
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(left) = self.bytes_left.checked_sub(bytes) else {
                return Poll::Ready(());
            };
            self.bytes_left = left;
        }
    }
}

/// An endpoint's response that is streamed to the caller. Its permit is finished when the
/// response ends.
#[derive(Debug)]
pub struct ProxiedReply {
    body: ResponseBody,
    permit: Option<Permit>,
    status: Status,
    sent_at: Instant,
    log: slog::Logger,
    _open_request: OwnedSemaphorePermit,
}

impl ProxiedReply {
    pub(super) fn new(
        body: ResponseBody,
        permit: Permit,
        status: StatusCode,
        sent_at: Instant,
        log: slog::Logger,
        open_request: OwnedSemaphorePermit,
    ) -> Self {
        let status = status_class(status);
        let mut proxied = Self {
            body,
            permit: Some(permit),
            status,
            sent_at,
            log,
            _open_request: open_request,
        };
        proxied.check_end();
        proxied
    }

    fn check_end(&mut self) {
        if self.body.is_end_stream() {
            let latency = self.sent_at.elapsed();
            self.finish(Outcome::Answered {
                status: self.status,
                latency,
            });
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(permit) = self.permit.take() {
            permit.finish(outcome);
        }
    }

    fn fail(&mut self, error: &BodyError) {
        crate::log::event(&self.log, rhubarbrill_event::Event::AnswerCut, error);
        self.finish(Outcome::Failed {
            verdict: Verdict::MayHaveRun,
        });
    }
}

fn status_class(status: StatusCode) -> Status {
    if status.is_server_error() {
        Status::ServerError
    } else if status.is_client_error() {
        Status::ClientError
    } else {
        Status::Success
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let proxied = match self.get_mut() {
            Self::Local(local) => return local.poll(cx),
            Self::Proxied(proxied) => proxied,
        };
        let poll = Pin::new(&mut proxied.body).poll_frame(cx);
        match &poll {
            Poll::Ready(Some(Err(error))) => proxied.fail(error),
            Poll::Ready(_) => proxied.check_end(),
            Poll::Pending => {}
        }
        poll
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(local) => local.remainder.is_none() && local.body.is_end_stream(),
            Self::Proxied(proxied) => proxied.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(local) if local.remainder.is_some() => SizeHint::default(),
            Self::Local(local) => local.body.size_hint(),
            Self::Proxied(proxied) => proxied.body.size_hint(),
        }
    }
}
