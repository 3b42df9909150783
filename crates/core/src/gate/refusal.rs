//! Refusals: final answers to requests that are given up on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Ticket;
use crate::verdict::Verdict;

/// Why a request is given up on.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The entry host is stopping.
    Draining,
    /// The workspace isn't declared.
    #[serde(rename = "team-unknown")]
    WorkspaceUnknown,
    /// The queue isn't declared.
    QueueUnknown,
    /// No endpoint of the pool takes work now.
    NoEndpoint,
    /// The request could never run: the pool has no host, or the workspace's limit is
    /// zero.
    CanNeverRun,
    /// The queue holds as many requests as it may.
    QueueFull,
    /// The request isn't expected to start by its deadline.
    CannotStartInTime,
    /// The deadline passed before the request could start.
    DeadlinePassed,
    /// The pool's retries are used up.
    RetryBudgetSpent,
    /// An attempt failed and another one isn't allowed.
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

/// The final answer to a request that is given up on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether an earlier attempt may have run; without one, nothing ran.
    pub verdict: Verdict,
    /// When trying again may help; none if it never will, or can't be told.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a request that never left.
    pub const fn not_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after,
        }
    }
}

/// A waiting request that was given up on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expired {
    /// The request, whose ticket is no longer valid.
    pub ticket: Ticket,
    /// Its final answer.
    pub refusal: Refusal,
}

/// What becomes of a request after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// It waits again, in its old place.
    Requeued,
    /// It is given up on; its ticket is no longer valid.
    GiveUp(Refusal),
}
