//! What of a job is kept in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Spec;
use crate::time::Timestamp;

/// What the store holds under a job's identity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Submission {
    /// The job was accepted.
    Accepted(Box<Record>),
    /// The job was refused, and a write that is still on its way must not accept it.
    Refused,
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the queue.
    pub queue: String,
    /// Pool that the queue named when the job came.
    pub pool: String,
    /// Workspace whose key came with the job; absent for public queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
    /// When the job came, by the accepting entry host's clock.
    pub submitted: Timestamp,
    /// The job itself.
    pub spec: Spec,
}

/// An endpoint that a task was given to.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Member {
    /// Identity of the endpoint.
    pub id: String,
    /// When this life of it began, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its pool.
    pub pool: String,
}

/// State of a job, as callers see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepted, and no task has started.
    #[default]
    Queued,
    /// Some task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether nothing of the job will start any more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// How far a job is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// State that callers are shown.
    pub state: State,
    /// Occurrences before this one are done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub first_open: u32,
    /// The endpoints that tasks were given to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<Member>,
    /// The occurrences from there on that are under way.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub occurrences: Vec<Occurrence>,
}

/// A run that was given to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Given {
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) index: u32,
    pub(super) number: u64,
    pub(super) member: Member,
}

impl Progress {
    /// Returns the runs that may be under way.
    pub(super) fn given(&self) -> Vec<Given> {
        let mut given = Vec::new();
        for occurrence in &self.occurrences {
            for task in &occurrence.tasks {
                let member = task
                    .member
                    .and_then(|place| self.members.get(place as usize));
                if let Some(member) = member {
                    given.push(Given {
                        occurrence: occurrence.index,
                        step: task.step,
                        index: task.index,
                        number: task.last_run,
                        member: member.clone(),
                    });
                }
            }
        }
        given
    }
}

/// How far one occurrence of a job is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// Number of the occurrence.
    pub index: u32,
    /// The tasks about which something is known, in order of step and index.
    pub tasks: Vec<Task>,
}

/// What is known of a task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// Position of the step.
    #[serde(rename = "s")]
    pub step: u32,
    /// Index within the step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Whether a run has ended well.
    #[serde(default, rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Numbers of the runs that failed.
    #[serde(default, rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// Highest number that a run of the task has.
    #[serde(default, rename = "n")]
    pub last_run: u64,
    /// Position of the endpoint that the run with this number was given to, until it ends.
    #[serde(default, rename = "m", skip_serializing_if = "Option::is_none")]
    pub member: Option<u32>,
    /// Newest checkpoint; empty for none.
    #[serde(default, rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}
