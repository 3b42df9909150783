//! How long a new request will wait, learnt from how earlier forecasts went.

use std::time::Duration;

/// Part of the way to full doubt that one late request adds.
const MISS_GAIN: f64 = 0.02;
/// Part of the doubt that one request in time takes away.
const HIT_DECAY: f64 = 0.001;
/// Slots that a workspace is taken to have at least.
const MIN_SLOTS: f64 = 1e-3;

/// Weighs a hopeful forecast against a doubtful one.
///
/// The hopeful one holds when a burst ends soon and leaves the pool to those who wait.
/// The doubtful one holds when the burst goes on and each workspace gets its share only.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Forecast {
    /// From 0, hopeful, to 1, doubtful.
    pessimism: f64,
}

/// Requests that wait before a new one, and the slots that they start on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) ahead: u32,
    pub(super) slots: f64,
}

impl Forecast {
    /// Takes in that a request started or expired too late.
    pub(super) fn record_late(&mut self) {
        self.pessimism += (1.0 - self.pessimism) * MISS_GAIN;
    }

    /// Takes in that a request started in time.
    pub(super) fn record_on_time(&mut self) {
        self.pessimism -= self.pessimism * HIT_DECAY;
    }

    /// Returns the expected wait of a request behind its workspace's and the pool's load.
    pub(super) fn wait(&self, run_time: Duration, own: Load, all: Load) -> Duration {
        let optimistic = own.rounds().min(all.rounds());
        let rounds = optimistic + (own.rounds() - optimistic) * self.pessimism;
        let wait = run_time.as_secs_f64() * rounds;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }
}

impl Load {
    /// Returns the load that is started sooner.
    pub(super) fn faster(self, other: Self) -> Self {
        if other.rounds() < self.rounds() {
            other
        } else {
            self
        }
    }

    /// Returns how many run times pass until the requests ahead have started.
    fn rounds(&self) -> f64 {
        f64::from(self.ahead) / self.slots.max(MIN_SLOTS)
    }
}

#[cfg(test)]
mod tests;
