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
use crate::job::rate_limit::{Bucket, Rate};
use crate::time::Instant;

/// Time over which a workspace may accumulate unused weight for a burst.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// Recent submissions of each workspace, measured against its weight.
#[derive(Debug, Default)]
pub(super) struct SubmissionRates {
    buckets: BTreeMap<String, Bucket>,
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
        let rate = Rate {
            // A weight is in thousandths of a job per second.
            permille: weight,
            burst: BURST_WINDOW,
        };
        let bucket = self
            .submission_rates
            .buckets
            .entry(name.clone())
            .or_insert(Bucket::new(now));
        let is_within = bucket.has_room(now, rate);
        if is_within {
            bucket.add();
        }
        is_within
    }
}
