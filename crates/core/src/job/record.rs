//! The records of jobs in the store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::spans::Spans;
use super::{Declared, Orphans, Spec, crash};
use crate::time::Timestamp;

/// The decision on a submitted job, stored under the job's identity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Submission {
    /// The job was accepted.
    Accepted(Box<Record>),
    /// The job was cancelled before it was accepted. The entry keeps submissions that are under
    /// way, and later ones, from accepting it.
    Cancelled {
        /// Time of the cancellation, by the clock of the entry host that received it.
        cancelled: Timestamp,
    },
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the queue.
    pub queue: String,
    /// Pool of the queue at the time of submission.
    pub pool: String,
    /// Workspace whose API key came with the job; `None` for public queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
    /// What the configuration declared for the job at the time of submission. Earlier versions
    /// don't store it.
    #[serde(default, skip_serializing_if = "Declared::is_empty")]
    pub declared: Declared,
    /// Time of submission, by the clock of the entry host that accepted the job.
    pub submitted: Timestamp,
    /// The job's specification.
    pub spec: Spec,
}

/// An endpoint that tasks were assigned to.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AssignedEndpoint {
    /// Identity of the endpoint.
    pub id: String,
    /// Start time of this incarnation of the endpoint, in milliseconds since the Unix
    /// epoch.
    pub born: u64,
    /// Address at which it receives orders.
    pub address: SocketAddr,
    /// Name of its pool.
    pub pool: String,
    /// Name of its host; `None` if the platform hadn't listed it yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
}

/// State of a job, as published to callers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The job was accepted, and no task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether the job is finished, so that none of its tasks will start again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Saved progress of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// State that is published to callers.
    pub state: State,
    /// Whether a start is known, if the job is running. Earlier versions don't tell, and store a
    /// job as running once a start is planned.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_begun: bool,
    /// What the configuration declared for the job last; `None` if that is what its record holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared: Option<Declared>,
    /// Number of the first open occurrence. All earlier ones are done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub first_open: u32,
    /// The endpoints that tasks were assigned to, which tasks reference by position.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<AssignedEndpoint>,
    /// Completed occurrences after `first_open`.
    #[serde(default, skip_serializing_if = "Spans::is_empty")]
    pub closed: Spans,
    /// The open occurrences, from `first_open` on, of which a task has started.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub occurrences: Vec<Occurrence>,
    /// Runs that the tasks don't name. Those of a finished job are stored by themselves.
    #[serde(default, skip_serializing_if = "Orphans::is_empty")]
    pub orphans: Orphans,
}

/// A run that was assigned to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct AssignedRun {
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) index: u32,
    pub(super) number: u64,
    pub(super) member: AssignedEndpoint,
}

impl Progress {
    /// Returns the state of the job, as far as the record proves it.
    pub(super) fn proven_state(&self) -> State {
        let is_proven = self.has_begun || self.first_open > 0 || !self.closed.is_empty();
        if self.state != State::Running || is_proven {
            return self.state;
        }
        if self.occurrences.iter().any(Occurrence::has_begun) {
            State::Running
        } else {
            State::Queued
        }
    }

    /// Leaves out what isn't needed for correctness until the encoded progress has at most
    /// `max_bytes`: checkpoints, the longest first, then crashes of endpoints. Returns whether
    /// it fits.
    pub(super) fn fit_into(&mut self, max_bytes: u64) -> bool {
        let Some(excess) = self.excess(max_bytes) else {
            return true;
        };
        self.drop_checkpoints(excess);
        if self.excess(max_bytes).is_none() {
            return true;
        }
        for task in self.tasks_mut() {
            task.checkpoint.clear();
            task.crashes = crash::History::default();
        }
        self.excess(max_bytes).is_none()
    }

    /// Returns by how many bytes the encoded progress exceeds a size; `None` if it doesn't.
    fn excess(&self, max_bytes: u64) -> Option<u64> {
        let excess = encoded_len(self).saturating_sub(max_bytes);
        (excess > 0).then_some(excess)
    }

    /// Drops the longest checkpoints, of `bytes` together.
    fn drop_checkpoints(&mut self, bytes: u64) {
        let mut tasks: Vec<&mut Task> = self.tasks_mut().collect();
        tasks.sort_by_key(|task| std::cmp::Reverse(task.checkpoint.len()));
        let mut dropped = 0;
        for task in tasks {
            if dropped >= bytes {
                return;
            }
            dropped += task.checkpoint.len() as u64;
            task.checkpoint.clear();
        }
    }

    fn tasks_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        let occurrences = self.occurrences.iter_mut();
        occurrences.flat_map(|occurrence| &mut occurrence.tasks)
    }

    /// Returns the runs that may still be executing.
    pub(super) fn assigned_runs(&self) -> Vec<AssignedRun> {
        let mut assigned_runs = Vec::new();
        for occurrence in &self.occurrences {
            for task in &occurrence.tasks {
                let member = task
                    .member
                    .and_then(|position| self.members.get(position as usize));
                if let Some(member) = member {
                    assigned_runs.push(AssignedRun {
                        occurrence: occurrence.index,
                        step: task.step,
                        index: task.index,
                        number: task.last_run,
                        member: member.clone(),
                    });
                }
            }
        }
        assigned_runs
    }
}

/// Saved progress of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// Number of the occurrence.
    pub index: u32,
    /// Tasks that have started at least once and aren't done, ordered by step and index.
    /// Earlier versions list those that are done as well.
    pub tasks: Vec<Task>,
    /// Tasks that are done, by step.
    #[serde(default, rename = "done", skip_serializing_if = "BTreeMap::is_empty")]
    pub done: BTreeMap<u32, Spans>,
}

impl Occurrence {
    /// Returns whether what is saved shows that a task has started.
    fn has_begun(&self) -> bool {
        let shows_start = |task: &Task| {
            task.done || !task.failed_runs.is_empty() || !task.checkpoint.is_empty()
        };
        !self.done.is_empty() || self.tasks.iter().any(shows_start)
    }

    /// Returns whether no task has started.
    pub(super) fn is_untouched(&self) -> bool {
        self.tasks.is_empty() && self.done.is_empty()
    }
}

/// Returns the size of an encoded record, in bytes.
pub(super) fn encoded_len<T: Serialize>(record: &T) -> u64 {
    let mut counter = Counter(0);
    match serde_json::to_writer(&mut counter, record) {
        Ok(()) => counter.0,
        // The counter takes every write, and records can be encoded.
        Err(_) => u64::MAX,
    }
}

/// A writer that counts bytes.
struct Counter(u64);

impl io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Saved state of a task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// Position of the step.
    #[serde(rename = "s")]
    pub step: u32,
    /// Index within the step.
    #[serde(rename = "i")]
    pub index: u32,
    /// Whether a run of the task has succeeded.
    #[serde(default, rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Numbers of the runs that failed.
    #[serde(default, rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u64>,
    /// Highest run number that the task has used.
    #[serde(default, rename = "n")]
    pub last_run: u64,
    /// Position in [`Progress::members`] of the endpoint that run `last_run` was assigned
    /// to; `None` once that run has ended.
    #[serde(default, rename = "m", skip_serializing_if = "Option::is_none")]
    pub member: Option<u32>,
    /// Newest checkpoint; empty if there is none.
    #[serde(default, rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Crashes of endpoints under its runs.
    #[serde(
        default,
        rename = "x",
        skip_serializing_if = "crash::History::is_empty"
    )]
    pub crashes: crash::History,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}
