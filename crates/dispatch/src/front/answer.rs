//! HTTP responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

/// An HTTP response and the reason that is logged for it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Body in the deployment's format; empty if there is none.
    pub body: Vec<u8>,
    /// Why this response was chosen, for the log.
    pub reason: &'static str,
    /// How long the caller should wait before a retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Returns an answer with an empty body and no `Retry-After` header.
    pub const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            body: Vec::new(),
            reason,
            retry_after: None,
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Sets how long the caller should wait before it retries.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Converts the answer into an HTTP response. `Retry-After` is rounded up to whole
    /// seconds.
    pub fn into_response(self, media_type: &'static str) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
