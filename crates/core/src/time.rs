//! Clock readings, which callers pass to decisions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A monotonic clock reading, in microseconds since an origin private to the process.
///
/// Readings of different processes aren't comparable; send durations instead.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_core::time::Instant;
///
/// let start = Instant::from_micros(5);
/// let later = start + Duration::from_millis(1);
/// assert_eq!(later.saturating_since(start), Duration::from_millis(1));
/// assert_eq!(start.saturating_since(later), Duration::ZERO);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the process's clock.
    pub const ZERO: Self = Self(0);

    /// Returns the reading `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the reading `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the reading `span` earlier, or the origin if that lies before it.
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

impl std::ops::Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

/// A wall clock reading, in milliseconds since the Unix epoch.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Returns the reading `millis` milliseconds after the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
