//! The process's clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use rhubarbrill_core::time::{Instant, Timestamp};

/// Reads the monotonic and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Returns a clock whose monotonic origin is now.
    pub fn new() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Reads the monotonic clock.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.origin.elapsed()
    }

    /// Reads the wall clock.
    pub fn wall(&self) -> Timestamp {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Timestamp::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the runtime's instant for a monotonic reading.
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
