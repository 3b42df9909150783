//! The entry host's member record, under a lease in the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_core::allowance;
use rhubarbrill_core::member::Member;
use rhubarbrill_edge::Error;
use rhubarbrill_edge::store::{Entry, Expect, Lease, Store, Swap, Swapped};
use rhubarbrill_event::Event;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use super::store::FleetStore;
use super::{Node, worker};
use crate::log;

/// Prefix of the member records.
pub const PREFIX: &str = "member/";

/// Renewals in one ttl of the lease.
const RENEWALS_PER_TTL: u32 = 4;

/// Part of a ttl that is left out of what is certain, as a divisor.
///
/// Clocks of the store and of this process may run at slightly different rates.
const LEASE_MARGIN_DIVISOR: u32 = 10;

/// Pause after the store gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Tries to replace a member record that others change meanwhile.
const MAX_ATTEMPTS: u32 = 5;

/// The content of a member record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The entry host and the run of its process.
    pub member: Member,
    /// Where it answers peers.
    pub address: SocketAddr,
}

/// Keeps the member record and its lease.
#[derive(Debug)]
pub struct Membership {
    node: Arc<Node>,
    store: Arc<FleetStore>,
    ttl: Duration,
    lease: Option<Lease>,
    /// Whether this process has been registered before.
    has_registered: bool,
}

/// What became of the registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Registration {
    /// The record is this process's own, under this lease.
    Registered(Lease),
    /// The lease has ended.
    Ended,
    /// Another process has taken the record over.
    Replaced,
}

impl Membership {
    /// Returns a membership that is not registered yet.
    pub const fn new(node: Arc<Node>, store: Arc<FleetStore>, ttl: Duration) -> Self {
        Self {
            node,
            store,
            ttl,
            lease: None,
            has_registered: false,
        }
    }

    /// Renews the lease or registers; returns the pause until the next time.
    pub fn step(&mut self) -> Duration {
        let requested_at = self.node.engine().clock().now();
        let registration = match self.lease {
            Some(lease) => self.renew(lease),
            None => self.register(),
        };
        self.node.set_store_reachable(registration.is_ok());
        match registration {
            Ok(Registration::Registered(lease)) => {
                self.update_lease(lease, requested_at);
                self.ttl / RENEWALS_PER_TTL
            }
            // Register at once.
            Ok(Registration::Ended) => Duration::ZERO,
            Ok(Registration::Replaced) => {
                self.node.set_replaced();
                RETRY_PAUSE
            }
            Err(error) => {
                slog::debug!(self.node.log(), "lease not renewed"; "error" => %error);
                RETRY_PAUSE
            }
        }
    }

    /// Ends the lease, which deletes the record.
    pub fn leave(&mut self) {
        if let Some(lease) = self.lease.take() {
            // A lease that can't be ended now ends by itself.
            let _ = self.store.revoke(lease);
        }
    }

    /// Learns from the store where the peers answer.
    fn find_peers(&self) -> Result<(), Error> {
        let listing = self.store.list(PREFIX)?;
        let records = listing.entries.iter();
        let found = records.filter_map(|entry| {
            let record: MemberRecord = serde_json::from_slice(&entry.value).ok()?;
            Some(record.address)
        });
        self.node.add_candidates(found);
        Ok(())
    }

    fn renew(&mut self, lease: Lease) -> Result<Registration, Error> {
        if !self.store.renew(lease)? {
            self.lease = None;
            log::event(self.node.log(), Event::LeaseLost, "");
            return Ok(Registration::Ended);
        }
        // The lease outlasts the record when a replacement writes over it.
        match self.store.get(&self.key())? {
            Some(entry) if self.is_own(&entry) => Ok(Registration::Registered(lease)),
            Some(_) => Ok(Registration::Replaced),
            None => {
                self.lease = None;
                Ok(Registration::Ended)
            }
        }
    }

    /// Writes the record, over a predecessor's only when the process starts.
    fn register(&mut self) -> Result<Registration, Error> {
        let lease = self.store.grant(self.ttl)?;
        let record = MemberRecord {
            member: self.node.member().clone(),
            address: self.node.address(),
        };
        let value = serde_json::to_vec(&record)
            .map_err(|error| Error::refused(error.to_string()))?;
        let mut expect = Expect::Absent;
        for _ in 0..MAX_ATTEMPTS {
            let swap = Swap {
                key: self.key(),
                expect,
                value: Some(value.clone()),
                lease: Some(lease),
            };
            match self.store.swap(swap)? {
                Swapped::Done(_) => {
                    self.lease = Some(lease);
                    self.has_registered = true;
                    self.find_peers()?;
                    return Ok(Registration::Registered(lease));
                }
                Swapped::Conflict(Some(entry))
                    if self.has_registered && !self.is_own(&entry) =>
                {
                    return Ok(Registration::Replaced);
                }
                Swapped::Conflict(Some(entry)) => expect = Expect::Version(entry.version),
                Swapped::Conflict(None) => expect = Expect::Absent,
            }
        }
        Err(Error::refused("the member record changes too often"))
    }

    fn key(&self) -> String {
        let member = self.node.member();
        format!("{PREFIX}{}/{}", member.zone, member.entry)
    }

    fn is_own(&self, entry: &Entry) -> bool {
        let found: Result<MemberRecord, _> = serde_json::from_slice(&entry.value);
        found.is_ok_and(|found| found.member == *self.node.member())
    }

    /// Tells the allowances how long the lease is certain to hold.
    fn update_lease(&self, lease: Lease, renewed: rhubarbrill_core::time::Instant) {
        let valid_for = self.ttl - self.ttl / LEASE_MARGIN_DIVISOR;
        let lease = allowance::Lease {
            id: lease.0,
            renewed,
            valid_for,
        };
        self.node
            .engine()
            .change(|gate, now| gate.holder_mut().set_lease(lease, now));
    }
}

/// Registers and renews until cancelled, then ends the lease.
pub fn run(
    node: Arc<Node>,
    store: Arc<FleetStore>,
    ttl: Duration,
    cancel: &CancellationToken,
) {
    let mut membership = Membership::new(node, store, ttl);
    while !cancel.is_cancelled() {
        let pause = membership.step();
        worker::sleep(pause, cancel);
    }
    membership.leave();
}
