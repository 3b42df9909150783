//! Specifications of jobs, as callers submit them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::resource::MAX_AMOUNT;
use super::{Resource, record};
use crate::time::Timestamp;

/// Maximum size of a job's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum number of tasks in all steps of a job together. It keeps a single submission
/// from exhausting memory.
pub const MAX_TASKS: u64 = 20_000;

/// Maximum number of steps in a job.
pub const MAX_STEPS: usize = 1_000;

/// Maximum estimate of a task's run time, in milliseconds. It is about 35 years.
pub const MAX_ESTIMATE_MS: u64 = 1 << 40;

/// Maximum number of occurrences of a job that are open at the same time.
const MAX_OPEN_OCCURRENCES: usize = 256;

/// Maximum number of tasks in the open occurrences of a job, unless one occurrence alone has
/// more.
const MAX_OPEN_TASKS: u64 = 4_096;

/// Size of a task in the record of its job's progress, in bytes. Checkpoints are left out if they
/// don't fit.
const TASK_RECORD_BYTES: u64 = 48;

/// Part of a record that is kept for what it holds besides tasks, as a divisor.
const RECORD_RESERVE_DIVISOR: u64 = 16;

/// The specification of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// Payload that tells endpoints what to run.
    pub payload: String,
    /// The steps. Later steps reference earlier ones by position.
    pub steps: Vec<Step>,
    /// Schedule on which the steps repeat; `None` to run them once, immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recurrence: Option<Recurrence>,
}

/// A schedule on which a job's steps repeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recurrence {
    /// Due time of the first occurrence.
    pub first: Timestamp,
    /// Time between two consecutive occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences, which is at least one.
    pub count: u32,
}

impl Recurrence {
    /// Returns the due time of occurrence `index`.
    pub const fn due(&self, index: u32) -> Timestamp {
        let after = self.interval_ms.saturating_mul(index as u64);
        Timestamp::from_millis(self.first.as_millis().saturating_add(after))
    }
}

/// A step: a number of identical tasks that may run in parallel.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task uses on its endpoint.
    pub demand: Resource,
    /// Approximate run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Positions of the steps that must be complete before this one starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints, from which a later run can resume.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks form a gang, which only runs as a whole.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether a gang runs slower when it spans more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that an endpoint must have; empty if any endpoint will do.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub requires: String,
    /// Label of the rack that holds the data. Tasks run slower elsewhere. Empty if there
    /// is none.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub affinity: String,
    /// Maximum number of tasks of one step and occurrence on a single endpoint; 0 for no
    /// limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_endpoint: u32,
    /// Whether duplicates of a task may run in parallel.
    #[serde(skip_serializing_if = "is_false")]
    pub allow_duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Image that the tasks run. Tasks with the same image behave alike.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub image: String,
    /// Target for the tail latency that users of the task observe, in milliseconds; 0 if
    /// there is none.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub latency_target_ms: u64,
    /// Whether the tasks only use CPU time that other tasks leave.
    #[serde(skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// Maximum number of the step's tasks that the scheduler may have unavailable at once
    /// through its own orders; `None` for no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns the resources that a task reserves on its endpoint. A best-effort task
    /// reserves no CPU.
    pub const fn reserved(&self) -> Resource {
        let mut reserved = self.demand;
        if self.best_effort {
            reserved.cpu = 0;
        }
        reserved
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero_u64(value: &u64) -> bool {
    *value == 0
}

/// The reason why a specification is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SpecError {
    /// The payload is too large; holds its size in bytes.
    #[error("the payload has {0} bytes, the most is {MAX_PAYLOAD_BYTES}")]
    Payload(usize),
    /// There are no steps or too many; holds their number.
    #[error("{0} steps, there must be 1 to {MAX_STEPS}")]
    Steps(usize),
    /// A step has no tasks; holds its position.
    #[error("step {0} has no task")]
    Empty(usize),
    /// There are too many tasks; holds their number.
    #[error("{0} tasks, the most is {MAX_TASKS}")]
    Tasks(u64),
    /// A step depends on itself, on a later step or on one that doesn't exist; holds the
    /// positions of both.
    #[error("step {0} waits for step {1}, which isn't an earlier one")]
    Order(usize, u32),
    /// The progress of so many tasks doesn't fit into a record; holds their number, and the size
    /// of a record in bytes.
    #[error("{0} tasks, whose progress doesn't fit into the {1} bytes of a record")]
    Progress(u64, u64),
    /// The specification doesn't fit into a record; holds its size and that of a record in bytes.
    #[error("the job takes {0} bytes, a record holds {1}")]
    Size(u64, u64),
    /// A step asks for more resources than any endpoint has; holds its position.
    #[error("step {0} asks for more than {MAX_AMOUNT} of a resource")]
    Amount(usize),
    /// A step has an estimate beyond all limits; holds its position.
    #[error("the estimate of step {0} exceeds {MAX_ESTIMATE_MS} ms")]
    Estimate(usize),
    /// A recurrence has no occurrences.
    #[error("a recurrence needs at least one occurrence")]
    Recurrence,
}

impl Spec {
    /// Validates the specification, as far as this is possible without knowledge of the
    /// fleet.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::Payload(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::Steps(self.steps.len()));
        }
        let tasks = self.task_count();
        if tasks > MAX_TASKS {
            return Err(SpecError::Tasks(tasks));
        }
        if self
            .recurrence
            .is_some_and(|recurrence| recurrence.count == 0)
        {
            return Err(SpecError::Recurrence);
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecError::Empty(position));
            }
            if !step.demand.is_plausible() {
                return Err(SpecError::Amount(position));
            }
            if step.estimate_ms > MAX_ESTIMATE_MS {
                return Err(SpecError::Estimate(position));
            }
            let wrong = step
                .after
                .iter()
                .find(|&&earlier| earlier as usize >= position);
            if let Some(&earlier) = wrong {
                return Err(SpecError::Order(position, earlier));
            }
        }
        Ok(())
    }

    /// Validates that the store can hold the job and its progress, if records have at most
    /// `max_record_bytes`.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found.
    pub fn check_size(&self, max_record_bytes: u64) -> Result<(), SpecError> {
        let room = max_record_bytes - max_record_bytes / RECORD_RESERVE_DIVISOR;
        let tasks = self.task_count();
        if tasks.saturating_mul(TASK_RECORD_BYTES) > room {
            return Err(SpecError::Progress(tasks, max_record_bytes));
        }
        let size = record::encoded_len(self);
        if size > room {
            return Err(SpecError::Size(size, max_record_bytes));
        }
        Ok(())
    }

    /// Returns the sum of the estimates along the longest chain of dependent steps, in
    /// milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step
                .after
                .iter()
                .filter_map(|&earlier| ends.get(earlier as usize));
            let start = ready.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns how many tasks an occurrence has.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns how many occurrences are open at most at the same time. Further ones that are
    /// due are opened as earlier ones end.
    pub(super) fn max_open_occurrences(&self, max_record_bytes: u64) -> usize {
        let storable = max_record_bytes / TASK_RECORD_BYTES / 2;
        let fitting = MAX_OPEN_TASKS.min(storable) / self.task_count().max(1);
        usize::try_from(fitting)
            .map_or(1, |fitting| fitting.clamp(1, MAX_OPEN_OCCURRENCES))
    }

    /// Returns all labels that the steps require.
    pub fn labels(&self) -> BTreeSet<&str> {
        self.steps
            .iter()
            .map(|step| step.requires.as_str())
            .filter(|label| !label.is_empty())
            .collect()
    }
}
