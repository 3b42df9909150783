//! How long a new request will wait, learnt from how earlier forecasts went.

use std::time::Duration;

/// Part of the way to full doubt that one late request adds.
const DOUBT_PER_MISS: f64 = 0.02;
/// Part of the doubt that one request in time takes away.
const TRUST_PER_HIT: f64 = 0.001;
/// Slots that a workspace is taken to have at least.
const MIN_SLOTS: f64 = 1e-3;

/// Weighs a hopeful forecast against a doubtful one.
///
/// The hopeful one holds when a burst ends soon and leaves the pool to those who wait.
/// The doubtful one holds when the burst goes on and each workspace gets its share only.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Forecast {
    /// From 0, hopeful, to 1, doubtful.
    doubt: f64,
}

/// Requests that wait before a new one, and the slots that they start on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) ahead: u32,
    pub(super) slots: f64,
}

impl Forecast {
    /// Takes in that a request started or expired too late.
    pub(super) fn missed(&mut self) {
        self.doubt += (1.0 - self.doubt) * DOUBT_PER_MISS;
    }

    /// Takes in that a request started in time.
    pub(super) fn met(&mut self) {
        self.doubt -= self.doubt * TRUST_PER_HIT;
    }

    /// Returns the expected wait of a request behind its workspace's and the pool's load.
    pub(super) fn wait(&self, run_time: Duration, own: Load, all: Load) -> Duration {
        let hopeful = own.turns().min(all.turns());
        let turns = hopeful + (own.turns() - hopeful) * self.doubt;
        let wait = run_time.as_secs_f64() * turns;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }
}

impl Load {
    /// Returns the load that is started sooner.
    pub(super) fn shorter(self, other: Self) -> Self {
        if other.turns() < self.turns() {
            other
        } else {
            self
        }
    }

    /// Returns how many run times pass until the requests ahead have started.
    fn turns(&self) -> f64 {
        f64::from(self.ahead) / self.slots.max(MIN_SLOTS)
    }
}

#[cfg(test)]
mod tests;
