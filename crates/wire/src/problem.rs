//! Problem details in responses to failed requests.

use std::time::Duration;

pub use crate::generated::problem::{Problem, Verdict, error};

/// Media type of a response body with a problem.
pub const CONTENT_TYPE: &str = "application/problem+json";

impl Problem {
    /// Creates a problem of type `about:blank` whose verdict is that the request may have
    /// run.
    ///
    /// `reason` is a stable code, `title` a short summary, and `event` a number of the
    /// event catalogue.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    /// use rhubarbrill_wire::problem::{Problem, Verdict};
    ///
    /// let problem = Problem::new(429, "over-limit", "Upper limit reached", 1204)
    ///     .verdict(Verdict::NotRun)
    ///     .retry_after(Duration::from_millis(1500));
    /// assert_eq!(problem.retry_after_seconds(), Some(2));
    /// ```
    pub fn new(status: u16, reason: &str, title: &str, event: u32) -> Self {
        Self {
            detail: None,
            event,
            instance: None,
            reason: reason.to_owned(),
            retry_after_ms: None,
            status,
            title: title.to_owned(),
            type_: "about:blank".to_owned(),
            verdict: Verdict::MayHaveRun,
        }
    }

    /// Sets whether the request may have run; [`Verdict::MayHaveRun`] by default.
    #[must_use]
    pub fn verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the description of this occurrence.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Sets the time to wait before a retry, which is stored in whole milliseconds.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Returns the value of a `Retry-After` header, in whole seconds, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|millis| millis.div_ceil(1_000))
    }
}
