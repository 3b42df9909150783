//! Problem responses for requests that got no response from an endpoint.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use rhubarbrill_core::gate::{Reason, Refusal};
use rhubarbrill_core::verdict::Verdict;
use rhubarbrill_event::Event;
use rhubarbrill_wire::problem;

/// Media type of problem bodies (RFC 9457).
const MEDIA_TYPE: HeaderValue = HeaderValue::from_static(problem::CONTENT_TYPE);

/// Response header with the verdict: whether the request may have run.
pub(super) const VERDICT: &str = "rhubarbrill-verdict";

/// The reason why a request got no response from an endpoint, as reported to its caller.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    status: StatusCode,
    reason: &'static str,
    verdict: Verdict,
    retry_after: Option<Duration>,
    detail: String,
}

impl Problem {
    /// Returns a problem of a request of which nothing was sent.
    pub(super) fn not_run(
        status: StatusCode,
        reason: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        let verdict = Verdict::NotRun;
        Self {
            status,
            reason,
            verdict,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Returns a problem of a request that may have run.
    pub(super) fn may_have_run(
        status: StatusCode,
        reason: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self {
            verdict,
            ..Self::not_run(status, reason, detail)
        }
    }

    /// Sets the time after which the caller may try again.
    pub(super) const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Replaces the description of what happened.
    pub(super) fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    pub(super) const fn verdict(&self) -> Verdict {
        self.verdict
    }

    pub(super) const fn reason(&self) -> &'static str {
        self.reason
    }

    /// Returns the event that is logged for this problem.
    pub(super) const fn event(&self) -> Event {
        match self.verdict {
            Verdict::NotRun => Event::RequestRefused,
            Verdict::MayHaveRun | Verdict::Answered => Event::RequestFailed,
        }
    }

    /// Returns the HTTP response with an RFC 9457 body.
    pub(super) fn response(&self) -> Response<Bytes> {
        let body = self.body();
        // Strings and numbers can always be serialized.
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Bytes::from(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, MEDIA_TYPE);
        headers.insert(VERDICT, HeaderValue::from_static(self.verdict.as_str()));
        if let Some(seconds) = body.retry_after_seconds() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        response
    }

    fn body(&self) -> problem::Problem {
        let title = self.status.canonical_reason().unwrap_or("Error");
        let event = u32::from(self.event().number());
        let body = problem::Problem::new(self.status.as_u16(), self.reason, title, event)
            .verdict(wire_verdict(self.verdict))
            .detail(self.detail.as_str());
        match self.retry_after {
            Some(after) => body.retry_after(after),
            None => body,
        }
    }
}

/// Converts the verdict to its wire representation. A problem is never an answer of an
/// endpoint, so `Answered` is reported as `MayHaveRun`.
const fn wire_verdict(verdict: Verdict) -> problem::Verdict {
    match verdict {
        Verdict::NotRun => problem::Verdict::NotRun,
        Verdict::MayHaveRun | Verdict::Answered => problem::Verdict::MayHaveRun,
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, detail) = status_and_detail(refusal.reason);
        Self {
            status,
            reason: refusal.reason.as_str(),
            verdict: refusal.verdict,
            retry_after: refusal.retry_after,
            detail: detail.into(),
        }
    }
}

const fn status_and_detail(reason: Reason) -> (StatusCode, &'static str) {
    match reason {
        Reason::Draining => (
            StatusCode::SERVICE_UNAVAILABLE,
            "This entry host is stopping; use another.",
        ),
        Reason::WorkspaceUnknown => (StatusCode::FORBIDDEN, "The team isn't declared."),
        Reason::QueueUnknown => (StatusCode::NOT_FOUND, "The queue isn't declared."),
        Reason::NoEndpoint => (
            StatusCode::SERVICE_UNAVAILABLE,
            "No endpoint of the pool takes work now.",
        ),
        Reason::CanNeverRun => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "The pool has no host, or the team's limit is zero.",
        ),
        Reason::QueueFull => (StatusCode::TOO_MANY_REQUESTS, "The queue is full."),
        Reason::CannotStartInTime => (
            StatusCode::SERVICE_UNAVAILABLE,
            "The request isn't expected to start by its deadline.",
        ),
        Reason::DeadlinePassed => (
            StatusCode::GATEWAY_TIMEOUT,
            "The deadline passed before the request could start.",
        ),
        Reason::RetryBudgetSpent => (
            StatusCode::SERVICE_UNAVAILABLE,
            "The pool's retries are used up.",
        ),
        Reason::AttemptFailed => (
            StatusCode::BAD_GATEWAY,
            "An attempt failed and another one isn't allowed.",
        ),
    }
}
