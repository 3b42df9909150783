//! The ledger as it is kept in the store, and queries on it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::budget::BudgetUsage;
use super::evidence::PROPAGATION_BOUND;
use super::record::{Record, Step};
use super::wave::Wave;
use crate::fleet::{Fleet, HostKey, PoolKey};
use crate::placement::{HostPlacement, Placement};

/// The record of every host that is moved or out of service, and of every wave.
///
/// A host that isn't listed serves its declared pool. The ledger is changed with
/// [`Ledger::apply`].
///
/// # Example
///
/// ```
/// use rhubarbrill_core::fleet::Fleet;
/// use rhubarbrill_core::maintenance::{Command, Ledger, Refusal};
///
/// let mut ledger = Ledger::default();
/// let command = Command::MarkFailed { host: "h1".into() };
/// let refusal = ledger.apply(&Fleet::default(), ledger.generation(), &command);
/// assert_eq!(refusal, Err(Refusal::UnknownHost("h1".into())));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ledger {
    pub(super) generation: u64,
    pub(super) fleet_revision: u64,
    pub(super) last_removal: u64,
    pub(super) hosts: BTreeMap<String, Record>,
    pub(super) waves: BTreeMap<String, Wave>,
}

impl Ledger {
    /// Returns the generation of the ledger: the number of changes made to it so far.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the record of a host, or `None` if it serves its declared pool.
    pub fn record(&self, host: &str) -> Option<&Record> {
        self.hosts.get(host)
    }

    /// Returns the listed hosts with their records, ordered by name.
    pub fn records(&self) -> impl Iterator<Item = (&str, &Record)> {
        self.hosts
            .iter()
            .map(|(host, record)| (host.as_str(), record))
    }

    /// Returns the wave with the given name, whether it is running, paused or done.
    pub fn wave(&self, name: &str) -> Option<&Wave> {
        self.waves.get(name)
    }

    /// Returns the waves with their names, ordered by name.
    pub fn waves(&self) -> impl Iterator<Item = (&str, &Wave)> {
        self.waves.iter().map(|(name, wave)| (name.as_str(), wave))
    }

    /// Returns the pool that a declared host currently belongs to; `None` if that pool is
    /// no longer declared.
    pub fn pool(&self, fleet: &Fleet, key: HostKey) -> Option<PoolKey> {
        let declared = fleet.hosts.get(key)?.pool;
        match self.hosts.get(fleet.hosts.name(key)?) {
            Some(record) => fleet.pools.find(&record.pool),
            None => Some(declared),
        }
    }

    /// Returns the current pool of every host and whether the host takes new work.
    ///
    /// A host whose recorded pool is no longer declared is placed in its declared pool
    /// and takes no new work.
    pub fn placement(&self, fleet: &Fleet) -> Placement {
        let mut placement = Placement::declared(fleet);
        for (name, record) in &self.hosts {
            let Some(key) = fleet.hosts.find(name) else {
                continue;
            };
            let Some(declared) = fleet.hosts.get(key).map(|host| host.pool) else {
                continue;
            };
            let pool = fleet.pools.find(&record.pool);
            let host_placement = HostPlacement {
                pool: pool.unwrap_or(declared),
                accepts: pool.is_some() && record.step.accepts(),
            };
            placement.set(key, host_placement);
        }
        placement
    }

    /// Counts the hosts that are out of service against the availability budgets.
    pub fn budget_usage<'a>(&self, fleet: &'a Fleet) -> BudgetUsage<'a> {
        let mut budget_usage = BudgetUsage::default();
        for (name, record) in &self.hosts {
            if let Some(key) = fleet.hosts.find(name) {
                budget_usage.charge(fleet, key, record);
            }
        }
        budget_usage
    }

    /// Returns the time after which no work runs on a leaving host even if an entry host
    /// hasn't confirmed: the longest `max_run_time` of the queues of its pool plus
    /// [`PROPAGATION_BOUND`].
    pub fn drain_grace_period(&self, fleet: &Fleet, key: HostKey) -> Duration {
        let pool = self.pool(fleet, key);
        let of_pool = |run_time: &(Option<PoolKey>, Duration)| run_time.0 == pool;
        let longest = fleet
            .queues
            .iter()
            .map(|(_, _, queue)| (Some(queue.pool), queue.max_run_time))
            .filter(of_pool)
            .map(|(_, run_time)| run_time)
            .max();
        longest.unwrap_or_default() + PROPAGATION_BOUND
    }

    /// Returns the generation at which a leaving host began to leave; `None` for a host
    /// at any other step.
    pub fn leaving_since(&self, host: &str) -> Option<u64> {
        match self.hosts.get(host)?.step {
            Step::Leaving { since } => Some(since),
            Step::Drained
            | Step::Failed
            | Step::Moving
            | Step::Rebooting
            | Step::Returning
            | Step::Serving => None,
        }
    }
}
