//! Jobs that are in progress, with the state of each task.

use std::collections::BTreeMap;
use std::time::Duration;

use super::configuration::{Declarations, PlacementPolicy};
use super::gang::{self, Work};
use super::record::{self, AssignedEndpoint, Progress};
use super::refused_save::Refusals;
use super::spans::Spans;
use super::{
    Declared, EndpointKey, Orphans, Record, Resource, RunKey, State, Step, crash,
};
use crate::time::{Instant, Timestamp};

/// Time within which the first start of a job is published.
const PUBLICATION_DELAY: Duration = Duration::from_millis(500);

slotmap::new_key_type! {
    /// Key of a job in the scheduler's arena.
    pub struct JobKey;
}

/// Reference to a task of a job in progress.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskRef {
    /// Key of the job.
    pub job: JobKey,
    /// Number of the job's occurrence, from 0.
    pub occurrence: u32,
    /// Position of the step in the job's specification.
    pub step: u32,
    /// Index of the task within its step.
    pub index: u32,
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) done: bool,
    /// Numbers of the runs that failed.
    pub(super) failed_runs: Vec<u64>,
    /// Newest checkpoint; empty if there is none.
    pub(super) checkpoint: String,
    /// Runs of the task that may be executing.
    pub(super) runs: Vec<RunKey>,
    /// Highest run number that the task has used.
    pub(super) last_run: u64,
    /// Crashes of endpoints under its runs.
    pub(super) crashes: crash::History,
    /// Numbers of those crashes that this leader has seen.
    pub(super) crash_numbers: Vec<u64>,
    /// Endpoints on which the task failed or was too slow. Others are preferred.
    pub(super) avoid: Vec<EndpointKey>,
    /// Whether the task has already been treated as a straggler, which happens at most
    /// once.
    pub(super) straggler_handled: bool,
    /// Whether a duplicate run may start beside the slow one.
    pub(super) wants_duplicate: bool,
    /// Earliest time of the next start.
    pub(super) not_before: Instant,
}

impl Task {
    /// Returns whether another run of the task should start.
    pub(super) fn is_waiting(&self) -> bool {
        let may_duplicate = self.wants_duplicate && self.crashes.probation().is_none();
        let wanted = if may_duplicate { 2 } else { 1 };
        !self.done && self.runs.len() < wanted
    }
}

/// The tasks of one step in one occurrence.
#[derive(Clone, Debug)]
pub(super) struct TaskGroup {
    pub(super) tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub(super) done: usize,
    /// Whether the tasks work only together.
    pub(super) is_gang: bool,
    /// Newest checkpoint of the gang; unused if the tasks form none.
    pub(super) gang_checkpoint: gang::Checkpoint,
}

impl TaskGroup {
    /// Returns the checkpoint that the next run of a task resumes from; empty if there is none.
    pub(super) fn checkpoint_of<'a>(&'a self, task: &'a Task) -> &'a str {
        if self.is_gang {
            &self.gang_checkpoint.value
        } else {
            &task.checkpoint
        }
    }

    fn restore_done(&mut self, done: &Spans) {
        for (index, task) in (0..).zip(&mut self.tasks) {
            if done.contains(index) && !task.done {
                task.done = true;
                self.done += 1;
            }
        }
    }

    pub(super) const fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }
}

/// An occurrence in progress.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) groups: Vec<TaskGroup>,
    /// Due time by the monotonic clock; `None` until it has been calculated.
    pub(super) due_at: Option<Instant>,
}

impl Occurrence {
    fn new(record: &Record) -> Self {
        let group = |step: &super::Step| TaskGroup {
            tasks: vec![Task::default(); step.count as usize],
            done: 0,
            is_gang: step.gang,
            gang_checkpoint: gang::Checkpoint::default(),
        };
        Self {
            groups: record.spec.steps.iter().map(group).collect(),
            due_at: None,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.groups.iter().all(TaskGroup::is_done)
    }

    /// Returns an occurrence with its saved state.
    fn restored(record: &Record, saved: record::Occurrence) -> Self {
        let mut occurrence = Self::new(record);
        for (step, done) in saved.done {
            if let Some(group) = occurrence.groups.get_mut(step as usize) {
                group.restore_done(&done);
            }
        }
        for task in saved.tasks {
            occurrence.restore(task);
        }
        occurrence
    }

    fn restore(&mut self, task: record::Task) {
        let Some(group) = self.groups.get_mut(task.step as usize) else {
            return;
        };
        let Some(entry) = group.tasks.get_mut(task.index as usize) else {
            return;
        };
        group.done += usize::from(task.done && !entry.done);
        let saved = &task.checkpoint;
        let checkpoint = &mut group.gang_checkpoint;
        checkpoint.offer(saved, task.last_run, Work::Unknown);
        entry.done = task.done;
        entry.failed_runs = task.failed_runs;
        entry.checkpoint = task.checkpoint;
        entry.last_run = task.last_run;
        entry.crashes = task.crashes;
    }

    /// Returns the state of the occurrence that the store should hold.
    /// `endpoint_position` returns the position of the endpoint that a task's runs were
    /// assigned to.
    fn snapshot(
        &self,
        index: u32,
        mut endpoint_position: impl FnMut(&Task) -> Option<u32>,
    ) -> record::Occurrence {
        let mut tasks = Vec::new();
        let mut done: BTreeMap<u32, Spans> = BTreeMap::new();
        for (step, group) in (0..).zip(&self.groups) {
            for (index, task) in (0..).zip(&group.tasks) {
                if task.done {
                    done.entry(step).or_default().insert(index);
                } else if task.last_run > 0 {
                    tasks.push(record::Task {
                        step,
                        index,
                        last_run: task.last_run,
                        member: endpoint_position(task),
                        done: false,
                        failed_runs: task.failed_runs.clone(),
                        checkpoint: group.checkpoint_of(task).to_owned(),
                        crashes: task.crashes,
                    });
                }
            }
        }
        record::Occurrence { index, tasks, done }
    }
}

/// Scheduling parameters that follow from what is declared for a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueParameters {
    pub(super) priority: u32,
    /// Time after the due time of an occurrence at which it becomes late.
    pub(super) late_after: Duration,
    /// Longest expected run time of tasks that latest starts allow for, in percent of the
    /// estimates. The deadline follows from the estimates, so by longer run times a job
    /// would be late on arrival. Half of its slack stays for waiting.
    pub(super) max_run_time_percent: u64,
}

/// A job in progress.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) record: Record,
    /// Time of arrival, by the monotonic clock.
    pub(super) arrived_at: Instant,
    /// Whether the job exceeded its workspace's submission rate on arrival.
    pub(super) over_submission_rate: bool,
    /// What is declared for the job, as of the last version with its queue and workspace.
    pub(super) declared: Declared,
    pub(super) parameters: QueueParameters,
    /// Placement policy whose permission each step needs before it starts.
    pub(super) placement_policy: Option<PlacementPolicy>,
    /// Name of the pool that runs the job's tasks.
    pub(super) pool: String,
    /// Resource limit of the job's workspace; 0 stands for no limit.
    pub(super) limit: Resource,
    /// Run time of the job's tasks that latest starts allow for, in percent of the
    /// estimates.
    pub(super) run_time_percent: u64,
    pub(super) state: State,
    /// Whether a task was ever assigned to an endpoint. Its start may have been rejected.
    pub(super) is_placed: bool,
    /// When the first start became known; `None` if that was before this leader's term, or there
    /// is none.
    pub(super) began_at: Option<Instant>,
    /// Number of the first occurrence that isn't complete.
    pub(super) first_open: u32,
    /// Number of the next occurrence to open.
    pub(super) next_occurrence: u32,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    /// Completed occurrences after `first_open`.
    pub(super) closed: Spans,
    /// Runs of the job's tasks that may be executing.
    pub(super) runs: Vec<RunKey>,
    /// Whether a write was issued that stores the runs of the finished job by themselves.
    pub(super) has_stored_orphans: bool,
    /// Counter that increases with each change that the store should hold.
    pub(super) generation: u64,
    /// Generation that the store holds.
    pub(super) saved_generation: u64,
    /// Time of the first unsaved change or, if there is none, of the last save.
    pub(super) changed_at: Instant,
    /// State that is published to callers in the store.
    pub(super) published_state: State,
    /// Whether a write of the job's progress is in flight.
    pub(super) save_in_flight: bool,
    /// Writes of the job's progress that the store has refused for good.
    pub(super) refusals: Refusals,
    /// Whether planned starts are waiting until the job is saved.
    pub(super) has_planned_starts: bool,
    /// Store revision of the job's record.
    pub(super) record_version: u64,
    /// Store revision of the saved progress; 0 if none is saved.
    pub(super) progress_version: u64,
}

impl Job {
    pub(super) fn new(
        id: String,
        record: Record,
        declarations: Declarations<'_>,
        progress: Option<Progress>,
        arrived_at: Instant,
    ) -> Self {
        let mut progress = progress.unwrap_or_default();
        let stored = std::mem::take(&mut progress.declared);
        let stored = stored.unwrap_or_else(|| record.declared.clone());
        let parameters = QueueParameters::new(&record, &stored);
        let pool = record.pool.clone();
        let mut job = Self {
            id,
            record,
            arrived_at,
            over_submission_rate: false,
            declared: stored,
            parameters,
            placement_policy: None,
            pool,
            limit: Resource::default(),
            run_time_percent: 100,
            state: progress.proven_state(),
            is_placed: progress.state != State::Queued
                || !progress.occurrences.is_empty(),
            began_at: None,
            first_open: progress.first_open,
            next_occurrence: progress.first_open,
            occurrences: BTreeMap::new(),
            closed: progress.closed,
            runs: Vec::new(),
            has_stored_orphans: false,
            generation: 0,
            saved_generation: 0,
            changed_at: Instant::ZERO,
            published_state: progress.state,
            save_in_flight: false,
            refusals: Refusals::default(),
            has_planned_starts: false,
            record_version: 0,
            progress_version: 0,
        };
        for saved in progress.occurrences {
            job.restore(saved);
        }
        job.first_open = job.closed.remove_from(job.first_open);
        job.configure(declarations, arrived_at);
        job
    }

    /// Restores an occurrence. Those of which nothing has started are opened when there is room.
    fn restore(&mut self, saved: record::Occurrence) {
        if saved.is_untouched() {
            return;
        }
        let index = saved.index;
        let occurrence = Occurrence::restored(&self.record, saved);
        if occurrence.is_done() {
            self.closed.insert(index);
        } else {
            self.occurrences.insert(index, occurrence);
        }
    }

    /// Takes over what a version of the configuration declares for the job. Values that it leaves
    /// out stay, but steps need no permission of a placement policy then.
    pub(super) fn configure(&mut self, declarations: Declarations<'_>, now: Instant) {
        let mut declared = self.declared.clone();
        declared.update(&self.record.spec, declarations);
        if declared != self.declared {
            self.declared = declared;
            // The record or the progress holds the earlier values.
            self.mark_changed(now);
        }
        self.parameters = QueueParameters::new(&self.record, &self.declared);
        self.placement_policy =
            declarations.queue.and_then(|queue| queue.placement_policy);
        let queue = self.declared.queue.as_ref();
        let pool = queue.map_or(&self.record.pool, |queue| &queue.pool);
        self.pool.clone_from(pool);
        self.limit = self.declared.limit.unwrap_or_default();
    }

    /// Returns whether a task has failed as often as the job's queue allows.
    pub(super) fn is_exhausted(&self, task: &Task) -> bool {
        let failures = task.failed_runs.len();
        let allowed = self.declared.attempts();
        !task.done && allowed.is_some_and(|allowed| failures >= allowed)
    }

    /// Returns whether a task has failed while it isn't known how often it may. It doesn't start
    /// again until a version declares the job's queue.
    pub(super) fn awaits_declaration(&self, task: &Task) -> bool {
        !task.failed_runs.is_empty() && self.declared.attempts().is_none()
    }

    /// Returns whether a task has failed as often as the job's queue allows while that wasn't
    /// known, as the job's record is of an earlier version.
    pub(super) fn has_exhausted_task(&self) -> bool {
        if self.record.declared.queue.is_some() {
            return false;
        }
        let groups = self.occurrences.values().flat_map(|open| &open.groups);
        let mut tasks = groups.flat_map(|group| &group.tasks);
        tasks.any(|task| task.runs.is_empty() && self.is_exhausted(task))
    }

    /// Returns how many occurrences the job has in total.
    pub(super) fn occurrence_count(&self) -> u32 {
        self.record
            .spec
            .recurrence
            .map_or(1, |recurrence| recurrence.count)
    }

    /// Opens the occurrences that are due, as many as a record holds, and calculates their due times.
    pub(super) fn open_due(
        &mut self,
        now: Instant,
        wall: Timestamp,
        max_record_bytes: u64,
    ) {
        self.open_until(wall, max_record_bytes);
        let arrived_at = self.arrived_at;
        for (&index, occurrence) in &mut self.occurrences {
            let recurrence = self.record.spec.recurrence;
            let due_at = || {
                recurrence.map_or(arrived_at, |recurrence| {
                    now.saturating_sub(wall.saturating_since(recurrence.due(index)))
                })
            };
            occurrence.due_at.get_or_insert_with(due_at);
        }
    }

    fn open_until(&mut self, wall: Timestamp, max_record_bytes: u64) {
        let most = self.record.spec.max_open_occurrences(max_record_bytes);
        while self.occurrences.len() < most {
            let next = self.next_occurrence.max(self.first_open);
            let index = self.closed.first_absent_from(next);
            if index >= self.occurrence_count() {
                return;
            }
            let recurrence = self.record.spec.recurrence;
            if recurrence.is_some_and(|recurrence| recurrence.due(index) > wall) {
                return;
            }
            self.next_occurrence = index + 1;
            let record = &self.record;
            let open = self.occurrences.entry(index);
            open.or_insert_with(|| Occurrence::new(record));
        }
    }

    /// Closes an occurrence if it is done.
    pub(super) fn close_if_done(&mut self, index: u32) {
        if self
            .occurrences
            .get(&index)
            .is_some_and(Occurrence::is_done)
        {
            self.occurrences.remove(&index);
            self.closed.insert(index);
            self.first_open = self.closed.remove_from(self.first_open);
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.first_open >= self.occurrence_count()
    }

    /// Returns the run time of a task of a step that latest starts allow for, in
    /// milliseconds.
    pub(super) const fn expected_run_time_ms(&self, step: &Step) -> u64 {
        step.estimate_ms.saturating_mul(self.run_time_percent) / 100
    }

    pub(super) fn task(&self, task: TaskRef) -> Option<&Task> {
        let occurrence = self.occurrences.get(&task.occurrence)?;
        let group = occurrence.groups.get(task.step as usize)?;
        group.tasks.get(task.index as usize)
    }

    /// Returns the checkpoint that the next run of a task resumes from; empty if there is none.
    pub(super) fn checkpoint_of(&self, task: TaskRef) -> &str {
        let occurrence = self.occurrences.get(&task.occurrence);
        let group = occurrence.and_then(|open| open.groups.get(task.step as usize));
        let found = group.zip(self.task(task));
        found.map_or("", |(group, task)| group.checkpoint_of(task))
    }

    /// Records a checkpoint that a run of a task has reported.
    pub(super) fn record_checkpoint(
        &mut self,
        task: TaskRef,
        value: &str,
        number: u64,
        done: Work,
    ) {
        if value.is_empty() {
            return;
        }
        if let Some(group) = self.group_mut(task) {
            group.gang_checkpoint.offer(value, number, done);
            if let Some(task) = group.tasks.get_mut(task.index as usize) {
                value.clone_into(&mut task.checkpoint);
            }
        }
    }

    pub(super) fn group_mut(&mut self, task: TaskRef) -> Option<&mut TaskGroup> {
        let occurrence = self.occurrences.get_mut(&task.occurrence)?;
        occurrence.groups.get_mut(task.step as usize)
    }

    pub(super) fn task_mut(&mut self, task: TaskRef) -> Option<&mut Task> {
        self.group_mut(task)?.tasks.get_mut(task.index as usize)
    }

    /// Returns whether every step that `step` depends on is complete.
    pub(super) fn is_ready(&self, occurrence: u32, step: usize) -> bool {
        let Some(open) = self.occurrences.get(&occurrence) else {
            return false;
        };
        let after = &self.record.spec.steps[step].after;
        after.iter().all(|&earlier| {
            open.groups
                .get(earlier as usize)
                .is_some_and(TaskGroup::is_done)
        })
    }

    /// Records that a run of a task has started.
    pub(super) fn begin(&mut self, now: Instant) {
        if self.state == State::Queued {
            self.state = State::Running;
            self.began_at = Some(now);
        }
    }

    /// Returns whether the published state is to be changed, although the progress is saved.
    /// The first start alone isn't written at once, as other changes often follow.
    pub(super) fn is_publication_due(&self, now: Instant) -> bool {
        let since = self.began_at.unwrap_or(Instant::ZERO);
        self.published_state != self.state
            && now.saturating_since(since) >= PUBLICATION_DELAY
    }

    /// Records a change that must be written to the store.
    pub(super) const fn mark_changed(&mut self, now: Instant) {
        if self.generation == self.saved_generation {
            self.changed_at = now;
        }
        self.generation += 1;
    }

    /// Makes the progress be written once more, if no write of it is due anyway.
    pub(super) const fn require_save(&mut self, now: Instant) {
        if self.is_saved() {
            self.mark_changed(now);
        }
        self.has_planned_starts = true;
    }

    /// Returns whether the next write of progress is the first one, and not also the last.
    pub(super) const fn is_first_write(&self) -> bool {
        self.progress_version == 0 && !self.state.is_final()
    }

    pub(super) const fn is_saved(&self) -> bool {
        self.generation == self.saved_generation
    }

    /// Returns the progress that the store should hold. `member` returns the endpoint of
    /// a run if the run has this number.
    pub(super) fn snapshot(
        &self,
        member: impl Fn(RunKey, u64) -> Option<AssignedEndpoint>,
        orphans: Orphans,
    ) -> Progress {
        let mut members: Vec<AssignedEndpoint> = Vec::new();
        let mut endpoint_position = |task: &Task| {
            let run = task.runs.last().copied();
            let member = run.and_then(|run| member(run, task.last_run))?;
            let known = members.iter().position(|other| *other == member);
            let position = known.unwrap_or_else(|| {
                members.push(member);
                members.len() - 1
            });
            u32::try_from(position).ok()
        };
        let occurrences = if self.state == State::Completed {
            Vec::new()
        } else {
            let open = self.occurrences.iter().map(|(&index, occurrence)| {
                occurrence.snapshot(index, &mut endpoint_position)
            });
            open.filter(|saved| !saved.is_untouched()).collect()
        };
        let is_as_submitted = self.declared == self.record.declared;
        Progress {
            state: self.state,
            declared: (!is_as_submitted).then(|| self.declared.clone()),
            has_begun: self.state == State::Running,
            first_open: self.first_open,
            members,
            closed: self.closed.clone(),
            occurrences,
            orphans,
        }
    }
}

impl QueueParameters {
    fn new(record: &Record, declared: &Declared) -> Self {
        let chain_ms = record.spec.critical_path_ms();
        let queue = declared.queue.as_ref();
        let objective_ms = queue.map_or(chain_ms, |queue| queue.objective_ms);
        let slack_ms = objective_ms.saturating_sub(chain_ms);
        Self {
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            late_after: Duration::from_millis(objective_ms),
            max_run_time_percent: (slack_ms.saturating_mul(50) / chain_ms.max(1))
                .saturating_add(100),
        }
    }
}
