//! Handles the ends of runs, tasks, occurrences and jobs.

use super::{Scheduler, SchedulerEvent};
use crate::job::endpoint::Departure;
use crate::job::gang::Work;
use crate::job::run::Phase;
use crate::job::{JobKey, RunEnd, RunKey, State, TaskRef};
use crate::time::Instant;

/// Pause before a task of a long-running step starts again. It keeps a task that fails
/// immediately from taking up all orders.
const RESTART_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// Why a job fails of which a task has used up its attempts.
pub(super) const TOO_MANY_FAILURES: &str = "a task failed too often";

impl Scheduler {
    /// Removes a run from its endpoint and its task, and returns the task.
    pub(super) fn remove_run(&mut self, now: Instant, key: RunKey) -> Option<TaskRef> {
        let run = self.runs.remove(key)?;
        if let Some(endpoint) = self.endpoints.get_mut(run.endpoint) {
            endpoint.runs.remove(&key);
            endpoint.used.subtract(&run.reserved);
            if endpoint.runs.is_empty() {
                endpoint.idle_since = now;
            }
        }
        if let Some(workspace) = &run.workspace
            && let Some(used) = self.workspace_usage.get_mut(workspace)
        {
            used.subtract(&run.demand);
        }
        let Some(task) = run.task else {
            self.orphans.record_end(&run.name.job, key);
            return None;
        };
        let job = self.jobs.get_mut(task.job)?;
        job.runs.retain(|&other| other != key);
        if let Some(task_state) = job.task_mut(task) {
            task_state.runs.retain(|&other| other != key);
            task_state.wants_duplicate = false;
        }
        Some(task)
    }

    /// Removes a run that is certain not to be executing, although its endpoint is still
    /// there.
    pub(super) fn release(&mut self, now: Instant, key: RunKey, reason: &'static str) {
        self.release_with(now, key, None, reason);
    }

    /// Removes a run that ended with its endpoint.
    pub(super) fn release_departed(
        &mut self,
        now: Instant,
        key: RunKey,
        departure: Departure,
        reason: &'static str,
    ) {
        self.release_with(now, key, Some(departure), reason);
    }

    fn release_with(
        &mut self,
        now: Instant,
        key: RunKey,
        departure: Option<Departure>,
        reason: &'static str,
    ) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        self.events.push(SchedulerEvent::Gone {
            name: run.name.clone(),
            number: run.number,
            endpoint: self.endpoint_id(run.endpoint),
            reason,
            departure,
            age: now.saturating_since(run.sent_at),
            confirmed: run.phase.confirmed_at().is_some(),
        });
        if let Some(task) = self.remove_run(now, key) {
            self.drop_if_finished(now, task.job);
        }
    }

    /// Processes the end of a run, which may no longer be known.
    pub(super) fn handle_run_end(
        &mut self,
        now: Instant,
        task: TaskRef,
        end: &ReportedEnd<'_>,
    ) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let long_running = job.record.spec.steps[task.step as usize].long_running;
        let gang = job.record.spec.steps[task.step as usize].gang;
        let Some(task_state) = job.task_mut(task) else {
            return;
        };
        task_state.last_run = task_state.last_run.max(end.number);
        if long_running {
            task_state.not_before = now + RESTART_PAUSE;
        }
        job.record_checkpoint(task, end.checkpoint, end.number, Work::Ended);
        match end.outcome {
            RunEnd::Done if !long_running => self.task_done(now, task, gang),
            RunEnd::Failed => self.task_failed(now, task, end, long_running),
            RunEnd::Done
            | RunEnd::Stopped
            | RunEnd::Lapsed
            | RunEnd::Broken
            | RunEnd::Alone => {
                job.mark_changed(now);
            }
        }
    }

    fn task_done(&mut self, now: Instant, task: TaskRef, gang: bool) {
        let job = &mut self.jobs[task.job];
        let Some(group) = job.group_mut(task) else {
            return;
        };
        let mut others = Vec::new();
        let range = if gang {
            0..group.tasks.len()
        } else {
            task.index as usize..task.index as usize + 1
        };
        for task_state in &mut group.tasks[range] {
            if !task_state.done {
                task_state.done = true;
                group.done += 1;
            }
            if !gang {
                others.extend(task_state.runs.iter().copied());
            }
        }
        job.mark_changed(now);
        job.close_if_done(task.occurrence);
        let complete = job.is_complete();
        for run in others {
            self.stop(now, run, "another run of the task finished first");
        }
        if complete && !self.jobs[task.job].state.is_final() {
            self.finish(now, task.job, State::Completed, "every task is done");
        }
    }

    fn task_failed(
        &mut self,
        now: Instant,
        task: TaskRef,
        end: &ReportedEnd<'_>,
        long_running: bool,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(end.endpoint) {
            endpoint.record_failure(now);
        }
        self.observe_failure(now, end.endpoint);
        let job = &mut self.jobs[task.job];
        let Some(task_state) = job.task_mut(task) else {
            return;
        };
        if long_running || task_state.failed_runs.contains(&end.number) {
            return;
        }
        task_state.failed_runs.push(end.number);
        task_state.avoid.push(end.endpoint);
        job.mark_changed(now);
        let is_exhausted = job.task(task).is_some_and(|task| job.is_exhausted(task));
        if is_exhausted && !job.state.is_final() {
            self.finish(now, task.job, State::Failed, TOO_MANY_FAILURES);
        }
    }

    /// Finishes a job and stops its runs.
    pub(super) fn finish(
        &mut self,
        now: Instant,
        key: JobKey,
        state: State,
        reason: &'static str,
    ) {
        let job = &mut self.jobs[key];
        job.state = state;
        job.mark_changed(now);
        self.events.push(SchedulerEvent::Finished {
            job: job.id.clone(),
            state,
            reason,
        });
        for run in self.jobs[key].runs.clone() {
            self.stop(now, run, reason);
        }
    }

    /// Marks a run to be stopped. The order is sent by the next poll.
    pub(super) fn stop(&mut self, now: Instant, key: RunKey, reason: &'static str) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.phase.is_stopping() {
            return;
        }
        if let Phase::Planned(_) = run.phase {
            self.release(now, key, reason);
            return;
        }
        run.phase = Phase::Stopping(now);
        let event = SchedulerEvent::Stopping {
            name: run.name.clone(),
            number: run.number,
            endpoint: self.endpoint_id(self.runs[key].endpoint),
            reason,
        };
        self.events.push(event);
    }

    /// Drops a job that is finished and saved and has no runs left.
    pub(super) fn drop_if_finished(&mut self, now: Instant, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if !job.state.is_final() || !job.is_saved() || !job.runs.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.remove(key) {
            if job.has_stored_orphans {
                self.orphans.settle(&job.id);
            }
            self.jobs_by_id.remove(&job.id);
            self.permissions.forget(key);
            self.finished_jobs.insert(job.id, now);
        }
    }

    pub(super) fn endpoint_id(&self, key: crate::job::EndpointKey) -> String {
        self.endpoints
            .get(key)
            .map_or_else(String::new, |endpoint| endpoint.registration.id.clone())
    }
}

/// The end of a run, as reported by its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedEnd<'a> {
    pub(super) number: u64,
    pub(super) outcome: RunEnd,
    pub(super) checkpoint: &'a str,
    pub(super) endpoint: crate::job::EndpointKey,
}
