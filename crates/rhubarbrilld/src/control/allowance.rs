//! Reconciles the allowances of an entry host with the store: borrows units, returns
//! them, and reclaims those of members that are gone.

use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_core::allowance::{
    Allocator, AllowanceSettings, Demand, Holder, Membership, PlanInput,
};
use rhubarbrill_edge::Error;
use rhubarbrill_edge::store::Store;
use rhubarbrill_registry::allowance::{AllowanceClient, HolderAccess};
use tokio_util::sync::CancellationToken;

use super::membership::{self, MemberRecord};
use super::store::FleetStore;
use super::{Node, worker};
use crate::config::Revision;

/// Time between two reconciliations.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two calls that tell the holder that the process runs.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that a graceful shutdown spends on returning units.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two reconciliations during a graceful shutdown.
const RELEASE_PAUSE: Duration = Duration::from_millis(200);

/// Reconciles the allowances of one entry host with their records in the store.
#[derive(Debug)]
pub struct Reconciler {
    node: Arc<Node>,
    store: Arc<FleetStore>,
    client: AllowanceClient,
    membership: Membership,
}

impl Reconciler {
    /// Returns a reconciler that has not read any record yet.
    pub fn new(node: Arc<Node>, store: Arc<FleetStore>) -> Self {
        let allocator =
            Allocator::new(node.member().clone(), AllowanceSettings::default());
        Self {
            node,
            store,
            client: AllowanceClient::new(allocator),
            membership: Membership::default(),
        }
    }

    /// Reconciles every allowance record once.
    pub fn reconcile(&mut self) {
        if let Err(error) = self.read_members() {
            slog::debug!(self.node.log(), "failed to read the members";
                "error" => %error);
        }
        let mut access = GateAccess {
            revision: self.node.revision(),
            node: &self.node,
            membership: &self.membership,
        };
        let report = self.client.step(self.store.as_ref(), &mut access);
        match report.error {
            None => self.node.set_allowances_ready(),
            Some(error) => {
                slog::debug!(self.node.log(), "failed to reconcile allowances";
                    "error" => %error);
            }
        }
        if report.replaced {
            self.node.set_replaced();
        }
    }

    /// Returns all units to the store before the process ends. Gives up after
    /// [`RELEASE_TIMEOUT`] if the store doesn't answer.
    fn release(&mut self) {
        self.client.stop();
        let mut remaining = RELEASE_TIMEOUT;
        while !remaining.is_zero() && !self.client.allocator().is_released() {
            self.reconcile();
            std::thread::sleep(RELEASE_PAUSE);
            remaining = remaining.saturating_sub(RELEASE_PAUSE);
        }
    }

    fn read_members(&mut self) -> Result<(), Error> {
        let listing = self.store.list(membership::PREFIX)?;
        let records = listing.entries.iter();
        let members = records.filter_map(|entry| {
            let record: MemberRecord = serde_json::from_slice(&entry.value).ok()?;
            Some(record.member)
        });
        self.membership = Membership {
            revision: listing.revision,
            members: members.collect(),
        };
        Ok(())
    }
}

/// Gives the teller access to the holder in the gate and to the inputs of its plans.
struct GateAccess<'a> {
    node: &'a Node,
    revision: Arc<Revision>,
    membership: &'a Membership,
}

impl HolderAccess for GateAccess<'_> {
    fn with_holder<R>(
        &mut self,
        visit: impl FnOnce(&mut Holder, PlanInput<'_>) -> R,
    ) -> R {
        self.node.engine().change(|gate, now| {
            let mut demand = Demand::default();
            for usage in gate.usage() {
                let waiting = demand.waiting(usage.workspace) + usage.waiting;
                demand.set(usage.workspace, waiting);
            }
            let input = PlanInput {
                fleet: &self.revision.fleet,
                demand: &demand,
                membership: self.membership,
                now,
            };
            visit(gate.holder_mut(), input)
        })
    }
}

/// Reconciles the allowances until cancelled, then returns all units.
pub fn run(node: Arc<Node>, store: Arc<FleetStore>, cancel: &CancellationToken) {
    let mut reconciler = Reconciler::new(node, store);
    while !cancel.is_cancelled() {
        reconciler.reconcile();
        worker::sleep(RECONCILE_INTERVAL, cancel);
    }
    reconciler.release();
}

/// Tells the holder at short intervals that the process runs. It does so even while the
/// store is unreachable and no request starts, because the holder takes a long gap
/// between two calls for a pause of the process.
pub fn tick(node: &Node, cancel: &CancellationToken) {
    while !cancel.is_cancelled() {
        node.engine()
            .change(|gate, now| gate.holder_mut().observe(now));
        node.tick();
        worker::sleep(TICK_INTERVAL, cancel);
    }
}
