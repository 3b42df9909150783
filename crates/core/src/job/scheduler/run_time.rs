//! Learns by queue how long tasks run, relative to the estimates of their callers.
//!
//! An estimate may be off by a factor of two for all jobs of a kind. Only runs count whose
//! length says something about the task: those that succeeded, on an endpoint without
//! failures, near their data and at full speed. The mean corrects the demand that is
//! expected from arrivals, and a high quantile corrects the latest start of a job.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Scheduler, SchedulerEvent};
use crate::job::endpoint::Reachability;
use crate::job::{Feature, RunKey};
use crate::time::Instant;

/// Interval at which the weights of observations decay.
const DECAY_INTERVAL_MS: u64 = 250;

/// Factor by which weights decay in each interval, in units of 1 / 2^14. It gives a
/// half-life of 10 s.
const DECAY_FACTOR: u64 = 16_102;

/// Logarithm of the divisor for `DECAY_FACTOR`.
const DECAY_SHIFT: u32 = 14;

/// Number of intervals after which nothing is left of an observation.
const MAX_DECAY_INTERVALS: u64 = 800;

/// Weight of a new observation.
const UNIT_WEIGHT: u64 = 1 << 20;

/// Weight from which on the observations replace the caller's estimate. A single job may
/// have eight tasks.
const MIN_WEIGHT: u64 = 16 * UNIT_WEIGHT;

/// Width of a bucket of the histogram, in percent of the estimate.
const BUCKET_PERCENT: u64 = 5;

/// Number of buckets of the histogram. The last one also holds all longer runs.
const BUCKETS: usize = 80;

/// Quantile of the run times that latest starts allow for, in percent.
const HIGH_QUANTILE_PERCENT: u64 = 90;

/// Interval at which the learned run times are brought into use.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Change, in percent, from which on a learned run time is logged again.
const LOGGED_CHANGE_PERCENT: u64 = 10;

/// Run times of a queue's tasks, in percent of their estimates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Learned {
    mean: u64,
    high: u64,
}

impl Learned {
    /// The callers' estimates, unchanged.
    const ESTIMATED: Self = Self {
        mean: 100,
        high: 100,
    };

    fn differs_from(self, other: Self) -> bool {
        let differs = |one: u64, other: u64| {
            one.abs_diff(other) * 100 > other * LOGGED_CHANGE_PERCENT
        };
        differs(self.mean, other.mean) || differs(self.high, other.high)
    }
}

/// Weighted observations of one queue, whose weights decay.
#[derive(Clone, Debug)]
struct Observations {
    histogram: [u64; BUCKETS],
    weight: u64,
    /// Sum of the observed percentages, each multiplied by its weight.
    weighted_sum: u64,
    decayed_until: Instant,
    newest_at: Instant,
}

impl Observations {
    const fn new(now: Instant) -> Self {
        Self {
            histogram: [0; BUCKETS],
            weight: 0,
            weighted_sum: 0,
            decayed_until: now,
            newest_at: now,
        }
    }

    fn record(&mut self, now: Instant, percent: u64) {
        self.decay(now);
        let last = BUCKETS as u64 - 1;
        let longest = BUCKETS as u64 * BUCKET_PERCENT;
        let bucket = usize::try_from((percent / BUCKET_PERCENT).min(last));
        self.histogram[bucket.unwrap_or(0)] += UNIT_WEIGHT;
        self.weight += UNIT_WEIGHT;
        self.weighted_sum += percent.min(longest) * UNIT_WEIGHT;
        self.newest_at = now;
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_since(self.decayed_until).as_millis();
        let passed_ms = u64::try_from(passed).unwrap_or(u64::MAX);
        let intervals = passed_ms / DECAY_INTERVAL_MS;
        let decayed = Duration::from_millis(intervals * DECAY_INTERVAL_MS);
        self.decayed_until = self.decayed_until + decayed;
        for _ in 0..intervals.min(MAX_DECAY_INTERVALS) {
            self.weight = (self.weight * DECAY_FACTOR) >> DECAY_SHIFT;
            self.weighted_sum = (self.weighted_sum * DECAY_FACTOR) >> DECAY_SHIFT;
            for weight in &mut self.histogram {
                *weight = (*weight * DECAY_FACTOR) >> DECAY_SHIFT;
            }
        }
    }

    /// Returns what the observations show; `None` if they are too few.
    fn learned(&self) -> Option<Learned> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let mean = self.weighted_sum / self.weight;
        let high = self.high_quantile().max(mean);
        Some(Learned { mean, high })
    }

    /// Returns the upper bound of the bucket that holds the high quantile.
    fn high_quantile(&self) -> u64 {
        let total: u64 = self.histogram.iter().sum();
        let mut below = 0;
        for (bucket, &weight) in (1_u64..).zip(&self.histogram) {
            below += weight;
            if below * 100 >= total * HIGH_QUANTILE_PERCENT {
                return bucket * BUCKET_PERCENT;
            }
        }
        BUCKETS as u64 * BUCKET_PERCENT
    }
}

/// Run times that were observed, by queue.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    observations: BTreeMap<String, Observations>,
    /// Run times that are in use; a queue without an entry has too few observations.
    learned: BTreeMap<String, Learned>,
    logged: BTreeMap<String, Learned>,
    updated_at: Instant,
}

impl RunTimes {
    /// Returns the mean run time of a queue's tasks, in percent of their estimates, or
    /// `None` if too few runs have ended.
    pub(super) fn mean_percent(&self, queue: &str) -> Option<u64> {
        self.learned.get(queue).map(|learned| learned.mean)
    }

    fn update(&mut self, now: Instant) {
        self.updated_at = now;
        self.learned.clear();
        for (queue, observations) in &mut self.observations {
            observations.decay(now);
            if let Some(learned) = observations.learned() {
                self.learned.insert(queue.clone(), learned);
            }
        }
    }

    /// Returns an event for each queue whose run times have changed noticeably since they
    /// were last logged.
    fn changes(&mut self, now: Instant) -> Vec<SchedulerEvent> {
        let mut events = Vec::new();
        for (queue, observations) in &self.observations {
            let learned = self.learned.get(queue).copied();
            let learned = learned.unwrap_or(Learned::ESTIMATED);
            let logged = self.logged.get(queue).copied();
            if learned.differs_from(logged.unwrap_or(Learned::ESTIMATED)) {
                self.logged.insert(queue.clone(), learned);
                events.push(SchedulerEvent::RunTimesLearned {
                    queue: queue.clone(),
                    mean_percent: learned.mean,
                    high_percent: learned.high,
                    runs: observations.weight / UNIT_WEIGHT,
                    age: now.saturating_since(observations.newest_at),
                });
            }
        }
        events
    }
}

impl Scheduler {
    /// Records the run time of a run that succeeded.
    pub(super) fn observe_run_time(&mut self, now: Instant, key: RunKey) {
        if !self.has_feature(Feature::RunTimeEstimates) || !self.is_representative(key) {
            return;
        }
        let run = &self.runs[key];
        let Some(task) = run.task else {
            return;
        };
        let took_ms = now.saturating_since(run.sent_at).as_millis();
        let took_ms = u64::try_from(took_ms).unwrap_or(u64::MAX);
        let percent = took_ms.saturating_mul(100) / self.step(task).estimate_ms;
        let queue = self.jobs[task.job].record.queue.clone();
        self.run_times
            .observations
            .entry(queue)
            .or_insert_with(|| Observations::new(now))
            .record(now, percent);
    }

    /// Returns whether the length of a run tells how long others of its queue will take.
    fn is_representative(&self, key: RunKey) -> bool {
        let run = &self.runs[key];
        let endpoint = &self.endpoints[run.endpoint];
        run.task
            .is_some_and(|task| self.pace_class(run.endpoint, task) == 0)
            && self.has_comparable_run_time(key)
            && endpoint.reachability == Reachability::Reachable
            && endpoint.consecutive_failures == 0
    }

    /// Returns whether the length of a run depends only on its task and its endpoint.
    pub(super) fn has_comparable_run_time(&self, key: RunKey) -> bool {
        let run = &self.runs[key];
        let Some(task) = run.task else {
            return false;
        };
        let step = self.step(task);
        let endpoint = &self.endpoints[run.endpoint];
        let is_near_data = step.affinity.is_empty()
            || endpoint.registration.labels.contains(&step.affinity);
        // A gang may span racks, and a later run may resume from a checkpoint.
        let has_comparable_work = !step.gang && (!step.checkpoints || run.number == 1);
        step.estimate_ms > 0
            && !step.best_effort
            && has_comparable_work
            && is_near_data
            && run.started_by_this_leader
    }

    /// Brings the learned run times into use for waiting jobs and for the forecast.
    pub(super) fn update_run_times(&mut self, now: Instant) {
        if !self.has_feature(Feature::RunTimeEstimates) {
            return;
        }
        if now.saturating_since(self.run_times.updated_at) >= UPDATE_INTERVAL {
            self.run_times.update(now);
            let changes = self.run_times.changes(now);
            self.events.extend(changes);
            let learned = self.run_times.learned.iter();
            let means = learned.map(|(queue, learned)| (queue.clone(), learned.mean));
            self.arrivals.set_run_times(means.collect());
        }
        for job in self.jobs.values_mut() {
            let learned = self.run_times.learned.get(&job.record.queue);
            let high = learned.unwrap_or(&Learned::ESTIMATED).high;
            job.run_time_percent = high.min(job.parameters.max_run_time_percent);
        }
    }
}
