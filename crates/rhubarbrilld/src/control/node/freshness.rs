//! How old the ledger in force may be, asked before each send.

use std::time::Duration;

use rhubarbrill_core::fleet::ZoneKey;
use rhubarbrill_core::maintenance::PROPAGATION_BOUND;
use rhubarbrill_core::member::Peer;
use rhubarbrill_core::time::Instant;
use rhubarbrill_peer::Beat;

use super::{Node, lock};

impl Node {
    /// Notes that the process runs, and what follows from the silence of others.
    pub(in crate::control) fn tick(&self) {
        let now = self.engine().clock().now();
        let unchanged_since = self.unchanged_since(now);
        let mut freshness = lock(&self.freshness);
        freshness.tick(now);
        if let Some(since) = unchanged_since {
            freshness.record_sync(since, Duration::ZERO);
        }
        if !self.has_zone_peer() {
            // Its own word is the zone's: no host of the zone counts as drained without.
            freshness.record_zone_contact();
        }
    }

    /// Notes that the ledger in force is the store's as of `asked`.
    pub(in crate::control) fn record_ledger_read(&self, asked: Instant) {
        lock(&self.freshness).record_sync(asked, Duration::ZERO);
    }

    /// Takes in how old the news of a peer is that was asked at `asked`.
    pub(in crate::control) fn record_peer_freshness(&self, beat: &Beat, asked: Instant) {
        if self.versions().1 < beat.ledger {
            return;
        }
        let mut freshness = lock(&self.freshness);
        if let Some(millis) = beat.news_age_ms {
            freshness.record_sync(asked, Duration::from_millis(millis));
        }
        if beat.member.zone == self.member().zone {
            freshness.record_zone_contact();
        }
    }

    /// Returns the age of the ledger in force, in milliseconds; `None` if unknown.
    pub(super) fn news_age_ms(&self) -> Option<u64> {
        let age = lock(&self.freshness).age(self.engine().clock().now())?;
        u64::try_from(age.as_millis()).ok()
    }

    /// Returns whether a request may be sent to a host of the zone at this instant.
    ///
    /// An entry host with old news sends to hosts of its own zone only: those of others
    /// may be drained, which it would not have heard.
    pub fn may_send_to(&self, zone: ZoneKey) -> bool {
        let now = self.engine().clock().now();
        let own = self.revision().fleet.zones.find(&self.member().zone);
        lock(&self.freshness).may_send(now, own == Some(zone))
    }

    /// Returns since when nobody that is known could have changed the ledger: every known
    /// entry host is heard, none reaches the store, and none has a newer ledger.
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
            let all = roster.peers().all(is_quiet);
            let oldest = roster.peers().map(|peer| peer.last_heard).min();
            all.then(|| oldest.unwrap_or(now))
        })
    }

    fn has_zone_peer(&self) -> bool {
        let zone = &self.member().zone;
        self.roster(|roster| roster.peers().any(|peer| &peer.member.zone == zone))
    }
}
