//! Failures of requests to endpoints, and whether such a request may have run.

use std::fmt;

use rhubarbrill_core::verdict::Verdict;

/// Reason why a request got no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The connection to the endpoint failed.
    Connect,
    /// The permission to send had lapsed by the time the connection was ready.
    Withheld,
    /// The connection closed before the response head arrived.
    Closed,
    /// The deadline passed before the response head arrived.
    Timeout,
    /// The response has no content length or transfer encoding, so that its end can't be
    /// distinguished from a lost connection.
    Unbounded,
}

/// A request that got no complete response.
#[derive(Clone, Debug)]
pub struct Failure {
    reason: Reason,
    verdict: Verdict,
    detail: String,
}

impl Failure {
    /// Returns a failure of a request of which nothing was sent, so that it did not run.
    pub fn not_run(reason: Reason, detail: impl fmt::Display) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            detail: detail.to_string(),
        }
    }

    /// Returns a failure of a request that may have reached the endpoint.
    pub fn may_have_run(reason: Reason, detail: impl fmt::Display) -> Self {
        Self {
            reason,
            verdict: Verdict::MayHaveRun,
            detail: detail.to_string(),
        }
    }

    /// Returns the reason of the failure.
    pub const fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns whether the request may have run.
    pub const fn verdict(&self) -> Verdict {
        self.verdict
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = match self.reason {
            Reason::Connect => "endpoint can't be connected to",
            Reason::Withheld => "permission to send has lapsed",
            Reason::Closed => "endpoint closed the connection",
            Reason::Timeout => "endpoint did not answer in time",
            Reason::Unbounded => "endpoint's answer has no marked end",
        };
        write!(f, "{summary}: {}", self.detail)
    }
}

impl std::error::Error for Failure {}
