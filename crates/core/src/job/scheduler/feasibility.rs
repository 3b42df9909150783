//! The feasible set: the waiting jobs of each pool that can all end on time.
//!
//! A pool that is asked for more than it holds makes every job late if it serves them all.
//! The jobs are therefore gone through by their deadlines, with the work of each measured
//! as the time for which it would occupy the whole pool. Where the sum exceeds the time
//! left, the job with the most remaining work is dropped (Moore-Hodgson), so that the
//! most jobs end on time. Dropped jobs and late ones only use capacity that the jobs in
//! the set and those that are expected to arrive leave.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use super::hosts::HostState;
use super::largest::{LargestJobs, Sized};
use super::rank::{self, Class, Rank};
use super::{Scheduler, SchedulerEvent};
use crate::job::live::Job;
use crate::job::{Feature, JobKey, Resource, Step, TaskRef};
use crate::time::Instant;

/// Number of runs after which the run times of a queue are known.
const MIN_RUNS: u64 = 8;

/// Divisor that gives the weight of the newest run in the moving averages.
const RUN_WEIGHT: u64 = 16;

/// Largest run time that is learned from, in percent of its estimate. Longer runs are
/// stragglers.
const MAX_RUN_TIME_PERCENT: u64 = 400;

/// Mean deviations by which the longest task of a step exceeds the mean.
const STEP_DEVIATIONS: u64 = 2;

/// Divisor that gives the time to spare with which a job must begin, from the duration of
/// its longest chain of steps.
const MARGIN_DIVISOR: u32 = 8;

/// Time that passes between the end of a step's last task and the start of the next step's
/// last task in a full pool.
const STEP_DELAY: Duration = Duration::from_millis(200);

/// Share of a pool's capacity that placement fills, in percent.
const FILL_PERCENT: u64 = 95;

/// Share of a pool's capacity that is divided between expected jobs and those outside the
/// feasible set, in percent. The rest allows for uneven arrivals.
const LEFTOVER_PERCENT: u64 = 90;

/// Time for which the set is used if no job is added or removed. Rounds follow each reply of
/// an endpoint, and the set would double their cost.
const MAX_SET_AGE: Duration = Duration::from_millis(20);

/// The feasible set and what it is computed from.
#[derive(Debug, Default)]
pub(super) struct Feasibility {
    /// When the set was computed, and for how many jobs.
    updated: Option<(Instant, usize)>,
    /// Jobs outside the set.
    excluded: BTreeMap<JobKey, Exclusion>,
    /// Tasks of these jobs start first, since the set has room for them only then.
    tight: BTreeSet<JobKey>,
    /// Capacity that jobs outside the set may still occupy, by pool.
    leftover: BTreeMap<String, Resource>,
    /// Pools in which runs of jobs outside the set are executing.
    occupied: BTreeSet<String>,
    /// Time until a job that arrives now would start, by pool.
    waits: BTreeMap<String, Duration>,
    run_times: BTreeMap<String, RunTimes>,
    largest_jobs: LargestJobs,
}

/// Why a job is outside the feasible set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Exclusion {
    /// It hasn't begun, and the pool can't serve it in time.
    Waiting,
    /// It began with capacity that the feasible set left, and goes on with it.
    Leftover,
    /// It began in the set and is expected to end late.
    Overdue,
}

impl Exclusion {
    /// Returns the text used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "the pool can't serve it in time",
            Self::Leftover => "it began outside the feasible set",
            Self::Overdue => "it began and is expected to end late",
        }
    }
}

/// Run times of a queue's tasks, in percent of their estimates.
#[derive(Clone, Copy, Debug)]
struct RunTimes {
    mean: u64,
    deviation: u64,
    runs: u64,
}

impl Feasibility {
    /// Learns from a run that succeeded.
    pub(super) fn learn_run_time(&mut self, queue: &str, percent: u64) {
        let percent = percent.min(MAX_RUN_TIME_PERCENT);
        let first = RunTimes {
            mean: percent,
            deviation: 0,
            runs: 0,
        };
        let known = self.run_times.entry(queue.to_owned()).or_insert(first);
        let deviation = known.mean.abs_diff(percent);
        known.deviation = (known.deviation * (RUN_WEIGHT - 1) + deviation) / RUN_WEIGHT;
        known.mean = (known.mean * (RUN_WEIGHT - 1) + percent) / RUN_WEIGHT;
        known.runs += 1;
    }

    /// Returns the mean factor of all queues, and at least 100.
    fn mean_percent(&self) -> u64 {
        let sum: u64 = self.run_times.values().map(|known| known.mean).sum();
        let count = self.run_times.len() as u64;
        sum.checked_div(count).unwrap_or(0).max(100)
    }

    /// Returns the time until a job that arrives now would start, by pool.
    pub(super) fn waits(&self) -> impl Iterator<Item = (&str, Duration)> {
        let waits = self.waits.iter();
        waits.map(|(pool, wait)| (pool.as_str(), *wait))
    }

    /// Returns the mean run time of a step's tasks in milliseconds.
    pub(super) fn mean_run_ms(&self, queue: &str, step: &Step) -> u64 {
        step.estimate_ms.saturating_mul(self.factors(queue).mean) / 100
    }

    /// Returns the factors of a queue.
    fn factors(&self, queue: &str) -> Factors {
        let known = self.run_times.get(queue);
        known
            .filter(|known| known.runs >= MIN_RUNS)
            .map_or(Factors::ESTIMATE, |known| Factors {
                mean: known.mean,
                step: known.mean + STEP_DEVIATIONS * known.deviation,
            })
    }
}

/// Factors by which run times differ from their estimates, in percent.
#[derive(Clone, Copy, Debug)]
struct Factors {
    /// Mean of all tasks.
    mean: u64,
    /// The longest task of a step.
    step: u64,
}

impl Factors {
    /// The factors of a queue whose run times aren't known.
    const ESTIMATE: Self = Self {
        mean: 100,
        step: 100,
    };
}

/// What is left of a job.
#[derive(Clone, Copy, Debug)]
struct Remaining {
    /// Duration of the longest chain of steps, by the longest task of each.
    path: Duration,
    /// Number of steps that have tasks without a run.
    steps: u32,
    /// Resources times the milliseconds for which they are busy.
    work: Resource,
}

/// A job that may end on time.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    deadline: Instant,
    key: JobKey,
    /// Time for which the job's remaining work occupies the whole pool.
    occupancy: Duration,
    /// Longest time that may pass before the next task starts.
    spare: Duration,
    /// Whether the job has less time to spare than a full pool may take from it.
    tight: bool,
    /// Whether the job may be dropped.
    droppable: bool,
}

impl Scheduler {
    /// Decides which jobs of each pool can end on time.
    pub(super) fn update_feasible_set(&mut self, now: Instant) {
        if !self.has_feature(Feature::FeasibleSet) || self.is_feasible_set_fresh(now) {
            return;
        }
        self.feasibility.updated = Some((now, self.jobs.len()));
        let timely = self.timely_jobs(now);
        self.count_largest_jobs(&timely);
        let capacities = self.pool_capacities(now);
        let mut candidates: BTreeMap<String, Vec<Candidate>> = BTreeMap::new();
        let mut excluded = BTreeMap::new();
        let mut tight = BTreeSet::new();
        // A pool without capacity gets hosts before it can be judged.
        let pools = capacities.keys().cloned();
        let mut waits: BTreeMap<_, _> =
            pools.map(|pool| (pool, Duration::ZERO)).collect();
        for &key in &timely {
            let job = &self.jobs[key];
            let pool = job.pool.as_str();
            let capacity = capacities.get(pool).copied().unwrap_or_default();
            match self.candidate(now, key, job, &capacity) {
                Ok(candidate) => {
                    candidates
                        .entry(pool.to_owned())
                        .or_default()
                        .push(candidate);
                }
                Err(exclusion) => {
                    excluded.insert(key, exclusion);
                }
            }
        }
        let expected = self.expected_capacities(now, &capacities);
        for (pool, list) in &mut candidates {
            list.sort_unstable_by_key(|candidate| (candidate.deadline, candidate.key));
            self.protect_largest(list);
            let capacity = capacities.get(pool).copied().unwrap_or_default();
            let expected = expected.get(pool).copied().unwrap_or_default();
            let is_scarce = !expected.is_at_most(&capacity);
            let dropped = dropped(now, list, is_scarce);
            let waiting = list.iter().filter(|candidate| {
                candidate.droppable && !dropped.contains(&candidate.key)
            });
            let wait = waiting.map(|candidate| candidate.occupancy).sum();
            if let Some(known) = waits.get_mut(pool) {
                *known = wait;
            }
            excluded.extend(dropped.into_iter().map(|key| (key, Exclusion::Waiting)));
            let kept = list.iter().filter(|candidate| candidate.tight);
            tight.extend(kept.map(|candidate| candidate.key));
        }
        self.note_exclusions(now, &excluded, &capacities);
        self.feasibility.excluded = excluded;
        self.feasibility.tight = tight;
        self.feasibility.waits = waits;
        let used = self.used_outside(&timely);
        self.feasibility.occupied = used.keys().cloned().collect();
        self.feasibility.leftover = leftovers(capacities, &expected, &used);
    }

    /// Returns whether the set was computed a moment ago for the same number of jobs.
    fn is_feasible_set_fresh(&self, now: Instant) -> bool {
        self.feasibility.updated.is_some_and(|(at, jobs)| {
            jobs == self.jobs.len() && now.saturating_since(at) < MAX_SET_AGE
        })
    }

    /// Notes the jobs that leave the feasible set.
    fn note_exclusions(
        &mut self,
        now: Instant,
        excluded: &BTreeMap<JobKey, Exclusion>,
        capacities: &BTreeMap<String, Resource>,
    ) {
        for (&key, exclusion) in excluded {
            if self.feasibility.excluded.contains_key(&key) {
                continue;
            }
            let job = &self.jobs[key];
            let pool = job.pool.clone();
            let capacity = capacities.get(&pool).copied().unwrap_or_default();
            let remaining = self.remaining(now, job);
            self.events.push(SchedulerEvent::Excluded {
                job: job.id.clone(),
                path: remaining.path,
                left: deadline(job).saturating_since(now),
                occupancy: occupancy(&remaining.work, &capacity),
                capacity,
                pool,
                reason: exclusion.as_str(),
            });
        }
    }

    /// Returns the rank of a job with its class by the feasible set.
    pub(super) fn feasible_rank(&self, key: JobKey, mut rank: Rank) -> Rank {
        if self.feasibility.excluded.contains_key(&key) {
            rank.class = Class::Infeasible;
        } else if self.feasibility.tight.contains(&key) {
            rank.raise_headway();
        }
        rank
    }

    /// Limits the tasks of a job outside the feasible set to the capacity that is left for
    /// such jobs. If none of them occupies the pool, a whole step may start, so that each of
    /// them gets its turn however much is expected.
    pub(super) fn limit_leftover_tasks(
        &self,
        rank: Rank,
        pool: &str,
        waiting: &mut Vec<TaskRef>,
    ) {
        let Some(&first) = waiting.first() else {
            return;
        };
        if !self.is_limited(rank) || !self.feasibility.occupied.contains(pool) {
            return;
        }
        let reserved = self.step(first).reserved();
        let leftover = self.feasibility.leftover.get(pool);
        let mut leftover = leftover.copied().unwrap_or_default();
        let fitting = waiting.iter().take_while(|_| {
            let fits = reserved.is_at_most(&leftover);
            leftover.subtract(&reserved);
            fits
        });
        let count = fitting.count();
        waiting.truncate(count);
    }

    /// Records that tasks of a job outside the feasible set were placed.
    pub(super) fn record_leftover(
        &mut self,
        rank: Rank,
        pool: &str,
        reserved: &Resource,
        placed: usize,
    ) {
        if placed == 0 || !self.is_limited(rank) {
            return;
        }
        self.feasibility.occupied.insert(pool.to_owned());
        if let Some(leftover) = self.feasibility.leftover.get_mut(pool) {
            leftover.subtract(&reserved.times(placed as u64));
        }
    }

    /// Returns whether a job only gets the capacity that the feasible set leaves.
    fn is_limited(&self, rank: Rank) -> bool {
        let is_outside = matches!(
            rank.class,
            Class::Infeasible | Class::OverSubmissionRate | Class::Late
        );
        is_outside && self.has_feature(Feature::FeasibleSet)
    }

    /// Returns the capacity of each pool that serves jobs or is about to.
    fn pool_capacities(&self, now: Instant) -> BTreeMap<String, Resource> {
        let mut capacities: BTreeMap<String, Resource> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            if endpoint.accepts_work(now) {
                let pool = endpoint.registration.pool.clone();
                let capacity = capacities.entry(pool).or_default();
                capacity.add(&endpoint.registration.capacity);
            }
        }
        for host in self.hosts.list.values() {
            let order = self.hosts.move_orders.get(&host.name);
            if order.is_some() || host.state == HostState::Moving {
                let pool = order.map_or(&host.pool, |order| &order.pool);
                capacities
                    .entry(pool.clone())
                    .or_default()
                    .add(&host.capacity);
            }
        }
        capacities
    }

    /// Returns a job as a candidate for the feasible set, or why it is none.
    fn candidate(
        &self,
        now: Instant,
        key: JobKey,
        job: &Job,
        capacity: &Resource,
    ) -> Result<Candidate, Exclusion> {
        let begun = job.is_placed;
        let exclusion = self.feasibility.excluded.get(&key);
        if begun && exclusion.is_some_and(|known| *known != Exclusion::Overdue) {
            return Err(Exclusion::Leftover);
        }
        let remaining = self.remaining(now, job);
        let deadline = deadline(job);
        let left = deadline.saturating_since(now);
        let (margin, exclusion) = if begun {
            (Duration::ZERO, Exclusion::Overdue)
        } else {
            let margin = remaining.path / MARGIN_DIVISOR + STEP_DELAY * remaining.steps;
            (margin, Exclusion::Waiting)
        };
        let spare = left.checked_sub(remaining.path).ok_or(exclusion)?;
        Ok(Candidate {
            deadline,
            key,
            occupancy: occupancy(&remaining.work, capacity),
            spare,
            tight: spare < margin,
            droppable: !begun,
        })
    }

    /// Returns the jobs that can be on time by the estimates of their callers.
    fn timely_jobs(&self, now: Instant) -> BTreeSet<JobKey> {
        let jobs = self.jobs.iter();
        let timely = jobs.filter(|(_, job)| {
            !job.state.is_final() && rank::rank(job, now).class == Class::InTime
        });
        timely.map(|(key, _)| key).collect()
    }

    fn count_largest_jobs(&mut self, timely: &BTreeSet<JobKey>) {
        let sized = timely.iter().map(|&key| {
            let job = &self.jobs[key];
            let sized = Sized {
                key,
                work: estimated_work(job),
                begun: job.is_placed,
            };
            (job.record.queue.as_str(), sized)
        });
        self.feasibility.largest_jobs.update(sized);
    }

    /// Exempts the first jobs of the largest tenth of each queue from being dropped, as far
    /// as their share requires. `candidates` is ordered by deadline. Jobs without time to
    /// spare don't count, since they are dropped for another reason.
    fn protect_largest(&self, candidates: &mut [Candidate]) {
        let largest_jobs = &self.feasibility.largest_jobs;
        let mut missing = largest_jobs.missing();
        for candidate in candidates
            .iter_mut()
            .filter(|candidate| candidate.droppable && !candidate.tight)
        {
            let job = &self.jobs[candidate.key];
            let queue = job.record.queue.as_str();
            if let Some(missing) = missing.get_mut(queue).filter(|missing| **missing > 0)
                && largest_jobs.is_largest(queue, estimated_work(job))
            {
                *missing -= 1;
                candidate.droppable = false;
            }
        }
    }

    /// Returns what is left of a job, by the run times of its queue.
    fn remaining(&self, now: Instant, job: &Job) -> Remaining {
        let factors = self.feasibility.factors(&job.record.queue);
        let mut remaining = Remaining {
            path: Duration::ZERO,
            steps: 0,
            work: Resource::default(),
        };
        let Some(occurrence) = job.occurrences.values().next() else {
            return remaining;
        };
        let mut ends: Vec<u64> = Vec::with_capacity(job.record.spec.steps.len());
        for (step, group) in job.record.spec.steps.iter().zip(&occurrence.groups) {
            let mean_ms = step.estimate_ms.saturating_mul(factors.mean) / 100;
            let longest_ms = step.estimate_ms.saturating_mul(factors.step) / 100;
            let (mut duration_ms, mut busy_ms, mut has_waiting) = (0, 0, false);
            for task in group.tasks.iter().filter(|task| !task.done) {
                let sent_at = task.runs.iter().map(|&run| self.runs[run].sent_at).min();
                let elapsed =
                    sent_at.map_or(Duration::ZERO, |at| now.saturating_since(at));
                let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
                has_waiting |= task.runs.is_empty();
                duration_ms = duration_ms.max(longest_ms.saturating_sub(elapsed_ms));
                busy_ms += mean_ms.saturating_sub(elapsed_ms);
            }
            let earlier = step
                .after
                .iter()
                .filter_map(|&step| ends.get(step as usize));
            let start = earlier.copied().max().unwrap_or(0);
            ends.push(start + duration_ms);
            remaining.steps += u32::from(has_waiting);
            remaining.work.add(&step.reserved().times(busy_ms));
        }
        remaining.path = Duration::from_millis(ends.into_iter().max().unwrap_or(0));
        remaining
    }

    /// Returns the capacity that jobs which arrive at the present rate keep busy, by pool.
    fn expected_capacities(
        &mut self,
        now: Instant,
        capacities: &BTreeMap<String, Resource>,
    ) -> BTreeMap<String, Resource> {
        // Arrivals are counted with the learned run times if those are switched on.
        let percent = if self.has_feature(Feature::RunTimeEstimates) {
            100
        } else {
            self.feasibility.mean_percent()
        };
        let mut expected = BTreeMap::new();
        for pool in capacities.keys() {
            let estimated = self.arrivals.expected(now, pool);
            expected.insert(pool.clone(), estimated.percent(percent));
        }
        expected
    }

    /// Returns the capacity that the runs of jobs outside the feasible set reserve, by
    /// pool.
    fn used_outside(&self, timely: &BTreeSet<JobKey>) -> BTreeMap<String, Resource> {
        let mut used: BTreeMap<String, Resource> = BTreeMap::new();
        for (key, job) in &self.jobs {
            let is_served =
                timely.contains(&key) && !self.feasibility.excluded.contains_key(&key);
            let amount = self.used_by(job);
            if !is_served && amount != Resource::default() {
                let pool = job.pool.clone();
                used.entry(pool).or_default().add(&amount);
            }
        }
        used
    }

    /// Returns the resources that the runs of a job reserve.
    fn used_by(&self, job: &Job) -> Resource {
        let mut used = Resource::default();
        let groups = job.occurrences.values().flat_map(|open| &open.groups);
        for task in groups.flat_map(|group| &group.tasks) {
            for &run in &task.runs {
                used.add(&self.runs[run].reserved);
            }
        }
        used
    }
}

/// Returns the capacity that jobs outside the feasible set may still occupy, by pool.
fn leftovers(
    capacities: BTreeMap<String, Resource>,
    expected: &BTreeMap<String, Resource>,
    used: &BTreeMap<String, Resource>,
) -> BTreeMap<String, Resource> {
    let mut leftovers = capacities;
    for (pool, leftover) in &mut leftovers {
        *leftover = leftover.percent(LEFTOVER_PERCENT);
        leftover.subtract(&expected.get(pool).copied().unwrap_or_default());
        leftover.subtract(&used.get(pool).copied().unwrap_or_default());
    }
    leftovers
}

/// Returns the jobs that have to be dropped so that the others, ordered by deadline, can
/// end on time.
fn dropped(now: Instant, candidates: &[Candidate], is_scarce: bool) -> BTreeSet<JobKey> {
    let mut dropped = BTreeSet::new();
    let mut taken: BinaryHeap<(Duration, JobKey)> = BinaryHeap::new();
    let mut total = Duration::ZERO;
    for candidate in candidates.iter().filter(|candidate| !candidate.tight) {
        total += candidate.occupancy;
        if candidate.droppable {
            taken.push((candidate.occupancy, candidate.key));
        }
        let available = candidate.deadline.saturating_since(now);
        while total > available
            && let Some((occupancy, key)) = taken.pop()
        {
            total -= occupancy;
            dropped.insert(key);
        }
    }
    let waiting: Duration = taken.iter().map(|(occupancy, _)| *occupancy).sum();
    let has_room = dropped.is_empty() && !is_scarce;
    let tight = candidates.iter().filter(|candidate| candidate.tight);
    let late = tight.filter(|candidate| !has_room || candidate.spare < waiting);
    dropped.extend(late.map(|candidate| candidate.key));
    dropped
}

/// Returns when the first open occurrence of a job becomes late.
fn deadline(job: &Job) -> Instant {
    let due_at = job.occurrences.values().next().and_then(|open| open.due_at);
    due_at.unwrap_or(job.arrived_at) + job.parameters.late_after
}

/// Returns the work of a whole job by its estimates, in thousandths of a core times
/// milliseconds.
fn estimated_work(job: &Job) -> u64 {
    let steps = job.record.spec.steps.iter();
    let work = steps.map(|step| {
        let tasks = step.demand.times(u64::from(step.count));
        tasks.cpu.saturating_mul(step.estimate_ms)
    });
    work.fold(0, u64::saturating_add)
}

impl Resource {
    /// Returns a share of an amount, in percent.
    const fn percent(&self, percent: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(percent) / 100,
            memory_mb: self.memory_mb.saturating_mul(percent) / 100,
            gpu: self.gpu.saturating_mul(percent) / 100,
        }
    }
}

/// Returns the time for which work occupies the whole capacity of a pool, in the dimension
/// that is scarcest.
fn occupancy(work: &Resource, capacity: &Resource) -> Duration {
    let in_dimension = |work: u64, capacity: u64| {
        if work == 0 {
            return 0;
        }
        let filled = (capacity * FILL_PERCENT / 100).max(1);
        work.saturating_mul(1_000) / filled
    };
    let micros = in_dimension(work.cpu, capacity.cpu)
        .max(in_dimension(work.memory_mb, capacity.memory_mb))
        .max(in_dimension(work.gpu, capacity.gpu));
    Duration::from_micros(micros)
}
