//! Forecasts the capacity that the jobs of a pool will keep busy.
//!
//! Queues burst by turns: within a fraction of a second, the rate of arrivals rises to
//! several times its mean, and it stays there for some seconds. A host takes over a second
//! to join a pool, so hosts are ordered for the rate of the last second.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::job::{Record, Resource};
use crate::time::Instant;

/// Length of the window whose mean is the estimate while the load is steady.
const STEADY_WINDOW: Duration = Duration::from_millis(1_000);

/// Time, in milliseconds, for which capacity is planned ahead. Moving a host takes most
/// of it.
const PLANNING_HORIZON_MS: u64 = 2_000;

/// Work that arrived recently, by pool.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: BTreeMap<String, VecDeque<Arrival>>,
}

/// The work of one submitted job.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    /// Resources times the milliseconds for which they are busy.
    work: Resource,
}

impl Arrivals {
    /// Records a job that was submitted to a pool.
    pub(super) fn record_job(&mut self, now: Instant, pool: &str, record: &Record) {
        let mut work = Resource::default();
        for step in record.spec.steps.iter().filter(|step| !step.long_running) {
            let busy_ms = step.estimate_ms.min(PLANNING_HORIZON_MS);
            work.add(&step.reserved().times(u64::from(step.count) * busy_ms));
        }
        let recent = self.recent.entry(pool.to_owned()).or_default();
        recent.push_back(Arrival { at: now, work });
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
        sum(recent.iter()).divided_by(STEADY_WINDOW)
    }
}

/// Returns the total work of some jobs.
fn sum<'a>(arrivals: impl Iterator<Item = &'a Arrival>) -> Resource {
    let mut total = Resource::default();
    for arrival in arrivals {
        total.add(&arrival.work);
    }
    total
}

impl Resource {
    /// Returns the mean over `window` of an amount that is multiplied by milliseconds.
    fn divided_by(&self, window: Duration) -> Self {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(1);
        Self {
            cpu: self.cpu / window_ms,
            memory_mb: self.memory_mb / window_ms,
            gpu: self.gpu / window_ms,
        }
    }
}
