//! The entry hosts that one entry host has heard from.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Member;
use crate::time::Instant;

/// What is known of another entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The entry host and the run of its process.
    pub member: Member,
    /// Where it answers peers.
    pub address: SocketAddr,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Version of its maintenance ledger.
    pub ledger: u64,
    /// Whether it has heard from the store lately.
    pub store_reachable: bool,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Leaving hosts that still run work of it.
    pub residents: BTreeSet<String>,
    /// Hosts that it sends no work since they fail.
    pub ejected: BTreeSet<String>,
    /// When it was last heard from.
    pub last_heard: Instant,
}

/// The entry hosts that one entry host has heard from, and where others may be.
///
/// Membership decides nothing that must be safe: it divides endpoint slots, spreads
/// usage and names a relay. Two rosters may differ for a while.
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
    /// Returns a roster that knows only the entry host itself.
    ///
    /// A peer counts as live for `timeout` after it was last heard from.
    pub const fn new(this: Member, timeout: Duration) -> Self {
        Self {
            this,
            timeout,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the entry host itself.
    pub const fn this(&self) -> &Member {
        &self.this
    }

    /// Records what a peer said of itself.
    ///
    /// A message from an earlier run of a replaced process is passed over.
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

    /// Forgets peers that have been silent for `age`.
    pub fn forget(&mut self, now: Instant, age: Duration) {
        self.peers
            .retain(|_, peer| now.saturating_since(peer.last_heard) < age);
    }

    /// Returns the peer of that name.
    pub fn peer(&self, entry: &str) -> Option<&Peer> {
        self.peers.get(entry)
    }

    /// Returns every known peer, live or not, in order of name.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the peers heard from lately, in order of name.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| self.is_live(peer, now))
    }

    /// Returns whether a peer was heard from lately.
    pub fn is_live(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_since(peer.last_heard) <= self.timeout
    }

    /// Returns whether the entry host watches the store for its zone.
    ///
    /// The first live one of the zone by name that reaches the store does. Two may for a
    /// while, which costs calls and does no harm.
    pub fn is_relay(&self, now: Instant, store_reachable: bool) -> bool {
        let ahead = self
            .live(now)
            .filter(|peer| peer.member.zone == self.this.zone && !peer.draining)
            .any(|peer| {
                let before = peer.member.entry < self.this.entry;
                match (peer.store_reachable, store_reachable) {
                    (true, true) | (false, false) => before,
                    (peer_reaches, _) => peer_reaches,
                }
            });
        !ahead
    }

    /// Returns whether the entry host plans maintenance for the fleet.
    ///
    /// The first live one by zone and name that reaches the store does. Two may for a
    /// while: the ledger refuses what either decided on an outdated copy.
    pub fn is_planner(&self, now: Instant, store_reachable: bool) -> bool {
        let rank = |member: &Member| (member.zone.clone(), member.entry.clone());
        let this = rank(&self.this);
        let mut able = self
            .live(now)
            .filter(|peer| peer.store_reachable && !peer.draining);
        store_reachable && !able.any(|peer| rank(&peer.member) < this)
    }

    /// Returns the live peers with a newer configuration or ledger.
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
