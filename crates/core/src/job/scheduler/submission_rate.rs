//! Submission rates: a workspace that submits far more than its weight allows is ranked
//! behind the others.
//!
//! A workspace that submits many times its usual number of jobs would fill every queue.
//! Jobs beyond its weight, in jobs per second, only get the capacity that the others
//! leave.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Scheduler;
use crate::job::Record;
use crate::time::Instant;

/// Time over which a workspace may accumulate unused weight for a burst.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// One job in thousandths, which is also the weight of one job per second.
const ONE_JOB: u64 = 1_000;

/// Recent submissions of each workspace, measured against its weight.
#[derive(Debug, Default)]
pub(super) struct SubmissionRates {
    buckets: BTreeMap<String, LeakyBucket>,
}

/// Fill level of a workspace's leaky bucket, in thousandths of a job.
#[derive(Clone, Copy, Debug)]
struct LeakyBucket {
    level: u64,
    at: Instant,
}

impl Scheduler {
    /// Returns whether a new job is within its workspace's submission rate, and counts it
    /// if so.
    pub(super) fn is_within_submission_rate(
        &mut self,
        now: Instant,
        record: &Record,
    ) -> bool {
        let Some(name) = &record.workspace else {
            return true;
        };
        let workspace = self.configuration.workspace(name);
        let Some(weight) = workspace.and_then(|workspace| workspace.weight) else {
            return true;
        };
        let first = LeakyBucket { level: 0, at: now };
        let bucket = self
            .submission_rates
            .buckets
            .entry(name.clone())
            .or_insert(first);
        let passed = now.saturating_since(bucket.at);
        bucket.level = bucket.level.saturating_sub(allowed_amount(weight, passed));
        bucket.at = now;
        let capacity = allowed_amount(weight, BURST_WINDOW).max(ONE_JOB);
        if bucket.level + ONE_JOB > capacity {
            return false;
        }
        bucket.level += ONE_JOB;
        true
    }
}

/// Returns how much a weight allows within a span, in thousandths of a job.
fn allowed_amount(weight: u64, span: Duration) -> u64 {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    weight.saturating_mul(millis) / 1_000
}
