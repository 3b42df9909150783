//! Monotonic and wall-clock time of the daemon process.

use std::time::{SystemTime, UNIX_EPOCH};

use rhubarbrill_core::time::{Instant, Timestamp};

/// Reads the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Returns a clock whose monotonic time starts at zero now.
    pub fn new() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Returns the monotonic time since the clock was created.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }

    /// Returns the wall-clock time, or the Unix epoch if the system clock is set to an
    /// earlier time.
    pub fn wall(&self) -> Timestamp {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Timestamp::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Converts a monotonic reading of this clock to an instant of the tokio runtime.
    pub fn to_tokio(&self, instant: Instant) -> tokio::time::Instant {
        let span = instant.saturating_since(Instant::ZERO);
        tokio::time::Instant::from_std(self.origin + span)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
