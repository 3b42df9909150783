//! The state that the tasks of one entry host share.

mod freshness;
mod heartbeat;
mod loans;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::gate::{Members, Usage};
use rhubarbrill_core::maintenance::Freshness;
use rhubarbrill_core::member::{Member, Peer, Roster};
use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use rhubarbrill_peer::{Beat, Handler, Load, Transfer, Want};
use slog::Logger;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::applied_state::{AppliedState, ApplyError};
use super::claim::Claims;
use crate::config::{ActiveRevision, Revision};
use crate::engine::Engine;
use crate::log;
use crate::metrics::Metrics;

/// Silence after which a peer is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Most addresses that are kept on the word of others.
const MAX_CANDIDATES: usize = 512;

/// What a node is made of.
#[derive(Debug)]
pub struct Parts {
    /// The entry host and the run of its process.
    pub member: Member,
    /// Where it answers peers.
    pub address: SocketAddr,
    /// Silence after which a peer no longer counts as live.
    pub peer_timeout: Duration,
    /// Time without word of the store after which the configuration may be out of date.
    pub stale_after: Duration,
    /// The gate.
    pub engine: Arc<Engine>,
    /// The configuration that requests are answered by.
    pub active_revision: Arc<ActiveRevision>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Log.
    pub log: Logger,
}

/// The state that the tasks of one entry host share.
#[derive(Debug)]
pub struct Node {
    parts: Parts,
    claims: Arc<Claims>,
    applied: Mutex<AppliedState>,
    roster: Mutex<Roster>,
    live: Mutex<Vec<Member>>,
    loans: Mutex<loans::Outbox>,
    /// Addresses at which others say that peers answer.
    candidates: Mutex<BTreeSet<SocketAddr>>,
    store_reachable: AtomicBool,
    draining: AtomicBool,
    /// When the store, or a peer that reaches it, was last heard from.
    last_contact: Mutex<Instant>,
    freshness: Mutex<Freshness>,
    /// Whether every known peer was asked once for something newer.
    caught_up: watch::Sender<bool>,
    /// Whether every record of allowances was settled once.
    allowances_ready: watch::Sender<bool>,
    /// Cancelled when another process has taken this one's place.
    replaced: CancellationToken,
    /// Tells the heartbeat task that peers should hear of news at once.
    pub(super) heartbeat_due: Notify,
    /// Tells the transfer task that a peer has something newer.
    pub(super) transfer_due: Notify,
}

impl Node {
    /// Returns a node without configuration and peers.
    pub fn new(parts: Parts) -> Self {
        let roster = Roster::new(parts.member.clone(), parts.peer_timeout);
        let clock = parts.engine.clock();
        let last_contact = Mutex::new(clock.now());
        let freshness = Mutex::new(Freshness::new(clock.now()));
        Self {
            claims: Arc::new(Claims::new(parts.member.clone(), clock)),
            parts,
            applied: Mutex::default(),
            roster: Mutex::new(roster),
            live: Mutex::default(),
            loans: Mutex::default(),
            candidates: Mutex::default(),
            store_reachable: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            last_contact,
            freshness,
            caught_up: watch::Sender::new(false),
            allowances_ready: watch::Sender::new(false),
            replaced: CancellationToken::new(),
            heartbeat_due: Notify::new(),
            transfer_due: Notify::new(),
        }
    }

    /// Returns the entry host and the run of its process.
    pub const fn member(&self) -> &Member {
        &self.parts.member
    }

    /// Returns where the entry host answers peers.
    pub const fn address(&self) -> SocketAddr {
        self.parts.address
    }

    /// Returns the gate.
    pub const fn engine(&self) -> &Arc<Engine> {
        &self.parts.engine
    }

    /// Returns the claims of requests that must run at most once.
    pub const fn claims(&self) -> &Arc<Claims> {
        &self.claims
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.parts.metrics
    }

    /// Returns the log.
    pub const fn log(&self) -> &Logger {
        &self.parts.log
    }

    /// Returns the configuration that requests are answered by.
    pub fn revision(&self) -> Arc<Revision> {
        self.parts.active_revision.get()
    }

    /// Looks at the configuration and ledger in force.
    pub fn with_applied<R>(&self, read: impl FnOnce(&AppliedState) -> R) -> R {
        read(&lock(&self.applied))
    }

    /// Looks at the roster of peers.
    pub fn roster<R>(&self, read: impl FnOnce(&Roster) -> R) -> R {
        read(&lock(&self.roster))
    }

    /// Offers something newer and, if it was, answers requests by it.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] when what was offered is not put in force.
    pub fn apply(
        &self,
        apply: impl FnOnce(&mut AppliedState) -> Result<(), ApplyError>,
    ) -> Result<(), ApplyError> {
        let mut applied = lock(&self.applied);
        let before = (applied.fleet().revision, applied.ledger().generation());
        let result = apply(&mut applied);
        let after = (applied.fleet().revision, applied.ledger().generation());
        if before != after {
            self.publish(&applied);
        }
        drop(applied);
        if before != after {
            log::event(self.log(), Event::RevisionInForce, after.0);
            self.heartbeat_due.notify_one();
        }
        if let Err(error) = &result {
            log::event(self.log(), Event::RevisionRefused, error);
        }
        result
    }

    /// Returns whether the store has answered lately.
    pub fn store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Records whether the store answers.
    pub fn set_store_reachable(&self, reachable: bool) {
        let before = self.store_reachable.swap(reachable, Ordering::Relaxed);
        if reachable {
            self.record_contact();
        }
        match (before, reachable) {
            (true, false) => log::event(self.log(), Event::StoreUnreachable, ""),
            (false, true) => log::event(self.log(), Event::StoreReachable, ""),
            _ => {}
        }
    }

    /// Returns whether the configuration may be out of date: neither the store nor a peer
    /// that reaches it has been heard from for long.
    pub fn is_disconnected(&self) -> bool {
        let now = self.engine().clock().now();
        now.saturating_since(*lock(&self.last_contact)) > self.parts.stale_after
    }

    fn record_contact(&self) {
        *lock(&self.last_contact) = self.engine().clock().now();
    }

    /// Returns whether the entry host takes no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Takes no new requests from now on, and lets the peers know.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.heartbeat_due.notify_one();
    }

    /// Waits until the entry host has asked for its units of the workspaces' limits once.
    pub async fn allowances_ready(&self) {
        // The sender lives as long as the node, so the wait can't fail.
        let _ = self
            .allowances_ready
            .subscribe()
            .wait_for(|allowances_ready| *allowances_ready)
            .await;
    }

    /// Records that every record of allowances was settled once.
    pub(super) fn set_allowances_ready(&self) {
        self.allowances_ready.send_replace(true);
    }

    /// Notes that another process has taken this one's place, so that it must end.
    pub fn set_replaced(&self) {
        if !self.replaced.is_cancelled() {
            log::event(self.log(), Event::Replaced, "");
            self.replaced.cancel();
        }
    }

    /// Waits until another process has taken this one's place.
    pub async fn replaced(&self) {
        self.replaced.cancelled().await;
    }

    /// Waits until every known peer was asked once for something newer.
    ///
    /// A process that starts may read an old configuration from a store that lags. Its
    /// peers tell it of a newer one before it takes requests.
    pub async fn caught_up(&self) {
        // The sender lives as long as the node, so the wait can't fail.
        let _ = self
            .caught_up
            .subscribe()
            .wait_for(|caught_up| *caught_up)
            .await;
    }

    pub(super) fn is_caught_up(&self) -> bool {
        *self.caught_up.borrow()
    }

    /// Records that every known peer was asked once and, if newer, fetched from.
    pub(super) fn set_caught_up(&self) {
        self.caught_up.send_replace(true);
    }

    /// Returns whether the entry host watches the store for its zone.
    pub fn is_relay(&self) -> bool {
        let now = self.engine().clock().now();
        self.roster(|roster| roster.is_relay(now, self.store_reachable()))
    }

    /// Takes a peer's heartbeat in.
    pub fn receive_heartbeat(&self, beat: Beat) {
        let now = self.engine().clock().now();
        self.add_candidates(beat.known.iter().copied());
        self.apply_loads(&beat);
        self.borrow(&beat.slots);
        if beat.store_reachable {
            self.record_contact();
        }
        let peer = Peer {
            member: beat.member,
            address: beat.address,
            revision: beat.revision,
            ledger: beat.ledger,
            store_reachable: beat.store_reachable,
            draining: beat.draining,
            residents: beat.residents.into_iter().map(|one| one.host).collect(),
            ejected: beat.ejected.into_iter().collect(),
            last_heard: now,
        };
        lock(&self.roster).record_heartbeat(peer);
        self.refresh_members();
        if self.is_behind() {
            self.transfer_due.notify_one();
        }
    }

    /// Takes in addresses at which others say that peers answer.
    pub fn add_candidates(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut candidates = lock(&self.candidates);
        for address in addresses {
            if candidates.len() < MAX_CANDIDATES {
                candidates.insert(address);
            }
        }
    }

    /// Drops a candidates address at which nobody answers; live peers suggest it again if
    /// somebody does.
    pub(super) fn remove_candidate(&self, address: SocketAddr) {
        lock(&self.candidates).remove(&address);
    }

    /// Returns every address at which a peer is known or said to answer.
    pub(super) fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses = lock(&self.candidates).clone();
        self.roster(|roster| addresses.extend(roster.peers().map(|peer| peer.address)));
        addresses
    }

    /// Divides endpoint slots anew when the live entry hosts have changed.
    pub fn refresh_members(&self) {
        let now = self.engine().clock().now();
        lock(&self.roster).forget(now, FORGET_AFTER);
        let now_live: Vec<Member> = self
            .roster(|roster| roster.live(now).map(|peer| peer.member.clone()).collect());
        let mut live = lock(&self.live);
        if *live == now_live {
            return;
        }
        self.log_changes(&live, &now_live);
        live.clone_from(&now_live);
        drop(live);
        let members = Members {
            this: self.member().clone(),
            live: now_live,
        };
        self.engine().change(|gate, _| gate.set_members(members));
    }

    fn log_changes(&self, before: &[Member], after: &[Member]) {
        for member in after.iter().filter(|member| !before.contains(member)) {
            log::event(self.log(), Event::PeerUp, &member.entry);
        }
        for member in before.iter().filter(|member| !after.contains(member)) {
            log::event(self.log(), Event::PeerDown, &member.entry);
        }
    }

    pub(super) fn is_behind(&self) -> bool {
        let now = self.engine().clock().now();
        let (revision, ledger) = self.versions();
        self.roster(|roster| roster.peers_ahead(now, revision, ledger).next().is_some())
    }

    /// Returns the numbers of the revision and the ledger in force.
    pub fn versions(&self) -> (u64, u64) {
        self.with_applied(|applied| {
            (applied.fleet().revision, applied.ledger().generation())
        })
    }

    fn apply_loads(&self, beat: &Beat) {
        let revision = self.revision();
        let fleet = &revision.fleet;
        let usage = beat
            .loads
            .iter()
            .filter_map(|load| usage(fleet, load))
            .collect();
        let entry = beat.member.entry.as_str();
        self.engine()
            .change(|gate, now| gate.apply_usage_report(now, entry, usage));
    }

    /// Returns whether the entry host plans maintenance for the fleet.
    pub fn is_planner(&self) -> bool {
        let now = self.engine().clock().now();
        self.roster(|roster| roster.is_planner(now, self.store_reachable()))
    }

    fn publish(&self, applied: &AppliedState) {
        let revision = Arc::new(Revision::new(applied.fleet().clone()));
        self.parts.active_revision.advance(Arc::clone(&revision));
        self.engine()
            .reconfigure(applied.fleet(), &applied.placement());
    }
}

impl Handler for Node {
    fn beat(&self, beat: Beat) -> Beat {
        let entry = beat.member.entry.clone();
        self.receive_heartbeat(beat);
        self.heartbeat_for(&entry)
    }

    fn transfer(&self, want: Want) -> Transfer {
        self.with_applied(|applied| applied.transfer(want))
    }

    fn refused(&self) {
        self.metrics().record_peer_refusal();
        log::event(self.log(), Event::PeerRefused, "without the shared secret");
    }
}

fn usage(fleet: &Fleet, load: &Load) -> Option<Usage> {
    Some(Usage {
        workspace: fleet.workspaces.find(&load.workspace)?,
        pool: fleet.pools.find(&load.pool)?,
        running: load.running,
        waiting: load.waiting,
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
