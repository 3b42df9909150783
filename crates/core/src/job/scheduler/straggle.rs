//! Stragglers: tasks on endpoints that turned slow or stand still.
//!
//! An endpoint may report good health and stall what it runs. A run that is overdue, and would
//! at its pace take longer than a new start elsewhere, is stopped, and its task starts again
//! on another endpoint. Where copies are allowed, the new run goes beside the slow one, and
//! the first to end counts. A task that is merely long goes on.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Scheduler;
use crate::job::endpoint::Contact;
use crate::job::run::Phase;
use crate::job::{RunKey, TaskRef};
use crate::time::Instant;

/// Part of the usual time after which a run is overdue, in percent.
const OVERDUE_PERCENT: u32 = 130;

/// Time on top, for short tasks, and for what a stop and a new start take.
const SLACK: Duration = Duration::from_millis(400);

/// Weight of the newest run in the usual ratio, as a divisor.
const RATIO_WEIGHT: u64 = 16;

/// Runs of a queue after which its usual run time is known; estimates alone may be far off.
const MIN_RUNS: u64 = 8;

/// How long runs take against their estimates, for each queue.
#[derive(Debug, Default)]
pub(super) struct Ratios {
    by_queue: BTreeMap<String, Ratio>,
}

#[derive(Clone, Copy, Debug)]
struct Ratio {
    percent: u64,
    runs: u64,
}

impl Ratios {
    /// Returns how long tasks of a queue usually take, against their estimate, in percent;
    /// nothing if too few have ended.
    fn usual(&self, queue: &str) -> Option<u64> {
        let known = self.by_queue.get(queue)?;
        (known.runs >= MIN_RUNS).then_some(known.percent.max(100))
    }

    fn learn(&mut self, queue: &str, percent: u64) {
        let first = Ratio { percent, runs: 0 };
        let known = self.by_queue.entry(queue.to_owned()).or_insert(first);
        known.percent = (known.percent * (RATIO_WEIGHT - 1) + percent) / RATIO_WEIGHT;
        known.runs += 1;
    }
}

impl Scheduler {
    /// Learns from a run that did its work.
    pub(super) fn learn_run_time(&mut self, now: Instant, key: RunKey) {
        let run = &self.runs[key];
        let Some(task) = run.task else {
            return;
        };
        let estimate_ms = self.step(task).estimate_ms;
        if estimate_ms == 0 || !run.is_own {
            return;
        }
        let took_ms = now.saturating_since(run.sent_at).as_millis();
        let percent = u64::try_from(took_ms).unwrap_or(u64::MAX) * 100 / estimate_ms;
        let queue = self.jobs[task.job].record.queue.clone();
        self.ratios.learn(&queue, percent);
    }

    /// Has stragglers stopped, each task once.
    pub(super) fn stop_stragglers(&mut self, now: Instant) {
        let late: Vec<(RunKey, TaskRef)> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.phase, Phase::Running(_)))
            .filter_map(|(key, run)| Some((key, run.task?)))
            .filter(|&(key, task)| self.is_straggler(now, key, task))
            .collect();
        for (key, task) in late {
            let endpoint = self.runs[key].endpoint;
            let copies = self.step(task).allow_duplicates;
            if let Some(place) = self.jobs[task.job].task_mut(task) {
                place.relocated = true;
                place.wants_copy = copies;
                place.avoid.push(endpoint);
            }
            self.endpoints[endpoint].note_failure(now);
            if !copies {
                self.stop(now, key, "far slower than such tasks elsewhere");
            }
        }
    }

    fn is_straggler(&self, now: Instant, key: RunKey, task: TaskRef) -> bool {
        let job = &self.jobs[task.job];
        let step = self.step(task);
        let movable =
            !step.long_running && !step.gang && !step.best_effort && step.estimate_ms > 0;
        let relocated = job.task(task).is_none_or(|place| place.relocated);
        if !movable || relocated || job.state.is_final() {
            return false;
        }
        let Some(usual_percent) = self.ratios.usual(&job.record.queue) else {
            return false;
        };
        let run = &self.runs[key];
        let endpoint = &self.endpoints[run.endpoint];
        let remote =
            !step.affinity.is_empty() && !endpoint.report.labels.contains(&step.affinity);
        let distance = if remote { 2 } else { 1 };
        let usual_ms = step.estimate_ms * usual_percent / 100;
        let usual = Duration::from_millis(usual_ms * distance);
        let overdue = usual * OVERDUE_PERCENT / 100 + SLACK;
        run.is_own
            && endpoint.contact == Contact::Live
            && now.saturating_since(run.sent_at) > overdue
            && run.remaining() > usual + SLACK
    }
}
