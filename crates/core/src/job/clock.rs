//! What the leader knows about the monotonic clock of an endpoint.
//!
//! An endpoint ends leases by its own clock, which the leader reads only in replies and
//! registrations. Since the last reading, a slow clock has advanced less than the leader's,
//! by an amount that grows with the age of the reading. The leader reckons with the least
//! reading that is possible now: a lease that ends at this reading plus its term doesn't
//! last longer than [`longest_lease`], however old the last reading is.

use std::time::Duration;

use crate::time::Instant;

/// Part of a span by which a slow clock may fall behind. The pages of the platform allow 2 %.
const DRIFT_DIVISOR: u32 = 40;

/// Additional time allowed for an order that is processed late, and for a run to end.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Age of a reading from which another one is worth an order. Leases are a second shorter
/// than their term by then.
const MAX_READING_AGE: Duration = Duration::from_secs(40);

/// Returns the longest time that passes from the order for a lease of `term` until all that
/// holds it has ended.
pub fn longest_lease(term: Duration) -> Duration {
    term + term / DRIFT_DIVISOR + LEASE_MARGIN
}

/// Whether a reading continues those before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Continuity {
    /// It may be of the same clock.
    Continued,
    /// It is less than the clock must have shown by then: the endpoint has restarted.
    Broken,
}

/// A reading of an endpoint's clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    reading_ms: u64,
    /// When the leader received it. It may have been taken earlier.
    at: Instant,
}

impl Reading {
    /// Returns the least reading of the clock that is possible at `now`.
    fn least(self, now: Instant) -> u64 {
        let elapsed = now.saturating_since(self.at);
        self.reading_ms
            .saturating_add(millis(elapsed - elapsed / DRIFT_DIVISOR))
    }

    /// Returns the reading of the clock at `now` if it is exact and the reading was received at
    /// once.
    fn exact(self, now: Instant) -> u64 {
        let elapsed = now.saturating_since(self.at);
        self.reading_ms.saturating_add(millis(elapsed))
    }
}

/// What is known about the clock of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    /// Reading in the last reply; `None` if none has arrived.
    reply: Option<Reading>,
    /// Reading in the registration; `None` if it is from before a restart.
    registration: Option<Reading>,
}

impl Clock {
    /// Returns a clock of which only the reading in the registration is known.
    pub(super) const fn new(registered_ms: u64, now: Instant) -> Self {
        Self {
            reply: None,
            registration: Some(Reading {
                reading_ms: registered_ms,
                at: now,
            }),
        }
    }

    /// Records the reading in a registration that was received now. One that isn't newer than
    /// the last one tells nothing.
    pub(super) fn record_registration(&mut self, reading_ms: u64, now: Instant) {
        if let Some(last) = &mut self.registration
            && reading_ms > last.reading_ms
        {
            *last = Reading {
                reading_ms,
                at: now,
            };
        }
    }

    /// Records the reading in a reply to an order that was sent at `sent`.
    pub(super) fn record_reply(
        &mut self,
        reading_ms: u64,
        sent: Instant,
        now: Instant,
    ) -> Continuity {
        let earlier = self.readings().filter(|reading| reading.at <= sent);
        let is_broken = earlier
            .map(|reading| reading.least(sent))
            .any(|least| reading_ms < least);
        self.reply = Some(Reading {
            reading_ms,
            at: now,
        });
        if is_broken {
            self.registration = None;
            Continuity::Broken
        } else {
            Continuity::Continued
        }
    }

    /// Returns the reading at which a lease of `term` from now ends.
    pub(super) fn lease_end(&self, now: Instant, term: Duration) -> u64 {
        self.least(now).saturating_add(millis(term))
    }

    /// Returns how long ago at least the clock showed a reading.
    pub(super) fn least_time_since(&self, reading_ms: u64, now: Instant) -> Duration {
        Duration::from_millis(self.least(now).saturating_sub(reading_ms))
    }

    /// Returns how long ago at most the clock showed a reading.
    pub(super) fn longest_time_since(&self, reading_ms: u64, now: Instant) -> Duration {
        let newest = self.reply.or(self.registration);
        let latest = newest.map_or(0, |reading| reading.exact(now));
        let span = Duration::from_millis(latest.saturating_sub(reading_ms));
        span + span / DRIFT_DIVISOR
    }

    /// Returns the age of the newest reading.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let newest = self.readings().map(|reading| reading.at).max();
        now.saturating_since(newest.unwrap_or(Instant::ZERO))
    }

    /// Returns whether leases have become so short that another reading is worth an order.
    pub(super) fn is_outdated(&self, now: Instant) -> bool {
        self.age(now) >= MAX_READING_AGE
    }

    /// Returns whether the last reading in a reply is so old that another one is worth an order.
    pub(super) fn is_reply_outdated(&self, now: Instant) -> bool {
        let reply = self.reply.map_or(Instant::ZERO, |reading| reading.at);
        now.saturating_since(reply) >= MAX_READING_AGE
    }

    /// Returns the least reading that is possible now.
    fn least(&self, now: Instant) -> u64 {
        let least = self.readings().map(|reading| reading.least(now));
        least.max().unwrap_or(0)
    }

    fn readings(&self) -> impl Iterator<Item = Reading> {
        self.reply.into_iter().chain(self.registration)
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
