//! Estimates the work that one host does, or would do, for a pool.

use std::time::Duration;

use crate::time::Instant;

/// Load of a pool at one moment, summed over all entry hosts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots of the hosts that accept new work.
    pub slots: u32,
    /// Number of borrowed hosts among those that accept new work.
    pub borrowed: u32,
}

/// Estimates the value of a host to a pool, in slot-seconds that decay over time.
///
/// The value of a host is the work that it does beyond the capacity of the other hosts,
/// plus the waiting time this saves: work done earlier keeps other requests from waiting
/// now.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandEstimator {
    /// Value that one more host would have had.
    pub(super) value_of_next: f64,
    /// Value of the host that was borrowed last.
    pub(super) value_of_last: f64,
    /// Waiting requests that one more host would have served by now.
    served_by_next: f64,
    /// Requests that would wait now without the host that was borrowed last.
    backlog_without_last: f64,
    demand: Demand,
    at: Option<Instant>,
}

/// Multiple of the patience after which a waiting request counts as given up.
const GIVE_UP_FACTOR: u32 = 2;

/// Settings of an estimator.
#[derive(Clone, Copy, Debug)]
pub(super) struct EstimatorSettings {
    pub(super) host_slots: u32,
    pub(super) memory: Duration,
    pub(super) patience: Duration,
}

impl DemandEstimator {
    /// Updates the estimates at `now`. The previous demand is assumed to have lasted
    /// until then.
    pub(super) fn observe(
        &mut self,
        now: Instant,
        demand: Demand,
        settings: EstimatorSettings,
    ) {
        if let Some(at) = self.at {
            self.advance(now.saturating_since(at), settings);
        }
        if demand.borrowed > self.demand.borrowed {
            self.value_of_last = std::mem::take(&mut self.value_of_next);
            self.backlog_without_last = std::mem::take(&mut self.served_by_next);
        }
        self.demand = demand;
        self.at = Some(now);
    }

    fn advance(&mut self, span: Duration, settings: EstimatorSettings) {
        let load = self.demand.running + self.demand.waiting;
        let host = f64::from(settings.host_slots);
        let excess = f64::from(load) - f64::from(self.demand.slots);
        let waiting = f64::from(self.demand.waiting);
        let given_up = GIVE_UP_FACTOR * settings.patience;
        let reached = decay_towards(self.served_by_next, host, span, given_up);
        self.served_by_next = reached.min(waiting);
        self.value_of_next = decay_towards(
            self.value_of_next,
            value_rate(excess, self.served_by_next, settings),
            span,
            settings.memory,
        );

        let excess_without_last = excess + host;
        let grown = decay_towards(
            self.backlog_without_last,
            excess_without_last.min(host),
            span,
            given_up,
        );
        self.backlog_without_last = grown.max(0.0);
        let value_rate =
            value_rate(excess_without_last, self.backlog_without_last, settings);
        self.value_of_last =
            decay_towards(self.value_of_last, value_rate, span, settings.memory);
    }
}

/// Returns the value that a host gains per second when the pool is short of `excess`
/// slots without it and `saved` requests don't wait because of its earlier work.
fn value_rate(excess: f64, saved: f64, settings: EstimatorSettings) -> f64 {
    let work = excess.clamp(0.0, f64::from(settings.host_slots));
    work + saved / settings.patience.as_secs_f64()
}

/// Returns the level of a leaky integrator after `span`, with an inflow of `value_rate`
/// per second and the time constant `memory`.
fn decay_towards(level: f64, value_rate: f64, span: Duration, memory: Duration) -> f64 {
    let memory = memory.as_secs_f64();
    let kept = (-span.as_secs_f64() / memory).exp();
    let steady = value_rate * memory;
    steady + (level - steady) * kept
}
