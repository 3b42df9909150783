//! Whether the copy of the ledger that an entry host holds is recent enough to act on.

use std::time::Duration;

use super::evidence::PROPAGATION_BOUND;
use crate::time::Instant;

/// The age of an entry host's copy of the ledger, which limits where it may send.
///
/// A leaving host counts as drained once every entry host has confirmed, or after a grace
/// period. The grace period is safe only if an entry host that didn't learn of the drain
/// stops sending by itself, so an entry host with a stale copy stops sending to other
/// zones.
///
/// It goes on sending to hosts of its own zone, as the zone may be partitioned; the drain
/// of these hosts waits for a confirmation from the zone. After the process was paused,
/// it must contact a peer of its zone before it sends with a stale copy, since the pause
/// alone may have kept it from learning of the drain.
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
    synced_at: Option<Instant>,
    last_tick: Instant,
    paused: bool,
}

impl Freshness {
    /// Returns the state of a process that starts at `now` and has no copy yet.
    pub const fn new(now: Instant) -> Self {
        Self {
            synced_at: None,
            last_tick: now,
            paused: true,
        }
    }

    /// Records that the process is running. Call it several times within each
    /// [`PROPAGATION_BOUND`]: a longer interval between calls is taken for a pause of the
    /// process.
    pub fn tick(&mut self, now: Instant) {
        self.paused |= self.missed_tick(now);
        self.last_tick = now;
    }

    /// Records that the held copy matches the store as of `age` before `asked`.
    ///
    /// `asked` is the clock reading taken before the request was sent to the store or to
    /// a peer. `age` is the age that the peer reported for its own copy, and zero for the
    /// store.
    pub fn record_sync(&mut self, asked: Instant, age: Duration) {
        let synced_at = asked.saturating_sub(age);
        self.synced_at = self.synced_at.max(Some(synced_at));
        self.paused &= age > PROPAGATION_BOUND;
    }

    /// Records that the held copy is at least as recent as that of a peer in the same
    /// zone, which was asked after the last [`Freshness::tick`].
    pub const fn record_zone_contact(&mut self) {
        self.paused = false;
    }

    /// Returns the age of the held copy, to be reported to peers; `None` without a copy.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.synced_at
            .map(|synced_at| now.saturating_since(synced_at))
    }

    /// Returns whether a request may be sent to a host in the same zone, if `own_zone` is
    /// set, or else to a host in another zone.
    ///
    /// Call it with a new clock reading right before the first byte is sent.
    pub fn may_send(&self, now: Instant, own_zone: bool) -> bool {
        let is_fresh = self.age(now).is_some_and(|age| age <= PROPAGATION_BOUND);
        let is_running = !self.paused && !self.missed_tick(now);
        is_fresh || (own_zone && is_running)
    }

    fn missed_tick(&self, now: Instant) -> bool {
        now.saturating_since(self.last_tick) > PROPAGATION_BOUND
    }
}
