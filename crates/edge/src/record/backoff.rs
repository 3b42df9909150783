//! Waits between two tries.

use std::time::Duration;

use uuid::Uuid;

/// Waits that double up to a bound, each drawn at random from its upper half.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_edge::record::Backoff;
///
/// let first = Duration::from_millis(10);
/// let waits: Vec<_> = Backoff::new(first, Duration::from_millis(25), 4).collect();
/// assert_eq!(waits.len(), 4);
/// assert!(waits[0] >= first / 2 && waits[0] <= first);
/// assert!(waits[3] <= Duration::from_millis(25));
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    span: Duration,
    max: Duration,
    left: u32,
}

impl Backoff {
    /// Returns `count` waits that start at `first` and grow up to `max`.
    pub fn new(first: Duration, max: Duration, count: u32) -> Self {
        Self {
            span: first.min(max),
            max,
            left: count,
        }
    }
}

impl Iterator for Backoff {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        self.left = self.left.checked_sub(1)?;
        let span = self.span;
        self.span = span.saturating_mul(2).min(self.max);
        Some(span / 2 + (span / 2).mul_f64(random_fraction()))
    }
}

/// Returns a random number from 0 to 1.
fn random_fraction() -> f64 {
    let bytes = Uuid::new_v4().into_bytes();
    f64::from(u16::from_be_bytes([bytes[0], bytes[1]])) / f64::from(u16::MAX)
}
