//! Admission control, fair queuing and routing of requests at one entry host.
//!
//! A [`Gate`] admits requests, rejects at once those that can't start in time, and
//! decides which request starts next and at which endpoint. Its caller carries these
//! decisions out: after every event it calls [`Gate::next_start`] until it returns
//! `None`, and right before it sends the first byte of a request it calls
//! [`Gate::may_send`].

mod admit;
mod completion;
mod expire;
mod fleet;
mod forecast;
mod linger;
mod loan;
mod outbox;
mod pool;
mod refusal;
mod request;
mod start;
mod usage;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::{SecondaryMap, SlotMap};

pub use fleet::Members;
pub use loan::Loan;
pub use outbox::Outbox;
pub use refusal::{Expired, Reason, Refusal, Retry};
pub use request::{Class, Outcome, Start, Status, Submission, Ticket};
pub use usage::Usage;

use crate::allowance::Holder;
use crate::fleet::{HostKey, PoolKey, QueueKey, WorkspaceKey};
use crate::health::Monitor;
use crate::route::{Peer, SlotDivider, Table};
use crate::time::Instant;
use fleet::QueueState;
use pool::PoolState;
use request::Request;

/// Options of a [`Gate`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    seed: u64,
    urgent_start: Duration,
    usage_ttl: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 0,
            urgent_start: Duration::from_millis(5_300),
            usage_ttl: Duration::from_secs(3),
        }
    }
}

impl Options {
    /// Sets the seed of random choices, which should differ between entry hosts.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the maximum expected wait at which urgent requests are admitted.
    pub fn urgent_start(mut self, wait: Duration) -> Self {
        self.urgent_start = wait;
        self
    }

    /// Sets how long a usage report of another entry host is valid.
    pub fn usage_ttl(mut self, ttl: Duration) -> Self {
        self.usage_ttl = ttl;
        self
    }
}

/// Admission, ordering, routing, health tracking and retries of one entry host.
///
/// # Example
///
/// ```
/// use rhubarbrill_core::gate::{Class, Gate, Options, Reason, Submission};
/// use rhubarbrill_core::time::Instant;
/// use rhubarbrill_core::verdict::Verdict;
///
/// let mut gate = Gate::new(Options::default().seed(1));
/// let submission = Submission {
///     workspace: Default::default(),
///     queue: Default::default(),
///     class: Class::Urgent,
///     deadline: Instant::from_millis(5_000),
///     repeatable: false,
/// };
/// let refusal = gate.submit(Instant::ZERO, submission).unwrap_err();
/// assert_eq!(refusal.reason, Reason::WorkspaceUnknown);
/// assert_eq!(refusal.verdict, Verdict::NotRun);
/// ```
#[derive(Debug)]
pub struct Gate {
    options: Options,
    draining: bool,
    holder: Holder,
    requests: SlotMap<Ticket, Request>,
    pools: SecondaryMap<PoolKey, PoolState>,
    workspaces: SecondaryMap<WorkspaceKey, fleet::WorkspaceSettings>,
    queues: SecondaryMap<QueueKey, QueueState>,
    table: Table,
    monitor: Monitor,
    members: Members,
    divider: SlotDivider,
    zones: BTreeMap<String, crate::fleet::ZoneKey>,
    /// Pools in which a request may be able to start.
    ready: BTreeSet<PoolKey>,
    /// Waiting requests by deadline.
    deadlines: BTreeSet<(Instant, Ticket)>,
    /// Rejected waiting requests, until [`Gate::expire`] returns them.
    expired: Vec<Expired>,
    reports: usage::Reports,
    lingering: linger::Lingering,
    loans: loan::Loans,
    /// Time at which parked workspaces are tried again.
    unpark_at: Option<Instant>,
    parked: BTreeMap<WorkspaceKey, BTreeSet<PoolKey>>,
    next_number: u64,
}

impl Gate {
    /// Returns a gate without a configuration, which rejects every request.
    pub fn new(options: Options) -> Self {
        let alone = Peer {
            entry: String::new(),
            zone: None,
        };
        Self {
            options,
            draining: false,
            holder: Holder::default(),
            requests: SlotMap::with_key(),
            pools: SecondaryMap::new(),
            workspaces: SecondaryMap::new(),
            queues: SecondaryMap::new(),
            table: Table::new(options.seed),
            monitor: Monitor::default(),
            members: Members::default(),
            divider: SlotDivider::new(alone, Vec::new()),
            zones: BTreeMap::new(),
            ready: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            expired: Vec::new(),
            reports: usage::Reports::default(),
            lingering: linger::Lingering::default(),
            loans: loan::Loans::default(),
            unpark_at: None,
            parked: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Rejects new requests from now on. Requests admitted earlier are still run.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether new requests are rejected because the gate is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the allowances of units that this entry host holds.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns the allowances for modification.
    ///
    /// Workspaces that were parked for lack of units are tried again at the next start.
    pub fn holder_mut(&mut self) -> &mut Holder {
        self.unpark_all();
        &mut self.holder
    }

    /// Returns the number of requests that wait or run.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits or runs.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests that wait for a pool.
    pub fn waiting(&self, pool: PoolKey) -> u32 {
        self.pools
            .get(pool)
            .map_or(0, |pool_state| pool_state.fair_queue.waiting())
    }

    /// Returns this entry host's slots at an endpoint, including borrowed and without
    /// lent ones.
    pub fn units(&self, host: HostKey) -> u32 {
        self.table.units(host)
    }

    /// Returns the number of this entry host's requests that run at an endpoint.
    pub fn running(&self, host: HostKey) -> u32 {
        self.table.running(host)
    }

    /// Returns the maximum number of connections that this entry host may open to an
    /// endpoint.
    pub fn connections(&self, host: HostKey) -> u32 {
        self.table.connections(host)
    }

    /// Returns the endpoints that are ejected or being probed.
    pub fn ejected(&self) -> impl Iterator<Item = HostKey> {
        self.monitor.ejected()
    }

    fn unpark_all(&mut self) {
        while let Some((&workspace, _)) = self.parked.first_key_value() {
            self.unpark(workspace);
        }
        self.unpark_at = None;
    }

    fn unpark(&mut self, workspace: WorkspaceKey) {
        for pool in self.parked.remove(&workspace).unwrap_or_default() {
            if let Some(pool_state) = self.pools.get_mut(pool) {
                pool_state.fair_queue.unpark(workspace);
                self.ready.insert(pool);
            }
        }
    }
}
