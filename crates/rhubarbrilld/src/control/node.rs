//! State of one entry host that its threads and tasks share.

mod freshness;
mod heartbeat;
mod loans;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::gate::{Members, Outbox, Usage};
use rhubarbrill_core::maintenance::Freshness;
use rhubarbrill_core::member::{Member, Peer, Roster};
use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use rhubarbrill_peer::{Handler, Heartbeat, Load, Transfer, TransferRequest};
use slog::Logger;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::applied_state::{AppliedState, ApplyError};
use super::claim::Claims;
use crate::config::{ActiveRevision, Revision};
use crate::engine::Engine;
use crate::log;
use crate::metrics::Metrics;

/// Silence after which a peer is removed from the roster.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Maximum number of candidate addresses of peers.
const MAX_CANDIDATES: usize = 512;

/// The components of a [`Node`].
#[derive(Debug)]
pub struct Parts {
    /// The entry host and the incarnation of its process.
    pub member: Member,
    /// Address at which the entry host accepts calls from peers.
    pub address: SocketAddr,
    /// Silence after which a peer is no longer considered live.
    pub peer_timeout: Duration,
    /// Time without contact to the store after which the configuration may be outdated.
    pub stale_after: Duration,
    /// The engine that admits and schedules requests.
    pub engine: Arc<Engine>,
    /// The configuration revision that requests are answered by.
    pub active_revision: Arc<ActiveRevision>,
    /// Metrics that the operators' address exposes.
    pub metrics: Arc<Metrics>,
    /// Logger of the daemon.
    pub log: Logger,
}

/// State of one entry host that its threads and tasks share.
#[derive(Debug)]
pub struct Node {
    parts: Parts,
    claims: Arc<Claims>,
    applied: Mutex<AppliedState>,
    roster: Mutex<Roster>,
    live: Mutex<Vec<Member>>,
    loans: Mutex<Outbox>,
    /// Addresses of possible peers, as reported by other peers or found in the store.
    candidates: Mutex<BTreeSet<SocketAddr>>,
    store_reachable: AtomicBool,
    draining: AtomicBool,
    /// When the store, or a peer that reaches it, last answered.
    last_contact: Mutex<Instant>,
    freshness: Mutex<Freshness>,
    /// Whether every known peer was asked once for newer versions.
    caught_up: watch::Sender<bool>,
    /// Whether every allowance record was reconciled once.
    allowances_ready: watch::Sender<bool>,
    /// Cancelled when another process has replaced this one.
    replaced: CancellationToken,
    /// Wakes the heartbeat task to send a change to peers at once.
    pub(super) heartbeat_due: Notify,
    /// Wakes the transfer task when a peer has a newer version.
    pub(super) transfer_due: Notify,
}

impl Node {
    /// Returns a node without configuration and without peers.
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

    /// Returns the entry host and the incarnation of its process.
    pub const fn member(&self) -> &Member {
        &self.parts.member
    }

    /// Returns the address at which the entry host accepts calls from peers.
    pub const fn address(&self) -> SocketAddr {
        self.parts.address
    }

    /// Returns the engine that admits and schedules requests.
    pub const fn engine(&self) -> &Arc<Engine> {
        &self.parts.engine
    }

    /// Returns the claims of requests that must run at most once.
    pub const fn claims(&self) -> &Arc<Claims> {
        &self.claims
    }

    /// Returns the metrics of this entry host.
    pub fn metrics(&self) -> &Metrics {
        &self.parts.metrics
    }

    /// Returns the logger of the daemon.
    pub const fn log(&self) -> &Logger {
        &self.parts.log
    }

    /// Returns the configuration revision that requests are answered by.
    pub fn revision(&self) -> Arc<Revision> {
        self.parts.active_revision.get()
    }

    /// Calls `read` with the applied configuration and ledger, under their lock.
    pub fn with_applied<R>(&self, read: impl FnOnce(&AppliedState) -> R) -> R {
        read(&lock(&self.applied))
    }

    /// Calls `read` with the roster of peers, under its lock.
    pub fn roster<R>(&self, read: impl FnOnce(&Roster) -> R) -> R {
        read(&lock(&self.roster))
    }

    /// Changes the applied configuration or ledger. If a version has increased, requests
    /// are answered by it from now on and peers are notified.
    ///
    /// # Errors
    ///
    /// Returns the [`ApplyError`] of `apply`.
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

    /// Returns whether the store answered the latest registration or lease renewal.
    pub fn store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Records whether the store answers, and logs a change.
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

    /// Returns whether the configuration may be outdated: neither the store nor a peer
    /// that reaches it has answered for longer than `stale_after`.
    pub fn is_disconnected(&self) -> bool {
        let now = self.engine().clock().now();
        now.saturating_since(*lock(&self.last_contact)) > self.parts.stale_after
    }

    fn record_contact(&self) {
        *lock(&self.last_contact) = self.engine().clock().now();
    }

    /// Returns whether the entry host is draining and accepts no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts to drain: the entry host accepts no new requests and notifies its peers.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.heartbeat_due.notify_one();
    }

    /// Waits until all allowance records were reconciled once, so that this entry host
    /// has requested its units of the workspaces' limits.
    pub async fn allowances_ready(&self) {
        // The sender lives as long as the node, so the wait can't fail.
        let _ = self
            .allowances_ready
            .subscribe()
            .wait_for(|allowances_ready| *allowances_ready)
            .await;
    }

    /// Records that every allowance record was reconciled once.
    pub(super) fn set_allowances_ready(&self) {
        self.allowances_ready.send_replace(true);
    }

    /// Records that another process has replaced this one, which therefore must exit.
    pub fn set_replaced(&self) {
        if !self.replaced.is_cancelled() {
            log::event(self.log(), Event::Replaced, "");
            self.replaced.cancel();
        }
    }

    /// Waits until another process has replaced this one.
    pub async fn replaced(&self) {
        self.replaced.cancelled().await;
    }

    /// Waits until every known peer was asked once for newer versions.
    ///
    /// A starting process may read an old configuration from a store replica that lags
    /// behind. Its peers send it newer versions before it accepts requests.
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

    /// Records that every known peer was asked once and that no live peer has a newer
    /// version.
    pub(super) fn set_caught_up(&self) {
        self.caught_up.send_replace(true);
    }

    /// Returns whether this entry host is the relay that watches the store for its zone.
    pub fn is_relay(&self) -> bool {
        let now = self.engine().clock().now();
        self.roster(|roster| roster.is_relay(now, self.store_reachable()))
    }

    /// Processes a heartbeat of a peer.
    pub fn receive_heartbeat(&self, beat: Heartbeat) {
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

    /// Adds candidate addresses of peers, up to `MAX_CANDIDATES`.
    pub fn add_candidates(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut candidates = lock(&self.candidates);
        for address in addresses {
            if candidates.len() < MAX_CANDIDATES {
                candidates.insert(address);
            }
        }
    }

    /// Removes a candidate address that doesn't answer. Live peers report it again if a
    /// peer does answer there.
    pub(super) fn remove_candidate(&self, address: SocketAddr) {
        lock(&self.candidates).remove(&address);
    }

    /// Returns the addresses of all known peers and all candidate addresses.
    pub(super) fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses = lock(&self.candidates).clone();
        self.roster(|roster| addresses.extend(roster.peers().map(|peer| peer.address)));
        addresses
    }

    /// Passes the live entry hosts to the gate if they have changed, so that endpoint
    /// slots are divided among them again.
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

    /// Returns the applied configuration revision and the generation of the applied
    /// ledger.
    pub fn versions(&self) -> (u64, u64) {
        self.with_applied(|applied| {
            (applied.fleet().revision, applied.ledger().generation())
        })
    }

    fn apply_loads(&self, beat: &Heartbeat) {
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

    /// Returns whether this entry host plans maintenance for the fleet.
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
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat {
        let entry = beat.member.entry.clone();
        self.receive_heartbeat(beat);
        self.heartbeat_for(&entry)
    }

    fn transfer(&self, want: TransferRequest) -> Transfer {
        self.with_applied(|applied| applied.transfer(want))
    }

    fn call_refused(&self) {
        self.metrics().record_peer_refusal();
        log::event(
            self.log(),
            Event::PeerRefused,
            "call without the shared secret",
        );
    }
}

fn usage(fleet: &Fleet, load: &Load) -> Option<Usage> {
    Some(Usage {
        workspace: fleet.workspaces.find(&load.workspace)?,
        pool: fleet.pools.find(&load.pool)?,
        running: load.running,
        waiting: load.waiting,
        run_time: load.run_time_ms.map(Duration::from_millis),
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
