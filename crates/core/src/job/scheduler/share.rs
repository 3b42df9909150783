//! Shares: a workspace that submits far more than its weight allows goes behind the others.
//!
//! One workspace that sends many times its usual would fill every queue. Its jobs beyond its
//! weight, in jobs a second, are served with what room the others leave.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Scheduler;
use crate::job::Record;
use crate::time::Instant;

/// Span over which a workspace may submit its share at once.
const BURST: Duration = Duration::from_secs(2);

/// Weight of one job a second.
const ONE_A_SECOND: u64 = 1_000;

/// Jobs that each workspace submitted lately, against its weight.
#[derive(Debug, Default)]
pub(super) struct Shares {
    spent: BTreeMap<String, Spent>,
}

/// What a workspace has used of its share, in thousandths of a job.
#[derive(Clone, Copy, Debug)]
struct Spent {
    amount: u64,
    at: Instant,
}

impl Scheduler {
    /// Counts a new job, and returns whether it lies within its workspace's share.
    pub(super) fn is_within_share(&mut self, now: Instant, record: &Record) -> bool {
        let Some(name) = &record.workspace else {
            return true;
        };
        let workspace = self.configuration.workspace(name);
        let Some(weight) = workspace.and_then(|workspace| workspace.weight) else {
            return true;
        };
        let first = Spent { amount: 0, at: now };
        let spent = self.shares.spent.entry(name.clone()).or_insert(first);
        let passed = now.saturating_since(spent.at);
        spent.amount = spent.amount.saturating_sub(amount_in(weight, passed));
        spent.at = now;
        let allowed = amount_in(weight, BURST).max(ONE_A_SECOND);
        if spent.amount + ONE_A_SECOND > allowed {
            return false;
        }
        spent.amount += ONE_A_SECOND;
        true
    }
}

/// Returns how much a weight allows in a span, in thousandths of a job.
fn amount_in(weight: u64, span: Duration) -> u64 {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    weight.saturating_mul(millis) / 1_000
}
