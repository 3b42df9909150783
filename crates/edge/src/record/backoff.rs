//! Delays between retries.

use std::time::Duration;

use uuid::Uuid;

/// Iterator over exponentially growing retry delays with jitter.
///
/// The nominal delay doubles up to a maximum; each delay is drawn uniformly from the
/// upper half of the nominal one.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_edge::record::Backoff;
///
/// let first = Duration::from_millis(10);
/// let delays: Vec<_> = Backoff::new(first, Duration::from_millis(25), 4).collect();
/// assert_eq!(delays.len(), 4);
/// assert!(delays[0] >= first / 2 && delays[0] <= first);
/// assert!(delays[3] <= Duration::from_millis(25));
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    nominal: Duration,
    max: Duration,
    remaining: u32,
}

impl Backoff {
    /// Creates a backoff of `count` delays that start at `first` and grow up to `max`.
    pub fn new(first: Duration, max: Duration, count: u32) -> Self {
        Self {
            nominal: first.min(max),
            max,
            remaining: count,
        }
    }
}

impl Iterator for Backoff {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        self.remaining = self.remaining.checked_sub(1)?;
        let nominal = self.nominal;
        self.nominal = nominal.saturating_mul(2).min(self.max);
        Some(nominal / 2 + (nominal / 2).mul_f64(random_fraction()))
    }
}

/// Returns a random number from 0 to 1.
fn random_fraction() -> f64 {
    let bytes = Uuid::new_v4().into_bytes();
    f64::from(u16::from_be_bytes([bytes[0], bytes[1]])) / f64::from(u16::MAX)
}
