//! Forecasts the capacity that the jobs of a pool will keep busy.
//!
//! Queues burst by turns: within a fraction of a second, the rate of arrivals rises to
//! several times its mean, and it stays there for some seconds. A host takes over a second
//! to join a pool, so a burst must be recognized from its first jobs. The rate is
//! estimated over windows of several lengths. A short window reacts sooner and is less
//! accurate, so its estimate is lowered by its standard error, and the highest estimate
//! counts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Scheduler;
use super::onset;
use super::pattern::Patterns;
use crate::job::{Feature, Features, Record, Resource};
use crate::time::Instant;

/// Length of the window whose mean is the estimate while the load is steady.
const STEADY_WINDOW: Duration = Duration::from_millis(1_000);

/// Lengths of the windows that recognize the start of a burst.
const ONSET_WINDOWS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(700),
];

/// Time, in milliseconds, for which capacity is planned ahead. Moving a host takes most
/// of it.
const PLANNING_HORIZON_MS: u64 = 2_000;

/// Period of the estimate of the clock offset. It is longer than any stall of a watch, so
/// that jobs that were read late don't look like jobs with a slow clock.
const OFFSET_PERIOD: Duration = Duration::from_secs(10);

/// Work that arrived recently, by pool.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Arrivals by pool, in order of their times.
    recent: BTreeMap<String, VecDeque<Arrival>>,
    clock_offset: ClockOffset,
    /// Learned run times by queue, in percent of the estimates.
    run_times: BTreeMap<String, u64>,
    /// Whether recurring demand is recognized.
    learns_patterns: bool,
    pub(super) patterns: Patterns,
}

/// The work of one submitted job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) at: Instant,
    /// Resources times the milliseconds for which they are busy.
    pub(super) work: Resource,
}

impl Arrivals {
    /// Returns arrivals without any jobs.
    pub(super) fn new(features: Features) -> Self {
        Self {
            learns_patterns: features.contains(Feature::DemandPatterns),
            ..Self::default()
        }
    }

    /// Records a job that was submitted to a pool and is `age` old by the clocks of its
    /// entry host and of the leader.
    ///
    /// A job counts as an arrival at the time of its submission. The jobs of a second
    /// that a stalled watch delivers at once would otherwise look like a burst.
    pub(super) fn record_job(
        &mut self,
        now: Instant,
        age: Duration,
        pool: &str,
        record: &Record,
    ) {
        let age = age.saturating_sub(self.clock_offset.update(now, age));
        if age >= STEADY_WINDOW {
            return;
        }
        let at = now.saturating_sub(age);
        let percent = self.run_times.get(&record.queue).copied().unwrap_or(100);
        let mut work = Resource::default();
        for step in record.spec.steps.iter().filter(|step| !step.long_running) {
            let expected_ms = step.estimate_ms.saturating_mul(percent) / 100;
            let busy_ms = expected_ms.min(PLANNING_HORIZON_MS);
            work.add(&step.reserved().times(u64::from(step.count) * busy_ms));
        }
        if self.learns_patterns {
            self.patterns.record(at, pool, &work);
        }
        let recent = self.recent.entry(pool.to_owned()).or_default();
        let position = recent.partition_point(|arrival| arrival.at <= at);
        recent.insert(position, Arrival { at, work });
    }

    /// Sets the learned run times of queues, in percent of the callers' estimates, for
    /// jobs that arrive from now on.
    pub(super) fn set_run_times(&mut self, run_times: BTreeMap<String, u64>) {
        self.run_times = run_times;
    }

    /// Registers a pool that an endpoint has joined.
    pub(super) fn register_pool(&mut self, pool: &str) {
        self.recent.entry(pool.to_owned()).or_default();
    }

    /// Returns the capacity that arrivals at the present rate keep busy.
    pub(super) fn expected(&mut self, now: Instant, pool: &str) -> Resource {
        let Some(recent) = self.recent.get_mut(pool) else {
            return Resource::default();
        };
        while recent
            .front()
            .is_some_and(|arrival| now.saturating_since(arrival.at) > STEADY_WINDOW)
        {
            recent.pop_front();
        }
        let steady = sum(recent.iter()).divided_by(STEADY_WINDOW);
        let usual = self.patterns.usual_demand(pool);
        let risen =
            usual.and_then(|usual| onset::risen_demand(now, &usual, recent.iter().rev()));
        let recurring = self.patterns.expected(now, pool);
        let steady = steady.max(&risen.unwrap_or_default()).max(&recurring);
        ONSET_WINDOWS.iter().fold(steady, |highest, &window| {
            let arrivals = recent
                .iter()
                .rev()
                .take_while(|arrival| now.saturating_since(arrival.at) <= window);
            highest.max(&lower_estimate(arrivals.clone()).divided_by(window))
        })
    }
}

/// Estimate of how far the leader's clock is ahead of those of all entry hosts: the least
/// apparent age of the jobs read lately.
///
/// Without it, no job would count as an arrival under a leader whose clock is a second
/// ahead.
#[derive(Debug, Default)]
struct ClockOffset {
    current: Option<LeastAge>,
    previous: Option<LeastAge>,
}

/// Least apparent age of the jobs that were read in a period.
#[derive(Clone, Copy, Debug)]
struct LeastAge {
    since: Instant,
    age: Duration,
}

impl ClockOffset {
    /// Takes a job's apparent age into account and returns the estimate.
    fn update(&mut self, now: Instant, age: Duration) -> Duration {
        let is_over =
            |least: &LeastAge| now.saturating_since(least.since) >= OFFSET_PERIOD;
        if self.current.as_ref().is_some_and(is_over) {
            self.previous = self.current.take();
        }
        let current = self.current.get_or_insert(LeastAge { since: now, age });
        current.age = current.age.min(age);
        let previous = self.previous.map_or(current.age, |least| least.age);
        current.age.min(previous)
    }
}

impl Scheduler {
    /// Returns the capacity that jobs which are expected to arrive in a pool keep busy.
    pub fn expected_demand(&mut self, now: Instant, pool: &str) -> Resource {
        self.arrivals.expected(now, pool)
    }
}

/// Returns the total work of some jobs.
pub(super) fn sum<'a>(arrivals: impl Iterator<Item = &'a Arrival>) -> Resource {
    let mut total = Resource::default();
    for arrival in arrivals {
        total.add(&arrival.work);
    }
    total
}

/// Returns the work that is to be expected in a window of the same length as the one in
/// which some jobs arrived, lowered by its standard error.
///
/// Arrivals are independent of each other, so the variance of their total is the sum of
/// the squares of the work of each.
pub(super) fn lower_estimate<'a>(
    arrivals: impl Iterator<Item = &'a Arrival> + Clone,
) -> Resource {
    let standard_error = |dimension: fn(&Resource) -> u64| {
        let squares = arrivals
            .clone()
            .map(|arrival| u128::from(dimension(&arrival.work)).pow(2));
        u64::try_from(squares.sum::<u128>().isqrt()).unwrap_or(u64::MAX)
    };
    let mut total = sum(arrivals.clone());
    total.subtract(&Resource {
        cpu: standard_error(|work| work.cpu),
        memory_mb: standard_error(|work| work.memory_mb),
        gpu: standard_error(|work| work.gpu),
    });
    total
}

impl Resource {
    /// Returns the mean over `window` of an amount that is multiplied by milliseconds.
    pub(super) fn divided_by(&self, window: Duration) -> Self {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(1);
        Self {
            cpu: self.cpu / window_ms,
            memory_mb: self.memory_mb / window_ms,
            gpu: self.gpu / window_ms,
        }
    }
}
