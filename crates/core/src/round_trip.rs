//! Estimates how long to wait for an answer before a call is made again.
//!
//! A service that answers within milliseconds should be asked again soon after an answer
//! was lost. When it has become slow, calls must not be abandoned before their answers
//! arrive. The estimate follows the measured response times, by the method that RFC 6298
//! specifies for the retransmission timer of TCP.

use std::time::Duration;

/// Timeout before the first answer, and upper limit of the estimate.
pub const MAX_TIMEOUT: Duration = Duration::from_millis(700);

/// Divisor that gives the weight of the newest response time in the mean.
const MEAN_WEIGHT: u32 = 8;

/// Divisor that gives the weight of the newest deviation from the mean.
const DEVIATION_WEIGHT: u32 = 4;

/// Number of mean deviations above the mean at which a call times out.
const DEVIATIONS: u32 = 4;

/// Estimate of a timeout from the response times of earlier calls.
#[derive(Clone, Copy, Debug)]
pub struct RoundTrip {
    /// Lower limit of the estimate.
    min_timeout: Duration,
    /// Moving average of the response times; `None` before the first answer.
    mean: Option<Duration>,
    /// Moving average of the deviation from `mean`.
    deviation: Duration,
    /// Calls that timed out since the last answer. Each doubles the timeout.
    timeouts: u32,
}

impl RoundTrip {
    /// Returns an estimate without any response times. It never falls below `min_timeout`.
    pub const fn new(min_timeout: Duration) -> Self {
        Self {
            min_timeout,
            mean: None,
            deviation: Duration::ZERO,
            timeouts: 0,
        }
    }

    /// Returns how long to wait for the answer to the next call.
    pub fn timeout(&self) -> Duration {
        let Some(mean) = self.mean else {
            return MAX_TIMEOUT;
        };
        let estimate = (mean + self.deviation * DEVIATIONS).max(self.min_timeout);
        let factor = 1_u32.checked_shl(self.timeouts).unwrap_or(u32::MAX);
        estimate.saturating_mul(factor).min(MAX_TIMEOUT)
    }

    /// Records the response time of a call that was answered.
    pub fn record_answer(&mut self, response_time: Duration) {
        self.timeouts = 0;
        let Some(mean) = self.mean else {
            self.mean = Some(response_time);
            self.deviation = response_time / 2;
            return;
        };
        let deviation = mean.abs_diff(response_time);
        self.deviation = moving_average(self.deviation, deviation, DEVIATION_WEIGHT);
        self.mean = Some(moving_average(mean, response_time, MEAN_WEIGHT));
    }

    /// Records that a call with the current timeout got no answer.
    pub const fn record_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }
}

fn moving_average(mean: Duration, newest: Duration, weight: u32) -> Duration {
    (mean * (weight - 1) + newest) / weight
}
