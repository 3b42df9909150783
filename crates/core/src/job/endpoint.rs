//! The leader's view of endpoints.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::clock::{Clock, longest_lease};
use super::fence::Fence;
use super::{Resource, RunKey, acknowledgement};
use crate::time::Instant;

slotmap::new_key_type! {
    /// Key of an endpoint in the scheduler's arena.
    pub struct EndpointKey;
}

/// Time after the expiry of its registration during which a reachable endpoint still
/// receives work. Registrations that expired in a store outage are renewed within two
/// seconds.
const REGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Consecutive failed runs after which an endpoint receives no new work for a while.
const FAILURE_THRESHOLD: u32 = 3;

/// Time for which an endpoint with consecutive failures receives no new work.
const FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// Time for which an order without an answer shortens the waits of holds.
const UNANSWERED_MEMORY: Duration = Duration::from_secs(10);

/// An endpoint's entry in the registry, written by the endpoint itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Identity of the endpoint, which a restarted endpoint may reuse.
    pub id: String,
    /// Start time of this incarnation of the endpoint, in milliseconds since the Unix
    /// epoch.
    pub born: u64,
    /// Name of the pool whose jobs it runs.
    pub pool: String,
    /// Address at which it receives orders.
    pub address: SocketAddr,
    /// Name of its availability zone.
    pub zone: String,
    /// Labels that steps may require, in a fixed order: the kind, then the rack, then any
    /// others.
    pub labels: Vec<String>,
    /// Total resources that its runs may reserve.
    pub capacity: Resource,
    /// Whether it is about to shut down and accepts no new runs.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_remaining: Duration,
    /// Reading of its monotonic clock when the entry was written, in milliseconds.
    pub clock_ms: u64,
}

impl Registration {
    /// Returns the rack, which is the second label, or an empty string if there is none.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or("", String::as_str)
    }
}

/// The endpoint that an order is addressed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Identity of the endpoint.
    pub id: String,
    /// Address at which it receives orders.
    pub address: SocketAddr,
}

/// What an order without an answer says about its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Doubt {
    /// Nothing new.
    None,
    /// The endpoint may be out of reach.
    New,
    /// The endpoint is out of reach.
    Settled,
}

/// Whether the leader can reach an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reachability {
    /// No reply has arrived in this term yet.
    Unknown,
    /// The last order was answered.
    Reachable,
    /// An order got no answer, and nothing else has been answered since that order was
    /// sent. Nothing is placed here and no lease is renewed until the next answer.
    Doubtful,
    /// A hold, or several orders in succession, got no answer; holds the time at which
    /// contact was lost.
    Unreachable(Instant),
}

/// How an endpoint went away, as far as the leader knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// It ended without notice.
    Crashed,
    /// It had announced its shutdown, or the leader had ordered its host to be moved or
    /// maintained.
    Planned,
    /// It doesn't answer, and the leases of its runs have expired: it has crashed or is cut
    /// off.
    Silent,
}

impl Departure {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Planned => "planned",
            Self::Silent => "silent",
        }
    }
}

/// An endpoint and the runs that it may be executing.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Latest registry entry.
    pub(super) registration: Registration,
    /// Name of the host that the platform has listed with this endpoint; `None` if it
    /// hasn't been listed yet.
    pub(super) host: Option<String>,
    /// When the first of the latest listings of hosts without this endpoint was requested;
    /// `None` if the latest one names it.
    pub(super) unlisted_since: Option<Instant>,
    /// Resources reserved by `runs`.
    pub(super) used: Resource,
    pub(super) runs: BTreeSet<RunKey>,
    /// When the latest registry entry was read.
    pub(super) registered_at: Instant,
    /// Whether its latest registry entry can't be read.
    pub(super) is_registration_unreadable: bool,
    /// When its registration was found missing; `None` while it is registered.
    pub(super) unregistered_since: Option<Instant>,
    pub(super) reachability: Reachability,
    /// When the last reply arrived; `None` if none has.
    pub(super) replied_at: Option<Instant>,
    /// When an order, other than a hold, last got no answer.
    unanswered_at: Option<Instant>,
    pub(super) clock: Clock,
    /// Latest time at which one of its runs may still be executing if no further order
    /// arrives.
    pub(super) lease_bound: Instant,
    /// When the hold in flight was issued; `None` if there is none.
    pub(super) hold_sent_at: Option<Instant>,
    /// Earliest time of the next hold.
    pub(super) next_hold: Instant,
    /// Ends that were reported, and their acknowledgement.
    pub(super) ends: acknowledgement::Tracker,
    /// Fencing token of the orders that are sent here.
    pub(super) fence: Fence,
    /// Time before which no new run is placed here.
    pub(super) no_placement_until: Instant,
    /// Failed runs since the last successful one.
    pub(super) consecutive_failures: u32,
    /// Whether new runs are kept away because its host is to be moved or maintained.
    pub(super) cordoned: bool,
    /// When it stops being slow after its start.
    pub(super) cold_until: Instant,
    /// The last run that was started here on probation.
    pub(super) run_on_probation: Option<RunKey>,
    /// Since when orders have got no answer; `None` if the last one had one.
    pub(super) silent_since: Option<Instant>,
    /// Whether it starts whatever it is told to, also beyond its capacity.
    pub(super) accepts_overload: bool,
    /// Whether its zone is being evacuated.
    pub(super) evacuated: bool,
    /// When the last run ended or, before the first run, when the endpoint was added.
    pub(super) idle_since: Instant,
}

impl Endpoint {
    pub(super) fn new(registration: Registration, fence: Fence, now: Instant) -> Self {
        Self {
            clock: Clock::new(registration.clock_ms, now),
            registration,
            host: None,
            unlisted_since: None,
            used: Resource::default(),
            runs: BTreeSet::new(),
            registered_at: now,
            is_registration_unreadable: false,
            unregistered_since: None,
            reachability: Reachability::Unknown,
            replied_at: None,
            unanswered_at: None,
            lease_bound: now,
            hold_sent_at: None,
            next_hold: now,
            ends: acknowledgement::Tracker::default(),
            fence,
            no_placement_until: now,
            consecutive_failures: 0,
            cordoned: false,
            cold_until: now,
            run_on_probation: None,
            silent_since: None,
            accepts_overload: false,
            evacuated: false,
            idle_since: now,
        }
    }

    /// Returns the endpoint's latest registry entry.
    pub const fn registration(&self) -> &Registration {
        &self.registration
    }

    /// Returns whether no run may be executing here.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the time at which the endpoint became idle. The value has no meaning while
    /// runs are executing.
    pub const fn idle_since(&self) -> Instant {
        self.idle_since
    }

    pub(super) fn target(&self) -> Target {
        Target {
            id: self.registration.id.clone(),
            address: self.registration.address,
        }
    }

    /// Returns whether the endpoint has replied to an order since `instant`.
    pub(super) fn has_replied_since(&self, instant: Instant) -> bool {
        let has_replied = self.replied_at.is_some_and(|at| at >= instant);
        self.reachability == Reachability::Reachable && has_replied
    }

    /// Records that an order that was sent at `sent`, other than a hold, got no answer.
    ///
    /// A reply since then shows that the endpoint can be reached. Without one, the
    /// endpoint is in doubt; a further order without an answer settles it.
    pub(super) fn record_unanswered(&mut self, now: Instant, sent: Instant) -> Doubt {
        self.unanswered_at = Some(now);
        if self.replied_at.is_some_and(|at| at > sent) {
            return Doubt::None;
        }
        match self.reachability {
            Reachability::Reachable => Doubt::New,
            Reachability::Doubtful | Reachability::Unknown => Doubt::Settled,
            Reachability::Unreachable(_) => Doubt::None,
        }
    }

    /// Returns whether orders have lately got no answer.
    pub(super) fn has_unanswered_orders(&self, now: Instant) -> bool {
        self.unanswered_at
            .is_some_and(|at| now.saturating_since(at) < UNANSWERED_MEMORY)
    }

    /// Grants a lease of `term` from now to the runs, and returns the reading of the endpoint's
    /// clock at which it ends.
    pub(super) fn grant_lease(&mut self, now: Instant, term: Duration) -> u64 {
        self.extend_lease_bound(now + longest_lease(term));
        self.clock.lease_end(now, term)
    }

    /// Records that a run may be executing until `bound`.
    pub(super) fn extend_lease_bound(&mut self, bound: Instant) {
        self.lease_bound = self.lease_bound.max(bound);
    }

    /// Returns how long ago at least the registration was written; `None` if the reading of
    /// the endpoint's clock at that time isn't known.
    pub(super) fn least_registration_age(&self, now: Instant) -> Option<Duration> {
        let written_ms = self.registration.clock_ms;
        (written_ms > 0).then(|| self.clock.least_time_since(written_ms, now))
    }

    /// Returns how long ago at most the registration was written; `None` if the reading of
    /// the endpoint's clock at that time isn't known.
    pub(super) fn longest_registration_age(&self, now: Instant) -> Option<Duration> {
        let written_ms = self.registration.clock_ms;
        (written_ms > 0).then(|| self.clock.longest_time_since(written_ms, now))
    }

    /// Returns whether the endpoint can be reached, and the reading of its clock is so old that
    /// another one is worth an order.
    pub(super) fn must_read_clock(&self, now: Instant) -> bool {
        let is_outdated = if self.accepts_overload {
            self.clock.is_reply_outdated(now)
        } else {
            self.clock.is_outdated(now)
        };
        is_outdated && self.reachability == Reachability::Reachable
    }

    /// Returns how long ago the endpoint last replied; `None` if it never has.
    pub(super) fn reply_age(&self, now: Instant) -> Option<Duration> {
        self.replied_at.map(|at| now.saturating_since(at))
    }

    /// Records a failed run. After several consecutive failures the endpoint receives no
    /// new work for a while.
    pub(super) fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURE_THRESHOLD {
            self.no_placement_until = now + FAILURE_BACKOFF;
            // After the pause, a single further failure starts the next one.
            self.consecutive_failures = FAILURE_THRESHOLD - 1;
        }
    }

    /// Records a successful run, which resets the count of consecutive failures.
    pub(super) const fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Returns whether the endpoint is idle and hasn't replied since its registration was
    /// found missing, so that it may have left.
    pub(super) fn must_confirm_presence(&self) -> bool {
        let since = self.unregistered_since.filter(|_| self.is_idle());
        since.is_some_and(|since| !self.has_replied_since(since))
    }

    /// Returns whether new runs may be placed here.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        let registered = self
            .unregistered_since
            .is_none_or(|since| now.saturating_since(since) < REGISTRATION_GRACE);
        registered
            && !self.must_confirm_presence()
            && self.reachability == Reachability::Reachable
            && !self.registration.draining
            && !self.cordoned
            && !self.evacuated
            && self.unlisted_since.is_none()
            && now >= self.no_placement_until
    }
}
