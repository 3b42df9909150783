//! Response bodies that end normally or are aborted.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::time::Sleep;

/// Delay before the connection is closed, so that the bytes sent before reach the caller.
const ABORT_DELAY: Duration = Duration::from_millis(20);

/// A response body that consists of one chunk and ends normally or aborts the connection.
#[derive(Debug)]
pub(super) struct Body {
    bytes: Option<Bytes>,
    abort_timer: Option<Pin<Box<Sleep>>>,
}

/// Error that makes the server close the connection instead of completing a response.
#[derive(Debug)]
pub(super) struct Aborted;

impl Body {
    /// Returns a body that ends normally after `bytes`.
    pub(super) fn whole(bytes: Bytes) -> Self {
        Self {
            bytes: Some(bytes),
            abort_timer: None,
        }
    }

    /// Returns a body that closes the connection after `bytes`.
    pub(super) fn aborted(bytes: Bytes) -> Self {
        Self {
            bytes: Some(bytes),
            abort_timer: Some(Box::pin(tokio::time::sleep(ABORT_DELAY))),
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        if let Some(bytes) = self.bytes.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match &mut self.abort_timer {
            None => Poll::Ready(None),
            Some(sleep) => {
                ready!(sleep.as_mut().poll(context));
                Poll::Ready(Some(Err(Aborted)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && self.abort_timer.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.bytes, &self.abort_timer) {
            (Some(bytes), None) => SizeHint::with_exact(bytes.len() as u64),
            (None, None) => SizeHint::with_exact(0),
            _ => SizeHint::default(),
        }
    }
}

impl std::fmt::Display for Aborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response aborted by an injected fault")
    }
}

impl std::error::Error for Aborted {}
