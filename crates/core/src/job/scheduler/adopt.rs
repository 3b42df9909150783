//! Attaches runs to their endpoints and tasks, also those that an earlier leader started.

use super::outcome::ActiveRun;
use super::{Scheduler, SchedulerEvent};
use crate::job::run::{Phase, Run};
use crate::job::{EndpointKey, Resource, RunKey, TaskRef};
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
        let run = self.runs.insert(Run {
            name: reported.name.clone(),
            number: reported.number,
            task,
            endpoint: key,
            reserved,
            demand,
            phase: Phase::Running(now),
            sent_at: now,
            is_reported: true,
            suspicion: None,
            started_by_this_leader: false,
            percent: reported.percent,
            percent_at: now,
            gauge: reported.gauge,
            pace: 100,
            probation: None,
            // An earlier leader may have reduced the pace.
            pace_sent: false,
        });
        self.attach(run, task, key, reserved, demand);
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
    pub(super) fn attach(
        &mut self,
        run: RunKey,
        task: Option<TaskRef>,
        key: EndpointKey,
        reserved: Resource,
        demand: Resource,
    ) {
        let number = self.runs[run].number;
        let endpoint = &mut self.endpoints[key];
        endpoint.runs.insert(run);
        endpoint.used.add(&reserved);
        let Some(task) = task else {
            return;
        };
        let job = &mut self.jobs[task.job];
        if let Some(workspace) = &job.record.workspace {
            self.workspace_usage
                .entry(workspace.clone())
                .or_default()
                .add(&demand);
        }
        job.is_placed = true;
        if let Some(task_state) = job.task_mut(task) {
            task_state.runs.push(run);
            task_state.last_run = task_state.last_run.max(number);
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
