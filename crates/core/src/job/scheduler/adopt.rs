//! Attaches runs to their endpoints and tasks, also those that an earlier leader started.

use super::outcome::ActiveRun;
use super::{Scheduler, SchedulerEvent};
use crate::job::run::{Phase, Run};
use crate::job::{EndpointKey, RunKey, TaskRef};
use crate::time::Instant;

impl Scheduler {
    /// Takes over a run that this leader didn't start, or stops it if its task is unknown
    /// or isn't waiting.
    pub(super) fn adopt(
        &mut self,
        now: Instant,
        key: EndpointKey,
        reported: &ActiveRun,
    ) -> Option<RunKey> {
        let task = self.find_task(&reported.name);
        let waiting_task = task.filter(|&task| self.is_task_waiting(task));
        let (reserved, demand) = task.map_or_else(Default::default, |task| {
            let step = &self.jobs[task.job].record.spec.steps[task.step as usize];
            (step.reserved(), step.demand)
        });
        let job = task.map(|task| &self.jobs[task.job]);
        let run = self.runs.insert(Run {
            task,
            workspace: job.and_then(|job| job.record.workspace.clone()),
            reserved,
            demand,
            phase: Phase::Running(now),
            is_reported: true,
            percent: reported.percent,
            gauge: reported.gauge,
            ..Run::inherited(now, reported.name.clone(), reported.number, key)
        });
        self.attach(run);
        let endpoint = self.endpoint_id(key);
        if waiting_task.is_some() {
            self.events.push(SchedulerEvent::Adopted {
                name: reported.name.clone(),
                number: reported.number,
                endpoint,
            });
            self.update_run(now, run, reported);
        } else {
            self.stop(now, run, "its task is unknown or not waiting");
        }
        Some(run)
    }

    /// Records that a run has started, so that its job is no longer waiting.
    pub(super) fn begin_job_of(&mut self, now: Instant, run: RunKey) {
        let job = self.runs[run].job();
        if let Some(job) = job.and_then(|job| self.jobs.get_mut(job)) {
            job.begin(now);
        }
    }

    /// Adds a run to its endpoint, its task and the usage of its workspace.
    pub(super) fn attach(&mut self, key: RunKey) {
        let run = &self.runs[key];
        let endpoint = &mut self.endpoints[run.endpoint];
        endpoint.runs.insert(key);
        endpoint.used.add(&run.reserved);
        if let Some(workspace) = &run.workspace {
            let used = self.workspace_usage.entry(workspace.clone());
            used.or_default().add(&run.demand);
        }
        let Some(task) = run.task else {
            return;
        };
        let job = &mut self.jobs[task.job];
        job.runs.push(key);
        job.is_placed = true;
        if let Some(task_state) = job.task_mut(task) {
            task_state.runs.push(key);
            task_state.last_run = task_state.last_run.max(run.number);
        }
    }

    /// Returns whether a task may have another run.
    fn is_task_waiting(&self, task: TaskRef) -> bool {
        let job = &self.jobs[task.job];
        !job.state.is_final()
            && job
                .task(task)
                .is_some_and(super::super::live::Task::is_waiting)
    }
}
