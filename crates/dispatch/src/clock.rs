//! Monotonic and wall clock readings.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rhubarbrill_core::time::{Instant, Timestamp};
use rustix::time::{ClockId, clock_gettime};

/// Returns the current time of the boot-time clock (`CLOCK_BOOTTIME`).
///
/// This clock also advances while the machine is suspended, so a process that resumes
/// after a suspension sees that its lease has expired.
pub fn now() -> Instant {
    let reading = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
    Instant::from_micros(seconds * 1_000_000 + nanos / 1_000)
}

/// Returns the current wall-clock time.
pub fn wall_clock() -> Timestamp {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Timestamp::from_millis(millis(since))
}

/// Returns a duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
