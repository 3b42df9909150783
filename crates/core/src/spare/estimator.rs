//! How much one host would serve in a pool.

use std::time::Duration;

use crate::time::Instant;

/// What a pool has to do at some moment, counted over all entry hosts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots of the hosts that take new work.
    pub slots: u32,
    /// Of the hosts that take new work, those that the pool borrowed.
    pub borrowed: u32,
}

/// What a host is worth to a pool, in slot-seconds that are forgotten over time.
///
/// A host is worth the work that it does beyond what the other hosts can, and the wait
/// that this saves: what it did earlier keeps others from waiting now.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandEstimator {
    /// What one more host would have been worth.
    pub(super) value_of_next: f64,
    /// What the host borrowed last has been worth.
    pub(super) value_of_last: f64,
    /// Waiting work that one more host would have done by now.
    served_by_next: f64,
    /// Work that would wait now without the host borrowed last.
    backlog_without_last: f64,
    demand: Demand,
    at: Option<Instant>,
}

/// Patience after which waiting work counts as given up, as a multiple of its unit.
const GIVE_UP_FACTOR: u32 = 2;

/// How a gauge counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct EstimatorSettings {
    pub(super) host_slots: u32,
    pub(super) memory: Duration,
    pub(super) patience: Duration,
}

impl DemandEstimator {
    /// Takes in the demand at `now`; the one before is taken to have lasted until then.
    pub(super) fn observe(
        &mut self,
        now: Instant,
        demand: Demand,
        settings: EstimatorSettings,
    ) {
        if let Some(at) = self.at {
            self.elapse(now.saturating_since(at), settings);
        }
        if demand.borrowed > self.demand.borrowed {
            self.value_of_last = std::mem::take(&mut self.value_of_next);
            self.backlog_without_last = std::mem::take(&mut self.served_by_next);
        }
        self.demand = demand;
        self.at = Some(now);
    }

    fn elapse(&mut self, span: Duration, settings: EstimatorSettings) {
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

/// Returns what a host is worth a second when `excess` slots are missed without it and
/// `saved` requests don't wait because of what it did before.
fn value_rate(excess: f64, saved: f64, settings: EstimatorSettings) -> f64 {
    let work = excess.clamp(0.0, f64::from(settings.host_slots));
    work + saved / settings.patience.as_secs_f64()
}

/// Returns the level after `span` of inflow at `value_rate` a second and outflow over `memory`.
fn decay_towards(level: f64, value_rate: f64, span: Duration, memory: Duration) -> f64 {
    let memory = memory.as_secs_f64();
    let kept = (-span.as_secs_f64() / memory).exp();
    let steady = value_rate * memory;
    steady + (level - steady) * kept
}
