//! Runs of tasks, from the order to their end.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use super::live::{JobKey, TaskRef};
use super::{EndpointKey, Resource};
use crate::time::Instant;

slotmap::new_key_type! {
    /// Names a run in the scheduler's arena.
    pub struct RunKey;
}

/// Name of a task, as orders and reports carry it: `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Name {
    /// Identity of the job.
    pub job: String,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Position of the step.
    pub step: u32,
    /// Index within the step.
    pub index: u32,
}

impl fmt::Display for Name {
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

/// A text that is no task's name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is no task's name")]
pub struct NotAName(pub String);

impl FromStr for Name {
    type Err = NotAName;

    fn from_str(text: &str) -> Result<Self, NotAName> {
        let not = || NotAName(text.to_owned());
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
pub enum End {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the endpoint's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't come.
    Alone,
}

impl End {
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

/// What is known of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Its start goes out once the store has this generation of its job.
    Planned(u64),
    /// An earlier leader gave it to its endpoint, which hasn't reported yet.
    Inherited,
    /// The order is on its way.
    Starting,
    /// The order got no answer: it may run, or start later.
    Doubtful,
    /// It runs; since when that is known.
    Running(Instant),
    /// It is to stop; no further order is on its way, and the next is due then.
    Stopping(Instant),
    /// The order to stop is on its way.
    StopSent,
    /// The order to stop was acknowledged then.
    StopAcknowledged(Instant),
}

impl Phase {
    pub(super) const fn is_stopping(self) -> bool {
        matches!(
            self,
            Self::Stopping(_) | Self::StopSent | Self::StopAcknowledged(_)
        )
    }

    /// Returns since when an endpoint that doesn't list the run can't run it any more.
    pub(super) const fn settled_at(self) -> Option<Instant> {
        match self {
            Self::Running(at) | Self::StopAcknowledged(at) => Some(at),
            Self::Planned(_)
            | Self::Inherited
            | Self::Starting
            | Self::Doubtful
            | Self::Stopping(_)
            | Self::StopSent => None,
        }
    }
}

/// One start of a task.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) name: Name,
    pub(super) number: u64,
    /// The task, unless the run is of a job that isn't known.
    pub(super) task: Option<TaskRef>,
    pub(super) endpoint: EndpointKey,
    pub(super) reserved: Resource,
    pub(super) demand: Resource,
    pub(super) phase: Phase,
    pub(super) sent_at: Instant,
    /// Whether this leader sent its start, and so knows how long it has run.
    pub(super) is_own: bool,
    /// Work done, in percent, as last reported.
    pub(super) percent: u32,
    /// When that was reported.
    pub(super) percent_at: Instant,
    /// Rough load or tail latency, as last reported.
    pub(super) gauge: u64,
    /// Share of full speed that it is let work at, in percent.
    pub(super) pace: u32,
    /// Whether the endpoint certainly knows that share, or is being told of it.
    pub(super) pace_told: bool,
}

impl Run {
    /// Returns how long the run still takes at its pace so far.
    pub(super) fn remaining(&self) -> Duration {
        let done = self.percent.clamp(1, 100);
        self.percent_at.saturating_since(self.sent_at) * (100 - done) / done
    }

    pub(super) fn job(&self) -> Option<JobKey> {
        self.task.map(|task| task.job)
    }
}
