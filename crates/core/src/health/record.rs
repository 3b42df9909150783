//! Health record of one endpoint.

use std::time::Duration;

use crate::fleet::{PoolKey, ZoneKey};
use crate::time::Instant;

/// Number of consecutive failures that make an endpoint an outlier.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Smoothed failure rate, in thousandths, that makes an endpoint an outlier.
const MAX_FAILURE_PERMILLE: u32 = 500;
/// Minimum number of results before the failure rate is used.
const MIN_SAMPLES: u32 = 20;
/// Smoothing divisor of the failure rate.
const SMOOTHING: u32 = 16;
/// Number of consecutive successful probes after which an endpoint is restored.
const REQUIRED_PROBES: u32 = 3;
const BASE_EJECTION: Duration = Duration::from_secs(5);
const MAX_EJECTION: Duration = Duration::from_secs(300);

/// Health state of an endpoint, which determines whether it gets work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// The endpoint gets work as usual.
    #[default]
    Healthy,
    /// The endpoint gets no work until the given time.
    Ejected(Instant),
    /// The endpoint gets one repeatable request at a time. Holds the number of probes
    /// passed in a row.
    Probing(u32),
}

#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) pool: PoolKey,
    pub(super) zone: ZoneKey,
    pub(super) rack: String,
    pub(super) state: State,
    consecutive_failures: u32,
    samples: u32,
    failed_permille: u32,
    ejections: u32,
}

impl Record {
    pub(super) fn new(pool: PoolKey, zone: ZoneKey, rack: String) -> Self {
        Self {
            pool,
            zone,
            rack,
            state: State::Healthy,
            consecutive_failures: 0,
            samples: 0,
            failed_permille: 0,
            ejections: 0,
        }
    }

    /// Updates the counters with one result.
    pub(super) fn count(&mut self, success: bool) {
        self.samples = self.samples.saturating_add(1);
        let target = if success { 0 } else { 1_000 };
        let kept = self.failed_permille * (SMOOTHING - 1);
        self.failed_permille = (kept + target) / SMOOTHING;
        self.consecutive_failures = match success {
            true => 0,
            false => self.consecutive_failures.saturating_add(1),
        };
    }

    pub(super) fn is_outlier(&self) -> bool {
        let failure_rate_high = self.failed_permille >= MAX_FAILURE_PERMILLE;
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
            || (failure_rate_high && self.samples >= MIN_SAMPLES)
    }

    /// Ejects the endpoint, for twice as long each time in a row up to a maximum, and
    /// returns when the ejection ends.
    pub(super) fn eject(&mut self, now: Instant) -> Instant {
        let span = BASE_EJECTION.saturating_mul(1 << self.ejections.min(8));
        let until = now + span.min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.state = State::Ejected(until);
        until
    }

    /// Counts a successful probe and returns whether the endpoint was restored.
    pub(super) fn pass_probe(&mut self, passed: u32) -> bool {
        if passed + 1 < REQUIRED_PROBES {
            self.state = State::Probing(passed + 1);
            return false;
        }
        self.restore();
        true
    }

    /// Restores the endpoint and resets its failure counters.
    pub(super) fn restore(&mut self) {
        self.state = State::Healthy;
        self.consecutive_failures = 0;
        self.samples = 0;
        self.failed_permille = 0;
    }

    /// Resets the ejection backoff after enough results with a failure rate of zero.
    pub(super) fn reset_ejection_backoff(&mut self) {
        if self.samples >= 4 * MIN_SAMPLES && self.failed_permille == 0 {
            self.ejections = 0;
        }
    }
}
