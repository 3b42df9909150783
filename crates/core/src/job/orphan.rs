//! Runs that the record of a job doesn't tell of.
//!
//! What a run uses counts for its workspace and its endpoint until the run has ended, whatever
//! has become of its job. A job may be finished, and its record gone, while runs of it are
//! being stopped on an endpoint that can't be reached. A task that is done may have a copy
//! there. Such runs are stored by themselves until they have ended, so that the next leader
//! counts and stops them as well.

use serde::{Deserialize, Serialize};

use super::record::AssignedEndpoint;
use super::run::Run;
use super::{EndpointKey, Resource, TaskName};
use crate::time::Instant;

/// Runs of one job that may be executing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Orphans {
    /// Workspace that the job belongs to; `None` for jobs of public queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
    /// The endpoints of the runs, which these reference by position.
    pub members: Vec<AssignedEndpoint>,
    /// The runs.
    pub runs: Vec<Orphan>,
}

/// A run that may be executing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Orphan {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Position of the step.
    pub step: u32,
    /// Index of the task within its step.
    pub index: u32,
    /// Number of the run.
    pub number: u64,
    /// Position of the endpoint among the members.
    pub member: u32,
    /// Resources that the run takes of its endpoint's capacity.
    pub reserved: Resource,
    /// Resources that count towards the limit of its workspace.
    pub demand: Resource,
}

impl Orphans {
    /// Returns whether there are no runs.
    pub const fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Adds a run of a job that `endpoint` may be executing.
    pub(super) fn add(&mut self, run: Orphan, endpoint: AssignedEndpoint) {
        let known = self.members.iter().position(|member| *member == endpoint);
        let position = known.unwrap_or_else(|| {
            self.members.push(endpoint);
            self.members.len() - 1
        });
        self.runs.push(Orphan {
            member: u32::try_from(position).unwrap_or(u32::MAX),
            ..run
        });
    }

    /// Returns the runs with their endpoints.
    pub(super) fn assigned(&self) -> impl Iterator<Item = (Orphan, &AssignedEndpoint)> {
        let runs = self.runs.iter().copied();
        runs.filter_map(|run| Some((run, self.members.get(run.member as usize)?)))
    }
}

impl Orphan {
    /// Returns the run of the job with this identity that a new leader takes over, without a task
    /// or a workspace.
    pub(super) fn to_run(self, now: Instant, job: &str, endpoint: EndpointKey) -> Run {
        let name = TaskName {
            job: job.to_owned(),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        };
        Run {
            reserved: self.reserved,
            demand: self.demand,
            ..Run::inherited(now, name, self.number, endpoint)
        }
    }
}
