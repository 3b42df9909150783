//! What the configuration declares for a job.
//!
//! A version of the configuration may leave out a queue or a workspace whose jobs aren't
//! finished. The last known values then stay in force. They are stored with the job, so that
//! they don't depend on which versions a leader has seen.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::configuration::{Declarations, Queue};
use super::{Resource, Spec};

/// Values that a version of the configuration declares for a job, as far as they are known.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Declared {
    /// Values of the job's queue; `None` if no version with the queue is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueValues>,
    /// Resource limit of the job's workspace, where 0 stands for no limit; `None` if no version
    /// with the workspace is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Resource>,
}

/// Values of a queue that its jobs are scheduled by.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueValues {
    /// Name of the pool whose endpoints run the job's tasks.
    pub pool: String,
    /// Priority of the queue. 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub attempts: u32,
    /// Time after which the job, or an occurrence of it, is late, in milliseconds.
    pub objective_ms: u64,
}

impl Declared {
    /// Returns the values that one version declares.
    pub fn new(spec: &Spec, declarations: Declarations<'_>) -> Self {
        let mut declared = Self::default();
        declared.update(spec, declarations);
        declared
    }

    /// Takes over the values of a newer version. Those that it leaves out stay.
    pub(super) fn update(&mut self, spec: &Spec, declarations: Declarations<'_>) {
        if let Some(queue) = declarations.queue {
            self.queue = Some(QueueValues::new(spec, queue));
        }
        if let Some(workspace) = declarations.workspace {
            self.limit = Some(workspace.limit);
        }
    }

    /// Returns whether nothing is known.
    pub(super) const fn is_empty(&self) -> bool {
        self.queue.is_none() && self.limit.is_none()
    }

    /// Returns the number of failed runs of one task after which the job fails; `None` if it
    /// isn't known.
    pub(super) fn attempts(&self) -> Option<usize> {
        let queue = self.queue.as_ref()?;
        Some(queue.attempts.max(1) as usize)
    }
}

impl QueueValues {
    fn new(spec: &Spec, queue: &Queue) -> Self {
        let objective = objective(spec, queue);
        Self {
            pool: queue.pool.clone(),
            priority: queue.priority,
            attempts: queue.attempts,
            objective_ms: u64::try_from(objective.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Returns the time after which a job of a queue is late.
pub(super) fn objective(spec: &Spec, queue: &Queue) -> Duration {
    let chain_ms = spec.critical_path_ms();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a span in milliseconds is far below 2^52"
    )]
    let stretched = (chain_ms as f64 * queue.stretch) as u64;
    let slack_ms = u64::try_from(queue.target_latency.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(stretched.saturating_add(slack_ms))
}
