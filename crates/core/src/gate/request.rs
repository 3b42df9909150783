//! Requests and their tickets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{HostKey, PoolKey, QueueKey, WorkspaceKey};
use crate::time::Instant;
use crate::verdict::Verdict;

slotmap::new_key_type! {
    /// Identifies a request from its admission to its end; never reused for another
    /// request.
    pub struct Ticket;
}

/// Priority class of a request.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Starts before normal requests of its workspace.
    Urgent,
    /// Starts in the order of arrival.
    Normal,
}

/// A request as submitted for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Submission {
    /// The workspace that is charged for the work.
    pub workspace: WorkspaceKey,
    /// The queue that the request was sent to.
    pub queue: QueueKey,
    /// Priority class of the request.
    pub class: Class,
    /// Time at which the caller stops waiting for the answer.
    pub deadline: Instant,
    /// Whether the request may run more than once without harm.
    pub repeatable: bool,
}

/// A request that is to be sent to an endpoint now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Start {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// The endpoint to send it to.
    pub host: HostKey,
    /// The pool that the endpoint serves.
    pub pool: PoolKey,
    /// Time by which the endpoint must have ended the request.
    pub until: Instant,
    /// Number of attempts before this one.
    pub attempts: u32,
}

/// Class of the status of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The endpoint carried out the request.
    Success,
    /// The endpoint rejected the request as invalid.
    ClientError,
    /// The endpoint failed to carry out the request.
    ServerError,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The endpoint answered in full.
    Answered {
        /// Class of the answer's status.
        status: Status,
        /// Time from the first byte sent to the last byte received.
        latency: Duration,
    },
    /// No complete answer was received.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
    },
    /// The caller cancelled the request; says nothing about the endpoint's health.
    Cancelled,
    /// Nothing was sent, for a reason that says nothing about the endpoint's health.
    Unsent,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) submission: Submission,
    pub(super) pool: PoolKey,
    /// Sequence number among the requests of its workspace and class.
    pub(super) number: u64,
    /// Time by which the request was expected to start at admission.
    pub(super) start_by: Instant,
    /// Time from which the request, if urgent, starts before other workspaces' requests.
    pub(super) due: Instant,
    pub(super) state: State,
    pub(super) attempts: u32,
    /// The endpoint of the last failed attempt.
    pub(super) avoid: Option<HostKey>,
    /// The verdict of its attempts so far with the least certainty.
    pub(super) verdict: Verdict,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum State {
    Waiting,
    Running(Attempt),
}

/// A running attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) host: HostKey,
    pub(super) since: Instant,
    /// Time by which the endpoint must have ended the attempt.
    pub(super) until: Instant,
    /// Expected run time: the mean of the queue's earlier requests.
    pub(super) expected: Duration,
}
