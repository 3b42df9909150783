//! Runs whose jobs are finished, or that the progress of their jobs doesn't name.

use std::collections::{BTreeMap, BTreeSet};

use super::{Command, Scheduler};
use crate::job::orphan::{Orphan, Orphans};
use crate::job::run::{Phase, Run};
use crate::job::{JobKey, RunKey, TaskRef};
use crate::time::Instant;

/// Maximum number of records in one removal. The store accepts 32 entries per write, one of
/// which is the condition that this leader still leads.
const MAX_RECORDS: usize = 31;

/// What the store holds of the runs of finished jobs.
#[derive(Debug, Default)]
pub(super) struct Stored {
    /// Runs that may be executing, by the identity of a job that an earlier leader finished.
    running: BTreeMap<String, BTreeSet<RunKey>>,
    /// Identities of jobs all of whose runs have ended, so that the record is to be removed.
    settled: Vec<String>,
    removal_in_flight: bool,
}

impl Stored {
    /// Records that all runs of a job have ended.
    pub(super) fn settle(&mut self, id: &str) {
        self.settled.push(id.to_owned());
    }

    /// Records that a run of a job has ended that isn't known.
    pub(super) fn record_end(&mut self, id: &str, run: RunKey) {
        let Some(running) = self.running.get_mut(id) else {
            return;
        };
        running.remove(&run);
        if running.is_empty() {
            self.running.remove(id);
            self.settle(id);
        }
    }
}

impl Scheduler {
    /// Takes over the runs of a job that an earlier leader finished. They count until they have
    /// ended, and are stopped.
    pub fn add_orphans(&mut self, now: Instant, id: &str, orphans: &Orphans) {
        if self.orphans.running.contains_key(id) {
            return;
        }
        let mut running = BTreeSet::new();
        for (orphan, member) in orphans.assigned() {
            let endpoint = self.find_or_add_endpoint(now, member);
            running.insert(self.take_over(Run {
                workspace: orphans.workspace.clone(),
                phase: Phase::Stopping(now),
                ..orphan.to_run(now, id, endpoint)
            }));
        }
        if running.is_empty() {
            self.orphans.settle(id);
        } else {
            self.orphans.running.insert(id.to_owned(), running);
        }
    }

    /// Takes over the runs that the progress of an unfinished job doesn't name with its tasks. Those
    /// of tasks that are done are stopped.
    pub(super) fn take_over_unnamed(
        &mut self,
        now: Instant,
        job: JobKey,
        orphans: &Orphans,
    ) {
        let id = self.jobs[job].id.clone();
        for (orphan, member) in orphans.assigned() {
            let endpoint = self.find_or_add_endpoint(now, member);
            let task = TaskRef {
                job,
                occurrence: orphan.occurrence,
                step: orphan.step,
                index: orphan.index,
            };
            let open = self.jobs[job].task(task);
            let is_wanted = open.is_some_and(|task| !task.done);
            self.take_over(Run {
                task: Some(task),
                workspace: self.jobs[job].record.workspace.clone(),
                phase: if is_wanted {
                    Phase::Inherited
                } else {
                    Phase::Stopping(now)
                },
                ..orphan.to_run(now, &id, endpoint)
            });
        }
    }

    /// Adds a run that an earlier leader started, and which may be executing.
    fn take_over(&mut self, run: Run) -> RunKey {
        let endpoint = run.endpoint;
        let key = self.runs.insert(run);
        self.attach(key);
        let bound = self.term_began_at + self.options.inherited_bound;
        self.endpoints[endpoint].extend_lease_bound(bound);
        key
    }

    /// Returns the runs of a job that the progress of its tasks doesn't tell of: all of a finished
    /// job, else those of tasks that are done and all but one of each other task.
    pub(super) fn orphans(&self, job: JobKey) -> Orphans {
        let mut orphans = Orphans {
            workspace: self.jobs[job].record.workspace.clone(),
            ..Orphans::default()
        };
        for &key in &self.jobs[job].runs {
            if self.jobs[job].state.is_final() || !self.is_named(job, key) {
                let endpoint = self.assigned_endpoint(key);
                let orphan = self.orphan(key);
                if let Some((orphan, endpoint)) = orphan.zip(endpoint) {
                    orphans.add(orphan, endpoint);
                }
            }
        }
        orphans
    }

    fn orphan(&self, key: RunKey) -> Option<Orphan> {
        let run = self.runs.get(key)?;
        Some(Orphan {
            occurrence: run.name.occurrence,
            step: run.name.step,
            index: run.name.index,
            number: run.number,
            member: 0,
            reserved: run.reserved,
            demand: run.demand,
        })
    }

    /// Returns whether the progress of a run's task names the run.
    fn is_named(&self, job: JobKey, key: RunKey) -> bool {
        let run = &self.runs[key];
        let task = run.task.and_then(|task| self.jobs[job].task(task));
        task.is_some_and(|task| {
            !task.done && task.runs.last() == Some(&key) && task.last_run == run.number
        })
    }

    /// Issues the removal of records of runs that have ended.
    pub(super) fn remove_settled(&mut self, commands: &mut Vec<Command>) {
        if self.orphans.removal_in_flight || self.orphans.settled.is_empty() {
            return;
        }
        let settled = self.orphans.settled.iter().take(MAX_RECORDS);
        self.orphans.removal_in_flight = true;
        commands.push(Command::RemoveOrphans(settled.cloned().collect()));
    }

    /// Handles the result of a removal. `done` tells whether the records were removed from the
    /// store.
    pub fn handle_orphans_removal_outcome(&mut self, ids: &[String], done: bool) {
        self.orphans.removal_in_flight = false;
        if done {
            self.orphans.settled.retain(|id| !ids.contains(id));
        }
    }
}
