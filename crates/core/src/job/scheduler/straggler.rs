//! Detects stragglers: runs on endpoints that have become slow or have stalled.
//!
//! An endpoint may report that it is healthy while its runs make no progress. A run that
//! is overdue, and whose remaining time at its current pace exceeds that of a new start
//! elsewhere, is stopped, and its task starts again on another endpoint. If the step
//! allows duplicates, the new run starts beside the slow one and the first to finish
//! counts. A task that merely takes long is left alone.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Scheduler;
use crate::job::endpoint::Reachability;
use crate::job::run::Phase;
use crate::job::{RunKey, TaskRef};
use crate::time::Instant;

/// Percentage of the usual run time after which a run is overdue.
const OVERDUE_PERCENT: u32 = 130;

/// Additional time, which allows for short tasks and for a stop and a new start.
const OVERDUE_SLACK: Duration = Duration::from_millis(400);

/// Divisor that gives the weight of the newest run in the moving average.
const RATIO_WEIGHT: u64 = 16;

/// Number of runs after which the usual run time of a queue is known. Estimates alone may
/// be far off.
const MIN_RUNS: u64 = 8;

/// Ratio of run times to their estimates, by queue.
#[derive(Debug, Default)]
pub(super) struct RunTimeRatios {
    by_queue: BTreeMap<String, Ratio>,
}

/// Moving average of run times relative to their estimates.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    percent: u64,
    runs: u64,
}

impl RunTimeRatios {
    /// Returns the usual run time of the queue's tasks, in percent of their estimates, or
    /// `None` if too few runs have ended.
    fn usual(&self, queue: &str) -> Option<u64> {
        let known = self.by_queue.get(queue)?;
        (known.runs >= MIN_RUNS).then_some(known.percent.max(100))
    }

    fn record(&mut self, queue: &str, percent: u64) {
        let first = Ratio { percent, runs: 0 };
        let known = self.by_queue.entry(queue.to_owned()).or_insert(first);
        known.percent = (known.percent * (RATIO_WEIGHT - 1) + percent) / RATIO_WEIGHT;
        known.runs += 1;
    }
}

impl Scheduler {
    /// Updates the ratio of the queue from a run that succeeded.
    pub(super) fn learn_run_time(&mut self, now: Instant, key: RunKey) {
        let run = &self.runs[key];
        let Some(task) = run.task else {
            return;
        };
        let estimate_ms = self.step(task).estimate_ms;
        if estimate_ms == 0 || !run.started_by_this_leader {
            return;
        }
        let took_ms = now.saturating_since(run.sent_at).as_millis();
        let percent = u64::try_from(took_ms)
            .unwrap_or(u64::MAX)
            .saturating_mul(100)
            / estimate_ms;
        let queue = self.jobs[task.job].record.queue.clone();
        self.run_time_ratios.record(&queue, percent);
        self.feasibility.learn_run_time(&queue, percent);
    }

    /// Returns the usual run time of a queue's tasks, in percent of their estimates, or
    /// `None` if too few runs have ended.
    fn usual_run_time_percent(&self, queue: &str) -> Option<u64> {
        let learned = self.run_times.mean_percent(queue);
        learned
            .map(|percent| percent.max(100))
            .or_else(|| self.run_time_ratios.usual(queue))
    }

    /// Stops stragglers or marks them for a duplicate run, at most once per task.
    pub(super) fn stop_stragglers(&mut self, now: Instant) {
        let stragglers: Vec<(RunKey, TaskRef)> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.phase, Phase::Running(_)))
            .filter_map(|(key, run)| Some((key, run.task?)))
            .filter(|&(key, task)| self.is_straggler(now, key, task))
            .collect();
        for (key, task) in stragglers {
            let endpoint = self.runs[key].endpoint;
            let allows_duplicates = self.step(task).allow_duplicates;
            if let Some(task_state) = self.jobs[task.job].task_mut(task) {
                task_state.straggler_handled = true;
                task_state.wants_duplicate = allows_duplicates;
                task_state.avoid.push(endpoint);
            }
            self.endpoints[endpoint].record_failure(now);
            self.observe_straggler(now, key);
            if !allows_duplicates {
                self.stop(now, key, "much slower than similar tasks elsewhere");
            }
        }
    }

    fn is_straggler(&self, now: Instant, key: RunKey, task: TaskRef) -> bool {
        let job = &self.jobs[task.job];
        let step = self.step(task);
        let movable =
            !step.long_running && !step.gang && !step.best_effort && step.estimate_ms > 0;
        let straggler_handled = job
            .task(task)
            .is_none_or(|task_state| task_state.straggler_handled);
        if !movable || straggler_handled || job.state.is_final() {
            return false;
        }
        let Some(usual_percent) = self.usual_run_time_percent(&job.record.queue) else {
            return false;
        };
        let run = &self.runs[key];
        let endpoint = &self.endpoints[run.endpoint];
        let remote = !step.affinity.is_empty()
            && !endpoint.registration.labels.contains(&step.affinity);
        let remote_factor = if remote { 2 } else { 1 };
        let usual_ms = step.estimate_ms.saturating_mul(usual_percent) / 100;
        let usual = Duration::from_millis(usual_ms.saturating_mul(remote_factor));
        let overdue = usual * OVERDUE_PERCENT / 100 + OVERDUE_SLACK;
        run.started_by_this_leader
            && endpoint.reachability == Reachability::Reachable
            && now.saturating_since(run.sent_at) > overdue
            && run.remaining() > usual + OVERDUE_SLACK
    }
}
