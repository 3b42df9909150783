//! Requests and their tickets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{HostKey, PoolKey, QueueKey, WorkspaceKey};
use crate::time::Instant;
use crate::verdict::Verdict;

slotmap::new_key_type! {
    /// Names a request from its admission to its end, and no other one after that.
    pub struct Ticket;
}

/// How soon a request should start.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Before normal requests of its workspace.
    Urgent,
    /// In turn.
    Normal,
}

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Submission {
    /// The workspace that the work counts for.
    pub workspace: WorkspaceKey,
    /// The queue that the request was sent to.
    pub queue: QueueKey,
    /// How soon it should start.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
}

/// A request that is to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Start {
    /// The request.
    pub ticket: Ticket,
    /// The endpoint to send it to.
    pub host: HostKey,
    /// The pool that the endpoint serves.
    pub pool: PoolKey,
    /// When the endpoint is to have ended the request.
    pub until: Instant,
    /// Attempts before this one.
    pub attempts: u32,
}

/// The class of an answer's status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The endpoint did what was asked.
    Success,
    /// The endpoint found fault with the request.
    ClientError,
    /// The endpoint failed.
    ServerError,
}

/// How a request that was sent ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The endpoint answered in full.
    Answered {
        /// Class of the answer's status.
        status: Status,
        /// From the first byte sent to the last one received.
        latency: Duration,
    },
    /// No whole answer came.
    Failed {
        /// What is known of the request's effect.
        verdict: Verdict,
    },
    /// The caller gave up; says nothing about the endpoint.
    Cancelled,
    /// Nothing was sent, for a reason that says nothing about the endpoint.
    Unsent,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) submission: Submission,
    pub(super) pool: PoolKey,
    /// Place among the requests of its workspace and class.
    pub(super) number: u64,
    /// When it should have started.
    pub(super) start_by: Instant,
    /// When it goes before other workspaces' requests, if it is urgent.
    pub(super) due: Instant,
    pub(super) state: State,
    pub(super) attempts: u32,
    /// The endpoint that failed it last.
    pub(super) avoid: Option<HostKey>,
    /// The worst of its attempts so far.
    pub(super) verdict: Verdict,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum State {
    Waiting,
    Running(Attempt),
}

/// One attempt under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) host: HostKey,
    pub(super) since: Instant,
    /// When the endpoint is to have ended it.
    pub(super) until: Instant,
    /// The run time that its queue's earlier requests let expect.
    pub(super) expected: Duration,
}
