//! The leader's estimate of when a job that arrives now would start, and the decision of
//! entry hosts whether to accept a job by it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Spec;
use super::configuration::Queue;
use super::declared;

/// Multiple of its objective after which a job is of no use to its caller.
const USEFUL_OBJECTIVES: u32 = 3;

/// Shortest delay before a caller sends a rejected job again.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest time over which the callers of rejected jobs are spread.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);

/// Change of an estimate, as the inverse of a share, from which it is written again.
const CHANGE_DIVISOR: u64 = 10;

/// The estimates of all pools.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Estimate {
    /// Number of the term in which the leader made the estimate.
    pub term: u64,
    /// Estimates by name of the pool.
    pub pools: BTreeMap<String, PoolEstimate>,
}

/// The estimate of one pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolEstimate {
    /// Time until a job that arrives now would start, in milliseconds.
    pub wait_ms: u64,
    /// Cores that become free each second.
    pub room: u64,
}

/// Whether an entry host accepts a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The job may still be of use to its caller.
    Admit,
    /// The job can't end while it is of use. Its caller may send it again after this time.
    Reject(Duration),
}

impl Estimate {
    /// Returns whether the estimate differs so much from an earlier one that it must be
    /// written.
    pub fn differs_from(&self, earlier: &Self) -> bool {
        let is_close = |(name, pool): (&String, &PoolEstimate)| {
            let earlier = earlier.pools.get(name);
            earlier.is_some_and(|earlier| pool.is_close_to(earlier))
        };
        self.term != earlier.term
            || self.pools.len() != earlier.pools.len()
            || !self.pools.iter().all(is_close)
    }

    /// Returns whether jobs wait in any pool.
    pub fn has_wait(&self) -> bool {
        self.pools.values().any(|pool| pool.wait_ms > 0)
    }

    /// Decides whether to accept the job with this identity.
    pub fn verdict(&self, queue: &Queue, spec: &Spec, id: &str) -> Verdict {
        let Some(pool) = self.pools.get(&queue.pool) else {
            return Verdict::Admit;
        };
        let lasts = spec.steps.iter().any(|step| step.long_running);
        if lasts || spec.recurrence.is_some() {
            return Verdict::Admit;
        }
        let useful = declared::objective(spec, queue) * USEFUL_OBJECTIVES;
        let wait = Duration::from_millis(pool.wait_ms);
        let end = wait + Duration::from_millis(spec.critical_path_ms());
        if end <= useful {
            return Verdict::Admit;
        }
        let delay = (end - useful).max(MIN_RETRY_DELAY);
        let spread = (wait).min(MAX_RETRY_SPREAD);
        Verdict::Reject(delay + spread * spread_percent(id) / 100)
    }
}

impl PoolEstimate {
    fn is_close_to(&self, earlier: &Self) -> bool {
        let is_close =
            |now: u64, earlier: u64| now.abs_diff(earlier) <= earlier / CHANGE_DIVISOR;
        is_close(self.wait_ms, earlier.wait_ms) && is_close(self.room, earlier.room)
    }
}

/// Returns a value from 0 to 99 that depends only on a job's identity.
fn spread_percent(id: &str) -> u32 {
    let sum = id.bytes().fold(0_u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    sum % 100
}
