//! Endpoints as the leader knows them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::live::JobKey;
use super::{Resource, RunKey};
use crate::time::Instant;

slotmap::new_key_type! {
    /// Names an endpoint in the scheduler's arena.
    pub struct EndpointKey;
}

/// Time after the lapse of a registration in which a live endpoint is still used, since
/// registrations that lapsed in a store outage are renewed within two seconds.
const REGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Failures without a success between them after which an endpoint is left alone.
const FAILURES_IN_A_ROW: u32 = 3;

/// Time for which an endpoint that only fails is left alone.
const SHUN_TIME: Duration = Duration::from_secs(4);

/// What an endpoint says of itself in the registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Identity, which may come back after a restart.
    pub id: String,
    /// When this life of the endpoint began, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Pool whose jobs it runs.
    pub pool: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Labels that steps may require, the rack among them.
    pub labels: Vec<String>,
    /// What all its runs together may take.
    pub capacity: Resource,
    /// Whether it leaves soon and takes nothing new.
    pub draining: bool,
    /// Reading of its own steady clock when the report was made, in milliseconds.
    pub clock_ms: u64,
}

impl Report {
    /// Returns the rack: the label after the kind, or nothing.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or("", String::as_str)
    }
}

/// Which life of which endpoint an order is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Identity of the endpoint.
    pub id: String,
    /// Where it takes orders.
    pub address: SocketAddr,
}

/// Whether the leader can reach an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Contact {
    /// Not asked yet in this term.
    Unseen,
    /// The last order was answered.
    Live,
    /// The last order got no answer; since when.
    Lost(Instant),
}

/// An end whose meaning isn't in the store yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unsaved {
    pub(super) end: u64,
    pub(super) job: JobKey,
    pub(super) generation: u64,
}

/// An endpoint with what runs there.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub(super) report: Report,
    pub(super) used: Resource,
    pub(super) runs: BTreeSet<RunKey>,
    pub(super) unlisted_since: Option<Instant>,
    pub(super) contact: Contact,
    clock: Clock,
    /// Until when something may run there although no further order arrives.
    pub(super) lease_bound: Instant,
    pub(super) hold_sent: Option<Instant>,
    pub(super) next_hold: Instant,
    /// Highest end that was taken in.
    pub(super) seen: u64,
    /// Highest end that the hold on its way lets the endpoint forget.
    pub(super) acknowledged_sent: u64,
    /// Highest end that the endpoint was certainly told to forget.
    pub(super) acknowledged_there: u64,
    pub(super) unsaved: Vec<Unsaved>,
    /// Nothing new is placed here until then.
    pub(super) shunned_until: Instant,
    pub(super) recent_failures: u32,
    /// Whether it is being emptied for a move or for maintenance.
    pub(super) emptying: bool,
    /// When the last run ended, or the endpoint came.
    pub(super) idle_since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Clock {
    reading_ms: u64,
    at: Instant,
}

impl Endpoint {
    pub(super) fn new(report: Report, now: Instant) -> Self {
        Self {
            clock: Clock {
                reading_ms: report.clock_ms,
                at: now,
            },
            report,
            used: Resource::default(),
            runs: BTreeSet::new(),
            unlisted_since: None,
            contact: Contact::Unseen,
            lease_bound: now,
            hold_sent: None,
            next_hold: now,
            seen: 0,
            acknowledged_sent: 0,
            acknowledged_there: 0,
            unsaved: Vec::new(),
            shunned_until: now,
            recent_failures: 0,
            emptying: false,
            idle_since: now,
        }
    }

    /// Returns what it last said of itself.
    pub const fn report(&self) -> &Report {
        &self.report
    }

    /// Returns whether nothing runs there.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns since when nothing runs there, while that is so.
    pub const fn idle_since(&self) -> Instant {
        self.idle_since
    }

    pub(super) fn target(&self) -> Target {
        Target {
            id: self.report.id.clone(),
            address: self.report.address,
        }
    }

    /// Takes a reading of its clock that an answer carried.
    pub(super) const fn read_clock(&mut self, reading_ms: u64, now: Instant) {
        self.clock = Clock {
            reading_ms,
            at: now,
        };
    }

    /// Returns the reading of its clock at which a lease of `term` from now ends.
    ///
    /// The estimate runs behind the true reading, so the lease is never longer than `term`.
    pub(super) fn lease_end(&self, now: Instant, term: Duration) -> u64 {
        let span = now.saturating_since(self.clock.at) + term;
        self.clock.reading_ms + u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the highest end whose meaning, and that of all before it, is in the store.
    pub(super) fn acknowledged(&self) -> u64 {
        let first = self.unsaved.iter().map(|unsaved| unsaved.end).min();
        first.map_or(self.seen, |end| end - 1)
    }

    /// Notes that a run failed here; an endpoint that only fails is left alone for a while.
    pub(super) fn note_failure(&mut self, now: Instant) {
        self.recent_failures += 1;
        if self.recent_failures >= FAILURES_IN_A_ROW {
            self.shunned_until = now + SHUN_TIME;
            // One more failure after the pause is enough for the next.
            self.recent_failures = FAILURES_IN_A_ROW - 1;
        }
    }

    /// Notes that a run did its work here.
    pub(super) const fn note_success(&mut self) {
        self.recent_failures = 0;
    }

    /// Returns whether something new may be placed here.
    pub(super) fn takes_work(&self, now: Instant) -> bool {
        let registered = self
            .unlisted_since
            .is_none_or(|since| now.saturating_since(since) < REGISTRATION_GRACE);
        registered
            && self.contact == Contact::Live
            && !self.report.draining
            && !self.emptying
            && now >= self.shunned_until
    }
}
