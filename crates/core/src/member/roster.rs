//! The other entry hosts from which one entry host has received heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Member;
use crate::time::Instant;

/// The state of another entry host, as of its last heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The entry host and the incarnation of its process.
    pub member: Member,
    /// The address on which it accepts calls from peers.
    pub address: SocketAddr,
    /// The configuration revision in force on it.
    pub revision: u64,
    /// The version of its copy of the maintenance ledger.
    pub ledger: u64,
    /// Whether it has recently received an answer from the store.
    pub store_reachable: bool,
    /// Whether it drains, so that it accepts no new requests.
    pub draining: bool,
    /// Names of the leaving hosts that still run work of this entry host.
    pub residents: BTreeSet<String>,
    /// Names of the hosts to which it sends no work because they fail.
    pub ejected: BTreeSet<String>,
    /// When its last heartbeat was received, on the local clock.
    pub last_heard: Instant,
}

/// The entry hosts from which one entry host has received heartbeats.
///
/// Rosters of different entry hosts may differ for a while, so nothing that must be safe
/// depends on them: a roster serves to divide endpoint slots, spread usage, and choose a
/// relay and a planner.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use rhubarbrill_core::member::{Member, Peer, Roster};
/// use rhubarbrill_core::time::Instant;
///
/// let this = Member { entry: "b".into(), zone: "z1".into(), incarnation: 1 };
/// let mut roster = Roster::new(this.clone(), Duration::from_secs(1));
/// let peer = Peer {
///     member: Member { entry: "a".into(), ..this },
///     address: "127.0.0.1:9".parse().unwrap(),
///     revision: 0,
///     ledger: 0,
///     store_reachable: true,
///     draining: false,
///     residents: Default::default(),
///     ejected: Default::default(),
///     last_heard: Instant::ZERO,
/// };
/// roster.record_heartbeat(peer);
/// assert!(!roster.is_relay(Instant::from_millis(500), true));
/// assert!(roster.is_relay(Instant::from_millis(1_500), true));
/// ```
#[derive(Clone, Debug)]
pub struct Roster {
    this: Member,
    timeout: Duration,
    peers: BTreeMap<String, Peer>,
}

impl Roster {
    /// Returns the roster of an entry host that hasn't heard from any peer.
    ///
    /// A peer counts as live for `timeout` after its last heartbeat.
    pub const fn new(this: Member, timeout: Duration) -> Self {
        Self {
            this,
            timeout,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the member that owns the roster.
    pub const fn this(&self) -> &Member {
        &self.this
    }

    /// Records a heartbeat of a peer.
    ///
    /// Ignores heartbeats of an earlier incarnation, heartbeats older than the last known
    /// one, and those of the entry host itself.
    pub fn record_heartbeat(&mut self, peer: Peer) {
        if peer.member.entry == self.this.entry {
            return;
        }
        let known = self.peers.get(&peer.member.entry);
        let is_older = known.is_some_and(|known| {
            known.member.incarnation > peer.member.incarnation
                || known.last_heard > peer.last_heard
        });
        if !is_older {
            self.peers.insert(peer.member.entry.clone(), peer);
        }
    }

    /// Removes peers whose last heartbeat is at least `age` old.
    pub fn forget(&mut self, now: Instant, age: Duration) {
        self.peers
            .retain(|_, peer| now.saturating_since(peer.last_heard) < age);
    }

    /// Returns the peer with that entry host name.
    pub fn peer(&self, entry: &str) -> Option<&Peer> {
        self.peers.get(entry)
    }

    /// Returns every known peer, live or not, sorted by name.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the live peers, sorted by name.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| self.is_live(peer, now))
    }

    /// Returns whether a peer's last heartbeat is at most the timeout old.
    pub fn is_live(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_since(peer.last_heard) <= self.timeout
    }

    /// Returns whether this entry host is the relay that watches the store for its zone.
    ///
    /// The relay is the first live entry host of the zone by name that reaches the store,
    /// or the first by name if none does; draining peers don't count. A zone may have two
    /// relays for a while, which costs additional store calls but does no harm.
    pub fn is_relay(&self, now: Instant, store_reachable: bool) -> bool {
        let is_preceded = self
            .live(now)
            .filter(|peer| peer.member.zone == self.this.zone && !peer.draining)
            .any(|peer| {
                let before = peer.member.entry < self.this.entry;
                match (peer.store_reachable, store_reachable) {
                    (true, true) | (false, false) => before,
                    (peer_reaches, _) => peer_reaches,
                }
            });
        !is_preceded
    }

    /// Returns whether this entry host plans the maintenance of the fleet.
    ///
    /// The planner is the first live entry host by zone and name that reaches the store;
    /// draining peers don't count. There may be two planners for a while, which is safe:
    /// the ledger rejects decisions that were made from an outdated copy.
    pub fn is_planner(&self, now: Instant, store_reachable: bool) -> bool {
        let rank = |member: &Member| (member.zone.clone(), member.entry.clone());
        let this = rank(&self.this);
        let mut candidates = self
            .live(now)
            .filter(|peer| peer.store_reachable && !peer.draining);
        store_reachable && !candidates.any(|peer| rank(&peer.member) < this)
    }

    /// Returns the live peers with a newer configuration revision or maintenance ledger.
    pub fn peers_ahead(
        &self,
        now: Instant,
        revision: u64,
        ledger: u64,
    ) -> impl Iterator<Item = &Peer> {
        self.live(now)
            .filter(move |peer| peer.revision > revision || peer.ledger > ledger)
    }
}
