//! Jobs as callers submit them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Resource;
use crate::time::Timestamp;

/// Most bytes of a job's payload.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Most tasks of one job's steps together, so that one submission can't exhaust memory.
pub const MAX_TASKS: u64 = 20_000;

/// Most steps of one job.
pub const MAX_STEPS: usize = 1_000;

/// A submitted job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// What endpoints are told to run.
    pub payload: String,
    /// The steps, which later steps name by their position.
    pub steps: Vec<Step>,
    /// When the steps run, if not once and at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recurrence: Option<Recurrence>,
}

/// When a job's steps run again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Recurrence {
    /// When the first occurrence is due.
    pub first: Timestamp,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences, at least one.
    pub count: u32,
}

impl Recurrence {
    /// Returns when occurrence `index` is due.
    pub const fn due(&self, index: u32) -> Timestamp {
        let after = self.interval_ms.saturating_mul(index as u64);
        Timestamp::from_millis(self.first.as_millis().saturating_add(after))
    }
}

/// A step: tasks of one kind that may run side by side.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes of its endpoint.
    pub demand: Resource,
    /// Roughly how long a task runs, in milliseconds.
    pub estimate_ms: u64,
    /// Positions of the steps whose tasks are all done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Whether the tasks run only together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether a gang runs slower on more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Label that an endpoint must have; empty for any.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub requires: String,
    /// Rack that holds the data; tasks run slower elsewhere. Empty for any.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub affinity: String,
    /// Most tasks of the step and occurrence on one endpoint; 0 for no bound.
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_endpoint: u32,
    /// Whether copies of a task may run side by side.
    #[serde(skip_serializing_if = "is_false")]
    pub allow_duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub image: String,
    /// Bound on the tail latency of a task's own users, in milliseconds; 0 for none.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub latency_target_ms: u64,
    /// Whether the tasks take only processor time that others leave.
    #[serde(skip_serializing_if = "is_false")]
    pub best_effort: bool,
    /// Most tasks of the step that may be away at once through our orders; absent for no
    /// such bound.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns what a task takes of the capacity of its endpoint.
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

/// Why a submitted job can't be run as it stands.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Mistake {
    /// The payload is too long.
    #[error("the payload has {0} bytes, the most is {MAX_PAYLOAD_BYTES}")]
    Payload(usize),
    /// There is no step, or there are too many.
    #[error("{0} steps, there must be 1 to {MAX_STEPS}")]
    Steps(usize),
    /// A step has no task.
    #[error("step {0} has no task")]
    Empty(usize),
    /// There are too many tasks.
    #[error("{0} tasks, the most is {MAX_TASKS}")]
    Tasks(u64),
    /// A step waits for itself, a later one or one that doesn't exist.
    #[error("step {0} waits for step {1}, which isn't an earlier one")]
    Order(usize, u32),
    /// A recurrence without an occurrence.
    #[error("a recurrence needs at least one occurrence")]
    Recurrence,
}

impl Spec {
    /// Checks what can be checked without knowing the fleet.
    ///
    /// # Errors
    ///
    /// Fails with the first mistake.
    pub fn check(&self) -> Result<(), Mistake> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(Mistake::Payload(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Mistake::Steps(self.steps.len()));
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(Mistake::Tasks(tasks));
        }
        if self
            .recurrence
            .is_some_and(|recurrence| recurrence.count == 0)
        {
            return Err(Mistake::Recurrence);
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Mistake::Empty(position));
            }
            let wrong = step
                .after
                .iter()
                .find(|&&earlier| earlier as usize >= position);
            if let Some(&earlier) = wrong {
                return Err(Mistake::Order(position, earlier));
            }
        }
        Ok(())
    }

    /// Returns how long the longest chain of steps takes, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step
                .after
                .iter()
                .filter_map(|&earlier| ends.get(earlier as usize));
            let start = ready.copied().max().unwrap_or(0);
            ends.push(start + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the labels that some step requires.
    pub fn labels(&self) -> BTreeSet<&str> {
        self.steps
            .iter()
            .map(|step| step.requires.as_str())
            .filter(|label| !label.is_empty())
            .collect()
    }
}
