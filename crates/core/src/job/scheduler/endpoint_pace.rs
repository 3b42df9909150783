//! Learns how fast endpoints are, and limits those that are far slower than others.
//!
//! The run times on an endpoint are compared with those of the same queue on all
//! endpoints. Placement prefers endpoints that aren't noticeably slow. One that takes more
//! than three times as long, or on which most runs fail, is ejected in steps down to one
//! probe task at a time, and returns in steps.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SecondaryMap;

use super::{Scheduler, SchedulerEvent};
use crate::job::{EndpointKey, Feature, RunKey, TaskRef};
use crate::time::Instant;

/// Divisor that gives the weight of the newest run in the mean of a queue.
const QUEUE_WEIGHT: u64 = 64;

/// Divisor that gives the weight of the newest run in the means of an endpoint.
const ENDPOINT_WEIGHT: u64 = 8;

/// Number of runs from which a mean is used.
const MIN_RUNS: u64 = 8;

/// Number of runs between two steps of an ejection or a return.
const RUNS_PER_STEP: u64 = 4;

/// Difference in run time that counts as equal, in percent. With a smaller one tasks would
/// spread over endpoints whose run times differ by chance.
const EQUAL_PERCENT: u64 = 15;

/// Run time in percent of the queue's mean above which an endpoint is ejected.
const EJECT_ABOVE_PERCENT: u64 = 300;

/// Run time in percent of the queue's mean that counts for a run without progress.
const STALLED_PERCENT: u64 = 1_000;

/// Run time in percent of the queue's mean below which an ejected endpoint returns.
const RETURN_BELOW_PERCENT: u64 = 150;

/// Share of failed runs above which an endpoint is ejected, in percent.
const MAX_FAILURE_PERCENT: u64 = 50;

/// Divisor that gives the largest number of ejected endpoints in a pool.
const EJECTED_DIVISOR: usize = 3;

/// Time after which half of the difference from other endpoints is forgotten, so that an
/// endpoint without work is tried again.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// How many runs an endpoint may have at once.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunLimit {
    /// One probe task.
    Probe,
    /// A few tasks.
    Few,
    /// As many as fit.
    #[default]
    Unlimited,
}

impl RunLimit {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Few => "few",
            Self::Unlimited => "unlimited",
        }
    }

    const fn allows(self, runs: usize) -> bool {
        match self {
            Self::Probe => runs < 1,
            Self::Few => runs < 4,
            Self::Unlimited => true,
        }
    }

    const fn lower(self) -> Self {
        match self {
            Self::Probe | Self::Few => Self::Probe,
            Self::Unlimited => Self::Few,
        }
    }

    const fn higher(self) -> Self {
        match self {
            Self::Probe => Self::Few,
            Self::Few | Self::Unlimited => Self::Unlimited,
        }
    }
}

/// Moving average, whose first value counts in full.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    /// Mean in thousandths of a percent.
    value: u64,
    count: u64,
}

impl Mean {
    fn record(&mut self, percent: u64, weight: u64) {
        self.count += 1;
        let divisor = self.count.min(weight);
        let percent = percent.saturating_mul(1_000);
        self.value = (self.value * (divisor - 1) + percent) / divisor;
    }

    const fn percent(self) -> u64 {
        self.value / 1_000
    }
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointPace {
    /// Run times in percent of the mean of their queues.
    run_time: Mean,
    /// Share of failed runs, in percent.
    failures: Mean,
    newest_at: Instant,
    limit: RunLimit,
    runs_since_step: u64,
    /// Number of steps of `EQUAL_PERCENT` by which the endpoint is slower than others.
    class: u64,
}

impl EndpointPace {
    fn is_outlier(&self) -> bool {
        let is_slow = self.run_time.count >= MIN_RUNS
            && self.run_time.percent() > EJECT_ABOVE_PERCENT;
        let fails = self.failures.count >= MIN_RUNS
            && self.failures.percent() > MAX_FAILURE_PERCENT;
        is_slow || fails
    }

    const fn is_sound(&self) -> bool {
        self.run_time.percent() < RETURN_BELOW_PERCENT
            && self.failures.percent() < MAX_FAILURE_PERCENT
    }

    /// Returns the class, in which older differences from other endpoints count less.
    fn class_at(&self, now: Instant) -> u64 {
        if self.run_time.count < MIN_RUNS {
            return 0;
        }
        let age = now.saturating_since(self.newest_at).as_millis();
        let half_lives = age / HALF_LIFE.as_millis();
        let excess = self.run_time.percent().saturating_sub(100);
        let shift = u32::try_from(half_lives).unwrap_or(u32::MAX);
        excess.checked_shr(shift).unwrap_or(0) / EQUAL_PERCENT
    }
}

/// What is known of all endpoints, and the mean run times by queue.
#[derive(Debug, Default)]
pub(super) struct EndpointPaces {
    queues: BTreeMap<String, Mean>,
    endpoints: SecondaryMap<EndpointKey, EndpointPace>,
}

impl Scheduler {
    /// Returns the pace class of an endpoint for a task: 0 if the task is expected to end
    /// there about as soon as elsewhere, and more the later it is expected to end.
    pub(super) fn pace_class(&self, key: EndpointKey, task: TaskRef) -> u64 {
        if self.step(task).long_running {
            return 0;
        }
        let pace = self.endpoint_paces.endpoints.get(key);
        pace.map_or(0, |pace| pace.class)
    }

    /// Returns whether an endpoint may have another run in view of its pace. Long-running
    /// runs don't count, since they would keep an ejected endpoint from being probed.
    pub(super) fn is_within_run_limit(&self, key: EndpointKey) -> bool {
        let Some(pace) = self.endpoint_paces.endpoints.get(key) else {
            return true;
        };
        let runs = self.endpoints[key].runs.len();
        pace.limit
            .allows(runs.saturating_sub(self.count_long_running(key)))
    }

    /// Records the run time of a run that succeeded.
    pub(super) fn observe_pace(&mut self, now: Instant, key: RunKey) {
        if !self.has_feature(Feature::EndpointPace) {
            return;
        }
        let run = &self.runs[key];
        let Some(task) = run.task.filter(|_| self.has_comparable_run_time(key)) else {
            return;
        };
        let endpoint = run.endpoint;
        let took = now.saturating_since(run.sent_at).as_millis();
        let took_ms = u64::try_from(took).unwrap_or(u64::MAX);
        let percent = took_ms.saturating_mul(100) / self.step(task).estimate_ms;
        let queue = self.jobs[task.job].record.queue.clone();
        let mean = self.endpoint_paces.queues.entry(queue).or_default();
        let usual = mean.percent().max(1);
        let is_known = mean.count >= MIN_RUNS;
        mean.record(percent, QUEUE_WEIGHT);
        if is_known {
            let relative = percent.saturating_mul(100) / usual;
            self.record_pace(now, endpoint, Some(relative), false);
        }
    }

    /// Records a run that failed on an endpoint, or that the endpoint rejected.
    pub(super) fn observe_failure(&mut self, now: Instant, key: EndpointKey) {
        if self.has_feature(Feature::EndpointPace) && self.endpoints.contains_key(key) {
            self.record_pace(now, key, None, true);
        }
    }

    /// Records a run that takes far longer than others, by its expected length.
    pub(super) fn observe_straggler(&mut self, now: Instant, key: RunKey) {
        let run = &self.runs[key];
        let Some(task) = run.task else {
            return;
        };
        let endpoint = run.endpoint;
        let length = now.saturating_since(run.sent_at) + run.remaining();
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        let percent = length_ms.saturating_mul(100) / self.step(task).estimate_ms.max(1);
        let queue = &self.jobs[task.job].record.queue;
        let mean = self.endpoint_paces.queues.get(queue);
        if let Some(mean) = mean.filter(|mean| mean.count >= MIN_RUNS) {
            let relative = percent.saturating_mul(100) / mean.percent().max(1);
            self.record_pace(now, endpoint, Some(relative.min(STALLED_PERCENT)), false);
        }
    }

    fn record_pace(
        &mut self,
        now: Instant,
        key: EndpointKey,
        relative_percent: Option<u64>,
        failed: bool,
    ) {
        let paces = &mut self.endpoint_paces.endpoints;
        let Some(entry) = paces.entry(key) else {
            return;
        };
        let pace = entry.or_default();
        if let Some(percent) = relative_percent {
            pace.run_time.record(percent, ENDPOINT_WEIGHT);
        }
        let failure_percent = if failed { 100 } else { 0 };
        pace.failures.record(failure_percent, ENDPOINT_WEIGHT);
        pace.newest_at = now;
        pace.runs_since_step += 1;
        self.step_run_limit(key);
    }

    /// Ejects an endpoint by a step, or lets it return by one, if its latest runs show it.
    fn step_run_limit(&mut self, key: EndpointKey) {
        let pace = self.endpoint_paces.endpoints[key];
        if pace.runs_since_step < RUNS_PER_STEP {
            return;
        }
        let limit = if pace.is_outlier() {
            pace.limit.lower()
        } else if pace.is_sound() {
            pace.limit.higher()
        } else {
            return;
        };
        let is_new_ejection = pace.limit == RunLimit::Unlimited && limit < pace.limit;
        if limit == pace.limit || is_new_ejection && !self.may_eject_another(key) {
            return;
        }
        let changed = &mut self.endpoint_paces.endpoints[key];
        changed.limit = limit;
        changed.runs_since_step = 0;
        self.events.push(SchedulerEvent::RunLimitChanged {
            endpoint: self.endpoint_id(key),
            limit,
            run_time_percent: pace.run_time.percent(),
            failure_percent: pace.failures.percent(),
            runs: pace.failures.count,
        });
    }

    /// Returns whether one more endpoint may be ejected from the pool of an endpoint.
    fn may_eject_another(&self, key: EndpointKey) -> bool {
        let pool = &self.endpoints[key].registration.pool;
        let mut count = 0;
        let mut ejected = 0;
        for (other, endpoint) in &self.endpoints {
            if endpoint.registration.pool == *pool {
                let pace = self.endpoint_paces.endpoints.get(other);
                count += 1;
                ejected += usize::from(
                    pace.is_some_and(|pace| pace.limit != RunLimit::Unlimited),
                );
            }
        }
        (ejected + 1) * EJECTED_DIVISOR <= count
    }

    /// Brings the pace classes of endpoints up to date.
    pub(super) fn update_pace_classes(&mut self, now: Instant) {
        for pace in self.endpoint_paces.endpoints.values_mut() {
            pace.class = pace.class_at(now);
        }
    }
}
