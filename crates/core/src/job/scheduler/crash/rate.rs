//! How often endpoints crash by chance.

use std::time::Duration;

use crate::time::Instant;

/// Time constant with which crashes are forgotten that show how often endpoints crash.
const RATE_MEMORY: Duration = Duration::from_secs(20);

/// Time of one endpoint without a crash, in seconds, with which the rate of crashes begins.
const RATE_PRIOR_S: f64 = 5.0;

/// Number of crashes that the rate counts at least.
const MIN_CRASHES: f64 = 0.5;

/// How often endpoints crash for reasons of their own.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Rate {
    /// Number of crashes, of which older ones count less.
    crashes: f64,
    /// Time that endpoints were up, in seconds of one endpoint, with the same weights.
    uptime_s: f64,
    updated_at: Instant,
    /// Number of crashes in this term, whatever their cause.
    number: u64,
}

impl Rate {
    /// Returns the rate at the start of a term, before any crash.
    pub(in crate::job) const fn new(now: Instant) -> Self {
        Self {
            crashes: 0.0,
            uptime_s: RATE_PRIOR_S,
            updated_at: now,
            number: 0,
        }
    }

    /// Returns the number of a crash that has just been noticed.
    pub(super) const fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Adds the time since the last crash, in which `endpoints` endpoints were up.
    pub(super) fn advance(&mut self, now: Instant, endpoints: usize) {
        let since = now.saturating_since(self.updated_at);
        let kept = (-since.as_secs_f64() / RATE_MEMORY.as_secs_f64()).exp();
        #[expect(clippy::cast_precision_loss, reason = "a count of endpoints is small")]
        let endpoints = endpoints as f64;
        let added = endpoints * RATE_MEMORY.as_secs_f64() * (1.0 - kept);
        self.uptime_s = self.uptime_s * kept + added;
        self.crashes *= kept;
        self.updated_at = now;
    }

    /// Adds a crash.
    pub(super) fn record(&mut self) {
        self.crashes += 1.0;
    }

    /// Returns the probability that an endpoint crashes within `span`, leaving out `own`
    /// crashes.
    pub(super) fn probability_within(&self, span: Duration, own: u32) -> f64 {
        let others = (self.crashes - f64::from(own)).max(MIN_CRASHES);
        let per_second = others / self.uptime_s.max(RATE_PRIOR_S);
        1.0 - (-per_second * span.as_secs_f64()).exp()
    }
}
