//! Failures of a request to an endpoint, with what is known of its effect.

use std::fmt;

use rhubarbrill_core::verdict::Verdict;

/// Why a request got no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The endpoint could not be connected to.
    Connect,
    /// The permission to send had lapsed when the connection was ready.
    Withheld,
    /// The connection ended before the answer's head.
    Closed,
    /// The deadline passed before the answer's head.
    Timeout,
    /// The answer carries no sign by which its end could be told.
    Unbounded,
}

/// A request without a whole answer.
#[derive(Clone, Debug)]
pub struct Failure {
    reason: Reason,
    verdict: Verdict,
    detail: String,
}

impl Failure {
    /// Returns a failure of a request of which nothing left the process.
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

    /// Returns why the request failed.
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
