//! Ranking: the order in which the tasks of jobs start.
//!
//! When a pool can't serve all its jobs in time, an order by latest start alone makes
//! every job just miss its deadline: each one starts at the last moment, and what delays
//! it afterwards makes it late, so that its work is lost. Jobs that have begun therefore
//! go first, and a job that can't begin with some time to spare waits for those that can.

use std::time::Duration;

use super::Scheduler;
use crate::job::JobKey;
use crate::job::live::Job;
use crate::time::Instant;

/// Divisor that gives the time to spare with which a job must begin, from the duration of
/// its longest chain of steps.
const SPARE_TIME_DIVISOR: u32 = 5;

/// Rank of a job in the order of starts. The lowest rank comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    pub(super) class: Class,
    pub(super) priority: u32,
    headway: Headway,
    /// Latest time at which the remaining work must start to meet the deadline.
    pub(super) latest_start: Instant,
}

/// How far a job is from being late, in the order in which jobs of one class and priority
/// start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Headway {
    /// At least one task has started.
    Begun,
    /// No task has started, and the job has time to spare.
    SpareTime,
    /// No task has started, and the job must start soon.
    NoSpareTime,
}

/// Classes of jobs, in the order in which they start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    /// Has long-running tasks, which serve their users only while they run.
    LongRunning,
    /// Can still meet its deadline.
    InTime,
    /// Could still meet its deadline, but the pool can't serve it in time beside the jobs
    /// that it serves.
    Infeasible,
    /// Exceeded its workspace's submission rate.
    OverSubmissionRate,
    /// Can no longer meet its deadline.
    Late,
}

impl Rank {
    /// Orders a job that hasn't begun with those that have time to spare.
    pub(super) fn raise_headway(&mut self) {
        self.headway = self.headway.min(Headway::SpareTime);
    }
}

impl Scheduler {
    /// Returns the unfinished jobs in the order in which their tasks start.
    pub(super) fn ranked_jobs(&self, now: Instant) -> Vec<(Rank, JobKey)> {
        let mut jobs: Vec<(Rank, JobKey)> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.state.is_final())
            .map(|(key, job)| (self.feasible_rank(key, rank(job, now)), key))
            .collect();
        jobs.sort_unstable();
        jobs
    }
}

/// Returns whether a job can no longer meet its deadline.
pub(super) fn is_late(job: &Job, now: Instant) -> bool {
    rank(job, now).class == Class::Late
}

/// Returns the rank of a job.
pub(super) fn rank(job: &Job, now: Instant) -> Rank {
    let long_running = job.record.spec.steps.iter().any(|step| step.long_running);
    let remaining = remaining_critical_path(job);
    let due_at = job.occurrences.values().next().and_then(|open| open.due_at);
    let deadline = due_at.unwrap_or(job.arrived_at) + job.parameters.late_after;
    let latest_start = deadline.saturating_sub(remaining);
    let headway = if job.is_placed {
        Headway::Begun
    } else if latest_start < now + remaining / SPARE_TIME_DIVISOR {
        Headway::NoSpareTime
    } else {
        Headway::SpareTime
    };
    let class = if long_running {
        Class::LongRunning
    } else if latest_start < now {
        Class::Late
    } else if job.over_submission_rate {
        Class::OverSubmissionRate
    } else {
        Class::InTime
    };
    Rank {
        class,
        priority: job.parameters.priority,
        headway,
        latest_start,
    }
}

/// Returns the duration of the longest chain of unfinished steps.
fn remaining_critical_path(job: &Job) -> Duration {
    let Some(occurrence) = job.occurrences.values().next() else {
        return Duration::ZERO;
    };
    let mut ends: Vec<u64> = Vec::with_capacity(job.record.spec.steps.len());
    for (step, group) in job.record.spec.steps.iter().zip(&occurrence.groups) {
        let earlier = step
            .after
            .iter()
            .filter_map(|&step| ends.get(step as usize));
        let start = earlier.copied().max().unwrap_or(0);
        let duration_ms = if group.is_done() {
            0
        } else {
            job.expected_run_time_ms(step)
        };
        ends.push(start.saturating_add(duration_ms));
    }
    Duration::from_millis(ends.into_iter().max().unwrap_or(0))
}
