//! Forecast of the wait of a new request, adjusted by how earlier forecasts turned out.

use std::time::Duration;

/// Fraction of the distance to full pessimism that one late request adds.
const MISS_GAIN: f64 = 0.02;
/// Fraction of the pessimism that one request in time removes.
const HIT_DECAY: f64 = 0.001;
/// Minimum number of slots assumed for a workspace; avoids division by zero.
const MIN_SLOTS: f64 = 1e-3;

/// Interpolates between an optimistic and a pessimistic forecast.
///
/// The optimistic forecast holds when a burst ends soon and leaves the whole pool to the
/// requests that wait. The pessimistic one holds when the burst goes on and each
/// workspace gets only its share.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Forecast {
    /// From 0 (optimistic) to 1 (pessimistic).
    pessimism: f64,
}

/// The requests that start before a new one, and the slots available to them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) ahead: u32,
    pub(super) slots: f64,
}

impl Forecast {
    /// Records that a request started late or expired.
    pub(super) fn record_late(&mut self) {
        self.pessimism += (1.0 - self.pessimism) * MISS_GAIN;
    }

    /// Records that a request started in time.
    pub(super) fn record_on_time(&mut self) {
        self.pessimism -= self.pessimism * HIT_DECAY;
    }

    /// Returns the expected wait of a request, given the load of its workspace and that
    /// of the whole pool.
    pub(super) fn wait(&self, run_time: Duration, own: Load, all: Load) -> Duration {
        let optimistic = own.rounds().min(all.rounds());
        let rounds = optimistic + (own.rounds() - optimistic) * self.pessimism;
        let wait = run_time.as_secs_f64() * rounds;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }
}

impl Load {
    /// Returns the load whose requests have all started sooner.
    pub(super) fn faster(self, other: Self) -> Self {
        if other.rounds() < self.rounds() {
            other
        } else {
            self
        }
    }

    /// Returns the number of run times until the requests ahead have started.
    fn rounds(&self) -> f64 {
        f64::from(self.ahead) / self.slots.max(MIN_SLOTS)
    }
}

#[cfg(test)]
mod tests;
