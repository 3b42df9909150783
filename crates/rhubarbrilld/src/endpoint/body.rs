//! The body of an endpoint's response, streamed to the caller as it arrives.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use super::connection::Connection;

type ReturnToPool = Box<dyn FnOnce(Connection) + Send + Sync>;

/// The streamed body of an endpoint's response.
///
/// If the response is truncated or makes no progress in time, the stream ends with an
/// error, so that it is never mistaken for a complete response. The connection is
/// returned for reuse only after a complete response.
pub struct ResponseBody {
    body: Incoming,
    connection: Option<(Connection, ReturnToPool)>,
    progress_timeout: Duration,
    timer: Pin<Box<Sleep>>,
}

/// Reason why a response body ended early.
#[derive(Debug)]
pub enum BodyError {
    /// The endpoint closed the connection or violated the protocol.
    Closed(hyper::Error),
    /// No data arrived within the progress timeout.
    Stalled,
}

impl ResponseBody {
    pub(super) fn new(
        body: Incoming,
        connection: Connection,
        progress_timeout: Duration,
        return_to_pool: ReturnToPool,
    ) -> Self {
        let timer = Box::pin(tokio::time::sleep(progress_timeout));
        let mut response_body = Self {
            body,
            connection: Some((connection, return_to_pool)),
            progress_timeout,
            timer,
        };
        if response_body.body.is_end_stream() {
            response_body.release_connection();
        }
        response_body
    }

    fn release_connection(&mut self) {
        if let Some((connection, return_to_pool)) = self.connection.take() {
            return_to_pool(connection);
        }
    }

    fn poll_progress_timeout(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        ready!(self.timer.as_mut().poll(cx));
        self.connection = None;
        Poll::Ready(Some(Err(BodyError::Stalled)))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            return self.poll_progress_timeout(cx);
        };
        let deadline = Instant::now() + self.progress_timeout;
        self.timer.as_mut().reset(deadline);
        match frame {
            Some(Ok(frame)) => {
                if self.body.is_end_stream() {
                    self.release_connection();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.connection = None;
                Poll::Ready(Some(Err(BodyError::Closed(error))))
            }
            None => {
                self.release_connection();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns whether the end of the response can be distinguished from a lost connection.
pub(super) fn is_bounded(response: &Response<Incoming>, is_head_request: bool) -> bool {
    let status = response.status();
    let has_no_body = is_head_request
        || status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let headers = response.headers();
    has_no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponseBody")
            .field("body", &self.body)
            .finish_non_exhaustive()
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed(error) => write!(f, "response ended early: {error}"),
            Self::Stalled => f.write_str("response made no progress in time"),
        }
    }
}

impl std::error::Error for BodyError {}
