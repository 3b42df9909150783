//! The control plane of an entry host: the state it applies and the background threads
//! and tasks that keep this state up to date.

mod allowance;
mod applied_state;
mod claim;
mod heartbeat;
mod membership;
mod node;
mod planner;
mod relay;
mod status;
mod store;
mod worker;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_config::settings::Hosts;
use tokio_util::sync::CancellationToken;

pub use applied_state::{AppliedState, ApplyError};
pub use claim::{ClaimError, ClaimGuard, Claims};
pub use heartbeat::exchange;
pub use node::{Node, Parts};
pub use relay::{fetch_configuration, fetch_ledger};
pub use store::{FleetStore, open};

use relay::Topic;
use worker::Worker;

/// The threads that synchronize an entry host with the store.
#[derive(Debug)]
pub struct Workers {
    /// Returns allowance units to the store when its token is cancelled.
    allowance: Worker,
    planner: Option<Worker>,
    /// Ends last: other entry hosts reclaim this host's loans once its lease has ended.
    membership: Worker,
    stop_membership: CancellationToken,
}

impl Workers {
    /// Starts the threads for the configuration, the ledger, the claims, the allowances
    /// and the membership.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't create a thread.
    pub fn start(
        node: &Arc<Node>,
        store: &Arc<FleetStore>,
        lease_ttl: Duration,
        cancel: &CancellationToken,
    ) -> io::Result<Self> {
        let stop_membership = CancellationToken::new();
        let spawn = |name, run: fn(Arc<Node>, Arc<FleetStore>, CancellationToken)| {
            let (node, store) = (Arc::clone(node), Arc::clone(store));
            let cancel = cancel.clone();
            Worker::start(name, move || run(node, store, cancel))
        };
        // The threads that watch the store are not joined: a watch returns at its next
        // change or idle timeout, and they hold nothing that must be released.
        spawn("configuration", |node, store, cancel| {
            relay::follow(&node, &store, Topic::Configuration, &cancel);
        })?;
        spawn("ledger", |node, store, cancel| {
            relay::follow(&node, &store, Topic::Ledger, &cancel);
        })?;
        for shard in Claims::shards() {
            let (node, store) = (Arc::clone(node), Arc::clone(store));
            let cancel = cancel.clone();
            Worker::start("claims", move || {
                node.claims().run_shard(shard, &store, &cancel);
            })?;
        }
        let allowance = spawn("allowance", |node, store, cancel| {
            allowance::run(node, store, &cancel);
        })?;
        spawn("clock", |node, _, cancel| allowance::tick(&node, &cancel))?;
        let membership = {
            let (node, store) = (Arc::clone(node), Arc::clone(store));
            let stop_membership = stop_membership.clone();
            let run = move || membership::run(node, store, lease_ttl, &stop_membership);
            Worker::start("membership", run)?
        };
        Ok(Self {
            allowance,
            planner: None,
            membership,
            stop_membership,
        })
    }

    /// Starts the thread that plans maintenance. With `hosts`, the planner also reads the
    /// platform's list of hosts.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't create a thread.
    pub fn with_planner(
        mut self,
        node: &Arc<Node>,
        store: &Arc<FleetStore>,
        hosts: Option<Hosts>,
        cancel: &CancellationToken,
    ) -> io::Result<Self> {
        let (node, store) = (Arc::clone(node), Arc::clone(store));
        let cancel = cancel.clone();
        let run = move || planner::run(node, store, hosts, &cancel);
        self.planner = Some(Worker::start("planner", run)?);
        Ok(self)
    }

    /// Waits until all allowance units and the member record are released, after the
    /// token was cancelled.
    ///
    /// # Errors
    ///
    /// Returns the name of the first thread that panicked.
    pub fn join(self) -> Result<(), &'static str> {
        self.allowance.join()?;
        self.planner.map_or(Ok(()), Worker::join)?;
        self.stop_membership.cancel();
        self.membership.join()
    }
}
