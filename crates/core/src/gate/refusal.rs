//! Refusals: final answers to requests that are rejected or given up on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Ticket;
use crate::verdict::Verdict;

/// Why a request was rejected or given up on.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The entry host is draining and admits no new requests.
    Draining,
    /// The workspace isn't in the configuration.
    #[serde(rename = "team-unknown")]
    WorkspaceUnknown,
    /// The queue isn't in the configuration.
    QueueUnknown,
    /// No endpoint of the pool accepts work at present.
    NoEndpoint,
    /// The request can never run: the pool has no host, or the workspace's limit is zero.
    CanNeverRun,
    /// The queue has reached its maximum number of waiting requests.
    QueueFull,
    /// The request isn't expected to start by its deadline.
    CannotStartInTime,
    /// The deadline passed before the request could start.
    DeadlinePassed,
    /// The pool's retry budget has no tokens left.
    RetryBudgetSpent,
    /// An attempt failed and the request may not be retried.
    AttemptFailed,
}

impl Reason {
    /// Returns the name used in headers and problem bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::WorkspaceUnknown => "team-unknown",
            Self::QueueUnknown => "queue-unknown",
            Self::NoEndpoint => "no-endpoint",
            Self::CanNeverRun => "can-never-run",
            Self::QueueFull => "queue-full",
            Self::CannotStartInTime => "cannot-start-in-time",
            Self::DeadlinePassed => "deadline-passed",
            Self::RetryBudgetSpent => "retry-budget-spent",
            Self::AttemptFailed => "attempt-failed",
        }
    }
}

/// The final answer to a request that is rejected or given up on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was rejected.
    pub reason: Reason,
    /// Whether an earlier attempt may have run; [`Verdict::NotRun`] if there was none.
    pub verdict: Verdict,
    /// Time after which the caller may try again; `None` if a retry never helps or its
    /// chance is unknown.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a request of which nothing was sent.
    pub const fn not_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after,
        }
    }
}

/// A waiting request that was given up on, as returned by
/// [`Gate::expire`](super::Gate::expire).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expired {
    /// Ticket of the request, which is no longer valid.
    pub ticket: Ticket,
    /// Final answer to the request.
    pub refusal: Refusal,
}

/// Whether a request is retried after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// The request waits again in its original position.
    Requeued,
    /// The request is given up on and its ticket is no longer valid.
    GiveUp(Refusal),
}
