//! Runs of tasks, from the order that starts them to their end.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use super::live::{JobKey, TaskRef};
use super::scheduler::Suspicion;
use super::{EndpointKey, Resource};
use crate::time::Instant;

slotmap::new_key_type! {
    /// Key of a run in the scheduler's arena.
    pub struct RunKey;
}

/// Name of a task in orders and reports, formatted as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TaskName {
    /// Identity of the job.
    pub job: String,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Position of the step.
    pub step: u32,
    /// Index within the step.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// Error returned for text that is not a valid task name. It holds the text.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a valid task name")]
pub struct InvalidTaskName(pub String);

impl FromStr for TaskName {
    type Err = InvalidTaskName;

    fn from_str(text: &str) -> Result<Self, InvalidTaskName> {
        let not = || InvalidTaskName(text.to_owned());
        let mut parts = text.rsplitn(4, '.');
        let mut number = || {
            parts
                .next()
                .and_then(|part| part.parse().ok())
                .ok_or_else(not)
        };
        let index = number()?;
        let step = number()?;
        let occurrence = number()?;
        let job = parts.next().ok_or_else(not)?.to_owned();
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The run completed its work.
    Done,
    /// The run failed, whether the task or the endpoint was at fault.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang never started.
    Alone,
}

impl RunEnd {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// What the leader knows about a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The start is sent once the store holds this generation of the job.
    Planned(u64),
    /// An earlier leader assigned the run to its endpoint, which hasn't reported yet.
    Inherited,
    /// The start order is in flight.
    Starting,
    /// The start order got no answer. The run may be executing or may start later.
    Unconfirmed,
    /// The run is executing; holds the time at which this became known.
    Running(Instant),
    /// The run is to be stopped and no stop order is in flight; holds the time at which
    /// the next one is due.
    Stopping(Instant),
    /// A stop order is in flight; holds the time at which it was sent.
    StopSent(Instant),
    /// The endpoint acknowledged the stop order at this time.
    StopAcknowledged(Instant),
}

impl Phase {
    /// Returns whether the run is being stopped.
    pub(super) const fn is_stopping(self) -> bool {
        matches!(
            self,
            Self::Stopping(_) | Self::StopSent(_) | Self::StopAcknowledged(_)
        )
    }

    /// Returns the time from which the run can no longer be executing if its endpoint
    /// doesn't list it; `None` while that is uncertain.
    pub(super) const fn confirmed_at(self) -> Option<Instant> {
        match self {
            Self::Running(at) | Self::StopAcknowledged(at) => Some(at),
            Self::Planned(_)
            | Self::Inherited
            | Self::Starting
            | Self::Unconfirmed
            | Self::Stopping(_)
            | Self::StopSent(_) => None,
        }
    }
}

/// One attempt to execute a task.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) name: TaskName,
    pub(super) number: u64,
    /// The task, or `None` if its job is unknown.
    pub(super) task: Option<TaskRef>,
    /// Workspace whose limit the run counts towards; `None` if there is none or it isn't known.
    pub(super) workspace: Option<String>,
    pub(super) endpoint: EndpointKey,
    /// Resources that the run takes of its endpoint's capacity.
    pub(super) reserved: Resource,
    /// Resources that count towards the limit of its workspace.
    pub(super) demand: Resource,
    pub(super) phase: Phase,
    /// When the start order was sent, or when the run became known to this leader.
    pub(super) sent_at: Instant,
    /// Whether a report of its endpoint has listed the run, so that the run ends with that
    /// incarnation of the endpoint.
    pub(super) is_reported: bool,
    /// What it says about the task if the run has ended with an earlier incarnation of its
    /// endpoint; `None` if no restart of the endpoint is known since the start.
    pub(super) suspicion: Option<Suspicion>,
    /// Whether this leader sent the start order, and so knows how long the run has been
    /// executing.
    pub(super) started_by_this_leader: bool,
    /// Completed work, in percent, as last reported.
    pub(super) percent: u32,
    /// When `percent` was last reported.
    pub(super) percent_at: Instant,
    /// Approximate load, or tail latency, as last reported.
    pub(super) gauge: u64,
    /// Share of full speed that the run may use, in percent.
    pub(super) pace: u32,
    /// For how long after its start no run of another job starts on its endpoint, as its task
    /// is suspected of crashing endpoints; `None` if it isn't.
    pub(super) probation: Option<Duration>,
    /// Whether the endpoint knows `pace`, or an order with it is in flight.
    pub(super) pace_sent: bool,
    /// Checkpoint that the run resumes from if it belongs to a gang; empty if there is none. It is
    /// chosen when the run is planned, so that all members resume from the same one.
    pub(super) gang_checkpoint: String,
}

impl Run {
    /// Returns a run that an earlier leader assigned to an endpoint, without a task.
    pub(super) fn inherited(
        now: Instant,
        name: TaskName,
        number: u64,
        endpoint: EndpointKey,
    ) -> Self {
        Self {
            name,
            number,
            task: None,
            workspace: None,
            endpoint,
            reserved: Resource::default(),
            demand: Resource::default(),
            phase: Phase::Inherited,
            sent_at: now,
            is_reported: false,
            suspicion: None,
            started_by_this_leader: false,
            percent: 0,
            percent_at: now,
            gauge: 0,
            pace: 100,
            probation: None,
            // An earlier leader may have reduced the pace.
            pace_sent: false,
            gang_checkpoint: String::new(),
        }
    }

    /// Estimates the remaining run time from the progress so far.
    pub(super) fn remaining(&self) -> Duration {
        let done = self.percent.clamp(1, 100);
        self.percent_at.saturating_since(self.sent_at) * (100 - done) / done
    }

    /// Returns the time since the run's start.
    pub(super) const fn age(&self, now: Instant) -> Duration {
        now.saturating_since(self.sent_at)
    }

    pub(super) fn job(&self) -> Option<JobKey> {
        self.task.map(|task| task.job)
    }
}
