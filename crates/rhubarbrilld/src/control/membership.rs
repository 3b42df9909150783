//! Registers the entry host as a member in the store, under a lease.

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

/// Key prefix of the member records.
pub const PREFIX: &str = "member/";

/// Number of times that the lease is renewed within its TTL.
const RENEWALS_PER_TTL: u32 = 4;

/// Divisor for the part of the TTL that is subtracted as a safety margin.
///
/// The clocks of the store and of this process may run at slightly different rates.
const LEASE_MARGIN_DIVISOR: u32 = 10;

/// Pause after a failed call to the store, or after this process was replaced.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Number of attempts to write a member record that is changed concurrently.
const MAX_ATTEMPTS: u32 = 5;

/// A member record as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The entry host and the incarnation of its process.
    pub member: Member,
    /// Address at which the entry host accepts calls from peers.
    pub address: SocketAddr,
}

/// Keeps the member record and its lease alive.
#[derive(Debug)]
pub struct Membership {
    node: Arc<Node>,
    store: Arc<FleetStore>,
    ttl: Duration,
    lease: Option<Lease>,
    /// Whether this process has registered before.
    has_registered: bool,
}

/// State of the registration in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Registration {
    /// The member record belongs to this process, under this lease.
    Registered(Lease),
    /// The lease has expired or the record is gone.
    Ended,
    /// Another process of the same entry host has replaced the record.
    Replaced,
}

impl Membership {
    /// Returns a membership that has not registered yet.
    pub const fn new(node: Arc<Node>, store: Arc<FleetStore>, ttl: Duration) -> Self {
        Self {
            node,
            store,
            ttl,
            lease: None,
            has_registered: false,
        }
    }

    /// Registers the member or renews its lease; returns the pause before the next call.
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
            // Registers again without delay.
            Ok(Registration::Ended) => Duration::ZERO,
            Ok(Registration::Replaced) => {
                self.node.set_replaced();
                RETRY_PAUSE
            }
            Err(error) => {
                slog::debug!(self.node.log(), "failed to renew the lease";
                    "error" => %error);
                RETRY_PAUSE
            }
        }
    }

    /// Revokes the lease, which deletes the member record.
    pub fn leave(&mut self) {
        if let Some(lease) = self.lease.take() {
            // If the call fails, the lease expires by itself.
            let _ = self.store.revoke(lease);
        }
    }

    /// Reads the addresses of peers from their member records.
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
        // The lease stays valid when a replacement process overwrites the record, so the
        // record is checked as well.
        match self.store.get(&self.key())? {
            Some(entry) if self.is_own(&entry) => Ok(Registration::Registered(lease)),
            Some(_) => Ok(Registration::Replaced),
            None => {
                self.lease = None;
                Ok(Registration::Ended)
            }
        }
    }

    /// Writes the member record. A record of another process is overwritten only at the
    /// first registration of this process.
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
        Err(Error::refused(
            "the member record was changed concurrently at every attempt",
        ))
    }

    fn key(&self) -> String {
        let member = self.node.member();
        format!("{PREFIX}{}/{}", member.zone, member.entry)
    }

    fn is_own(&self, entry: &Entry) -> bool {
        let found: Result<MemberRecord, _> = serde_json::from_slice(&entry.value);
        found.is_ok_and(|found| found.member == *self.node.member())
    }

    /// Tells the allowance holder how long the lease is guaranteed to be valid.
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

/// Registers the member and renews its lease until cancelled, then revokes the lease.
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
