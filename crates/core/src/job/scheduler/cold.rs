//! Placement on endpoints that are cold, which means slow for a while after their start.
//!
//! A cold endpoint receives tasks only if no warm one has capacity, up to half of its
//! capacity, and few in any second. Long-running tasks outlast that time, so they may be
//! placed on it as on any other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{Scheduler, SchedulerEvent};
use crate::job::run::Phase;
use crate::job::{EndpointKey, Resource, TaskRef};
use crate::time::Instant;

/// Time over which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits on the starts that a cold endpoint receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLimits {
    /// Starts on a cold endpoint in any second, in thousandths of the mean number of
    /// starts on an endpoint of its pool in that second.
    pub overrun_permille: u64,
    /// Starts in any second that are permitted in addition.
    pub slack: u64,
}

/// Starts within the last second.
#[derive(Debug, Default)]
pub(super) struct RecentStarts {
    by_endpoint: BTreeMap<EndpointKey, VecDeque<Instant>>,
    by_pool: BTreeMap<String, VecDeque<Instant>>,
    /// Starts that a cold endpoint may have received in the last second, by pool, for the
    /// present round of placement. Pools without a cold endpoint have no entry.
    limits: BTreeMap<String, u64>,
}

impl RecentStarts {
    /// Records a start order.
    pub(super) fn record(&mut self, now: Instant, pool: &str, endpoint: EndpointKey) {
        let by_pool = self.by_pool.entry(pool.to_owned()).or_default();
        for starts in [by_pool, self.by_endpoint.entry(endpoint).or_default()] {
            while starts.front().is_some_and(|&at| !is_recent(now, at)) {
                starts.pop_front();
            }
            starts.push_back(now);
        }
    }

    /// Drops the starts on an endpoint that is removed.
    pub(super) fn forget(&mut self, endpoint: EndpointKey) {
        self.by_endpoint.remove(&endpoint);
    }

    fn limit(&self, pool: &str) -> u64 {
        self.limits.get(pool).copied().unwrap_or(0)
    }

    fn on_endpoint(&self, now: Instant, endpoint: EndpointKey) -> u64 {
        count(now, self.by_endpoint.get(&endpoint))
    }

    fn in_pool(&self, now: Instant, pool: &str) -> u64 {
        count(now, self.by_pool.get(pool))
    }
}

fn count(now: Instant, starts: Option<&VecDeque<Instant>>) -> u64 {
    let newest_first = starts.into_iter().flat_map(|starts| starts.iter().rev());
    newest_first.take_while(|&&at| is_recent(now, at)).count() as u64
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_since(at) < WINDOW
}

impl Scheduler {
    /// Updates until when an endpoint is cold, from its registration.
    pub(super) fn update_cold(&mut self, now: Instant, key: EndpointKey) {
        let registration = &self.endpoints[key].registration;
        let longest = self
            .configuration
            .pool(&registration.pool)
            .map(|pool| pool.cold_start)
            .filter(|longest| !longest.is_zero());
        let age = self.endpoints[key].least_registration_age(now);
        let reported = registration
            .cold_remaining
            .saturating_sub(age.unwrap_or_default());
        let remaining = longest.map_or(reported, |longest| reported.min(longest));
        let was_cold = self.is_cold(now, key);
        let endpoint = &mut self.endpoints[key];
        endpoint.cold_until = now + remaining;
        if !was_cold && !remaining.is_zero() {
            self.events.push(SchedulerEvent::EndpointCold {
                endpoint: self.endpoints[key].registration.id.clone(),
                remaining,
            });
        }
    }

    /// Shortens the time for which an endpoint is cold by the age of its registration, after
    /// a reply with a reading of its clock. The first registration that a new leader reads
    /// may have been written long ago.
    pub(super) fn shorten_cold(&mut self, now: Instant, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        if let Some(age) = endpoint.least_registration_age(now) {
            let remaining = endpoint.registration.cold_remaining.saturating_sub(age);
            endpoint.cold_until = endpoint.cold_until.min(now + remaining);
        }
    }

    /// Returns whether an endpoint is still slow after its start.
    pub(super) fn is_cold(&self, now: Instant, key: EndpointKey) -> bool {
        now < self.endpoints[key].cold_until
    }

    /// Returns the placement term for cold endpoints: those with a larger one come later.
    pub(super) fn cold_penalty(
        &self,
        now: Instant,
        key: EndpointKey,
        task: TaskRef,
    ) -> bool {
        self.is_cold(now, key) && !self.step(task).long_running
    }

    /// Returns whether an endpoint is warm, or cold and able to take one more task that
    /// reserves this amount.
    pub(super) fn is_warm_enough(
        &self,
        now: Instant,
        key: EndpointKey,
        reserved: &Resource,
    ) -> bool {
        if !self.is_cold(now, key) {
            return true;
        }
        let endpoint = &self.endpoints[key];
        let capacity = &endpoint.registration.capacity;
        // Half of a single GPU would be none.
        let half = |amount: u64| if amount > 1 { amount / 2 } else { amount };
        let usable = Resource {
            cpu: half(capacity.cpu),
            memory_mb: half(capacity.memory_mb),
            gpu: half(capacity.gpu),
        };
        let runs = endpoint.runs.iter();
        let planned =
            runs.filter(|&&run| matches!(self.runs[run].phase, Phase::Planned(_)));
        let starts = planned.count() as u64 + self.recent_starts.on_endpoint(now, key);
        reserved.fits(&endpoint.used, &usable)
            && starts < self.recent_starts.limit(&endpoint.registration.pool)
    }

    /// Updates how many starts the cold endpoints of each pool may receive.
    pub(super) fn update_cold_limits(&mut self, now: Instant) {
        let cold = self
            .endpoints
            .values()
            .filter(|endpoint| now < endpoint.cold_until);
        let pools = cold.map(|endpoint| endpoint.registration.pool.clone());
        let pools: BTreeSet<String> = pools.collect();
        let limit = |pool: String| {
            let limit = self.max_cold_starts(now, &pool);
            (pool, limit)
        };
        self.recent_starts.limits = pools.into_iter().map(limit).collect();
    }

    /// Returns how many starts a cold endpoint of a pool may receive in a second.
    fn max_cold_starts(&self, now: Instant, pool: &str) -> u64 {
        let limits = self.options.cold;
        let endpoints = self.endpoints.values();
        let of_pool = endpoints.filter(|endpoint| endpoint.registration.pool == pool);
        let count = of_pool.count().max(1) as u64;
        let in_pool = self.recent_starts.in_pool(now, pool);
        let most = limits.overrun_permille * in_pool / count / 1_000 + limits.slack;
        let of_pool = self.configuration.pool(pool);
        let handled = of_pool.and_then(|pool| pool.cold_starts_per_s);
        handled.map_or(most, |handled| most.min(handled))
    }
}
