//! Tracks how old the applied ledger may be. This is checked before each request is sent.

use std::time::Duration;

use rhubarbrill_core::fleet::ZoneKey;
use rhubarbrill_core::maintenance::PROPAGATION_BOUND;
use rhubarbrill_core::member::Peer;
use rhubarbrill_core::time::Instant;
use rhubarbrill_peer::Heartbeat;

use super::{Node, lock};

impl Node {
    /// Records that the process runs, and that the ledger is up to date if nobody could
    /// have changed it.
    pub(in crate::control) fn tick(&self) {
        let now = self.engine().clock().now();
        let unchanged_since = self.unchanged_since(now);
        let mut freshness = lock(&self.freshness);
        freshness.tick(now);
        if let Some(since) = unchanged_since {
            freshness.record_sync(since, Duration::ZERO);
        }
        if !self.has_zone_peer() {
            // This host is the only known one of its zone, so its own view covers the
            // zone: no host of the zone counts as drained without its report.
            freshness.record_zone_contact();
        }
    }

    /// Records that the applied ledger was current in the store at `requested_at`.
    pub(in crate::control) fn record_ledger_read(&self, requested_at: Instant) {
        lock(&self.freshness).record_sync(requested_at, Duration::ZERO);
    }

    /// Records the freshness that a peer reported in its response to a heartbeat sent at
    /// `requested_at`. The report is ignored if the peer has a newer ledger.
    pub(in crate::control) fn record_peer_freshness(
        &self,
        beat: &Heartbeat,
        requested_at: Instant,
    ) {
        if self.versions().1 < beat.ledger {
            return;
        }
        let mut freshness = lock(&self.freshness);
        if let Some(millis) = beat.ledger_age_ms {
            freshness.record_sync(requested_at, Duration::from_millis(millis));
        }
        if beat.member.zone == self.member().zone {
            freshness.record_zone_contact();
        }
    }

    /// Returns the age of the applied ledger in milliseconds; `None` if it is unknown.
    pub(super) fn news_age_ms(&self) -> Option<u64> {
        let age = lock(&self.freshness).age(self.engine().clock().now())?;
        u64::try_from(age.as_millis()).ok()
    }

    /// Returns whether a request may be sent to a host in `zone` now.
    ///
    /// An entry host whose ledger may be outdated sends to hosts of its own availability
    /// zone only. Hosts of other zones may have been drained without its knowledge.
    pub fn may_send_to(&self, zone: ZoneKey) -> bool {
        let now = self.engine().clock().now();
        let own_zone = self.revision().fleet.zones.find(&self.member().zone);
        lock(&self.freshness).may_send(now, own_zone == Some(zone))
    }

    /// Returns the time since which no known entry host could have changed the ledger.
    /// This requires that every known peer was heard from recently, that neither this
    /// host nor a peer reaches the store, and that no peer has a newer ledger.
    fn unchanged_since(&self, now: Instant) -> Option<Instant> {
        if self.store_reachable() {
            return None;
        }
        let (_, ledger) = self.versions();
        let is_quiet = |peer: &Peer| {
            let silent = now.saturating_since(peer.last_heard) > PROPAGATION_BOUND;
            !silent && !peer.store_reachable && peer.ledger <= ledger
        };
        self.roster(|roster| {
            let unchanged = roster.peers().all(is_quiet);
            let oldest_contact = roster.peers().map(|peer| peer.last_heard).min();
            unchanged.then(|| oldest_contact.unwrap_or(now))
        })
    }

    fn has_zone_peer(&self) -> bool {
        let zone = &self.member().zone;
        self.roster(|roster| roster.peers().any(|peer| &peer.member.zone == zone))
    }
}
