//! Whether an entry host may still act on the ledger that it holds.

use std::time::Duration;

use super::evidence::PROPAGATION_BOUND;
use crate::time::Instant;

/// How old an entry host's ledger may be.
///
/// A host that leaves is drained once every entry host has confirmed, or after a wait.
/// The wait is safe only if an entry host that learned nothing has stopped by itself. An
/// entry host with old news goes on with hosts of its own zone, which may be cut off:
/// their drain then waits for the zone. After a pause it must hear a peer of its zone
/// first, since only the pause may have kept the news from it.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_core::maintenance::{Freshness, PROPAGATION_BOUND};
/// use rhubarbrill_core::time::Instant;
///
/// let start = Instant::ZERO;
/// let mut freshness = Freshness::new(start);
/// freshness.record_sync(start, Duration::ZERO);
/// assert!(freshness.may_send(start + PROPAGATION_BOUND, false));
/// let later = start + PROPAGATION_BOUND + Duration::from_millis(1);
/// assert!(!freshness.may_send(later, false));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    news: Option<Instant>,
    tick: Instant,
    paused: bool,
}

impl Freshness {
    /// Returns the state of a process that starts at `now` and has heard nothing.
    pub const fn new(now: Instant) -> Self {
        Self {
            news: None,
            tick: now,
            paused: true,
        }
    }

    /// Notes that the process runs; call several times within [`PROPAGATION_BOUND`].
    pub fn tick(&mut self, now: Instant) {
        self.paused |= self.is_late(now);
        self.tick = now;
    }

    /// Notes that the ledger held is the store's, as of `age` before `asked`.
    ///
    /// `asked` is the reading before the question was sent to the store or to a peer, and
    /// `age` what the peer said of its own news; zero for the store.
    pub fn record_sync(&mut self, asked: Instant, age: Duration) {
        let news = asked.saturating_sub(age);
        self.news = self.news.max(Some(news));
        self.paused &= age > PROPAGATION_BOUND;
    }

    /// Notes that the ledger held is at least as new as that of a peer of the own zone,
    /// asked after the last [`Freshness::tick`].
    pub const fn record_zone_contact(&mut self) {
        self.paused = false;
    }

    /// Returns the age of the news held, to be told to peers; `None` without any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.news.map(|news| now.saturating_since(news))
    }

    /// Returns whether a request may be sent to a host of the own zone, or of another.
    ///
    /// Ask with a fresh reading right before the first byte leaves.
    pub fn may_send(&self, now: Instant, own_zone: bool) -> bool {
        let is_fresh = self.age(now).is_some_and(|age| age <= PROPAGATION_BOUND);
        let runs_on = !self.paused && !self.is_late(now);
        is_fresh || (own_zone && runs_on)
    }

    fn is_late(&self, now: Instant) -> bool {
        now.saturating_since(self.tick) > PROPAGATION_BOUND
    }
}
