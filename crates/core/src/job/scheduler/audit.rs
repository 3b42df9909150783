//! Checks that the indexes of the scheduler agree with each other.
//!
//! Runs, endpoints, tasks and workspaces refer to each other by keys, and sums are kept up to
//! date with each change. Tests check all of them after each step.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::job::{EndpointKey, JobKey, Resource, RunKey};

/// A disagreement between two indexes of the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Inconsistency {
    /// The endpoint of a run doesn't exist or doesn't have it.
    DetachedRun(RunKey),
    /// An endpoint has a run that doesn't exist or that belongs to another endpoint.
    DanglingRun(EndpointKey, RunKey),
    /// The resources that an endpoint counts as used aren't those of its runs.
    EndpointUsage(EndpointKey),
    /// The job of a run's task doesn't exist, or the task doesn't have the run.
    DetachedTask(RunKey),
    /// A task of the job has a run that doesn't exist or that belongs to another task.
    DanglingTask(JobKey, RunKey),
    /// The resources that a workspace counts as used aren't those of its runs.
    WorkspaceUsage(String),
    /// A job or an endpoint isn't found by its identity.
    Lookup(String),
}

impl Scheduler {
    /// Returns the disagreements between the scheduler's indexes.
    pub fn audit(&self) -> Vec<Inconsistency> {
        let mut found = Vec::new();
        self.audit_runs(&mut found);
        self.audit_endpoints(&mut found);
        self.audit_jobs(&mut found);
        self.audit_workspaces(&mut found);
        found
    }

    fn audit_runs(&self, found: &mut Vec<Inconsistency>) {
        for (key, run) in &self.runs {
            let endpoint = self.endpoints.get(run.endpoint);
            if endpoint.is_none_or(|endpoint| !endpoint.runs.contains(&key)) {
                found.push(Inconsistency::DetachedRun(key));
            }
            let Some(task) = run.task else {
                continue;
            };
            // The occurrence of a copy may be closed already.
            let is_attached = self.jobs.get(task.job).is_some_and(|job| {
                let mut open = job.task(task).into_iter();
                job.runs.contains(&key) && open.all(|task| task.runs.contains(&key))
            });
            if !is_attached {
                found.push(Inconsistency::DetachedTask(key));
            }
        }
    }

    fn audit_endpoints(&self, found: &mut Vec<Inconsistency>) {
        for (key, endpoint) in &self.endpoints {
            let mut used = Resource::default();
            for &run in &endpoint.runs {
                match self.runs.get(run).filter(|run| run.endpoint == key) {
                    Some(run) => used.add(&run.reserved),
                    None => found.push(Inconsistency::DanglingRun(key, run)),
                }
            }
            if used != endpoint.used {
                found.push(Inconsistency::EndpointUsage(key));
            }
            let id = &endpoint.registration.id;
            if self.endpoints_by_id.get(id) != Some(&key) {
                found.push(Inconsistency::Lookup(id.clone()));
            }
        }
    }

    fn audit_jobs(&self, found: &mut Vec<Inconsistency>) {
        for (key, job) in &self.jobs {
            let groups = job.occurrences.values().flat_map(|open| &open.groups);
            let tasks = groups.flat_map(|group| &group.tasks);
            for &run in tasks.flat_map(|task| &task.runs).chain(&job.runs) {
                let owner = self.runs.get(run).and_then(|run| run.job());
                if owner != Some(key) {
                    found.push(Inconsistency::DanglingTask(key, run));
                }
            }
            if self.jobs_by_id.get(&job.id) != Some(&key) {
                found.push(Inconsistency::Lookup(job.id.clone()));
            }
        }
    }

    fn audit_workspaces(&self, found: &mut Vec<Inconsistency>) {
        let mut used: BTreeMap<&str, Resource> = BTreeMap::new();
        for run in self.runs.values() {
            if let Some(workspace) = run.workspace.as_deref() {
                used.entry(workspace).or_default().add(&run.demand);
            }
        }
        let counted = self.workspace_usage.iter();
        let counted = counted.map(|(name, amount)| (name.as_str(), *amount));
        let counted: BTreeMap<&str, Resource> = counted.collect();
        for name in used.keys().chain(counted.keys()) {
            let counted = counted.get(name).copied().unwrap_or_default();
            if used.get(name).copied().unwrap_or_default() != counted {
                found.push(Inconsistency::WorkspaceUsage((*name).to_owned()));
            }
        }
    }
}
