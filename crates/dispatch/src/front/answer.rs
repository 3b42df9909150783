//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

/// An answer with the reason that the log tells.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body, in the deployment's form.
    pub body: Vec<u8>,
    /// Why the answer is what it is.
    pub reason: &'static str,
    /// When the caller may come back, if that helps.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Returns an answer without a body.
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

    /// Tells the caller when to come back.
    #[must_use]
    pub const fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Turns the answer into a response.
    pub fn into_response(self, media_type: &'static str) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
        if let Some(span) = self.retry_after {
            let seconds = span.as_secs() + u64::from(span.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
