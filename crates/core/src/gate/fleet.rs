//! Applies configuration, placement and membership to a gate.

use std::time::Duration;

use super::{Class, Gate, Reason, Submission, Ticket};
use crate::fleet::{Fleet, PoolKey, ZoneKey};
use crate::member::Member;
use crate::placement::Placement;
use crate::route::{Peer, SlotDivider};
use crate::time::Instant;

/// One in this many places of a queue is reserved for urgent requests.
const URGENT_RESERVE_DIVISOR: u32 = 8;
/// Smoothing divisor of the moving mean of run times.
const SMOOTHING: u32 = 16;

/// The entry hosts among which slots are divided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Members {
    /// The entry host that runs this gate.
    pub this: Member,
    /// Every live entry host; whether this one is listed makes no difference.
    pub live: Vec<Member>,
}

impl Default for Members {
    fn default() -> Self {
        Self {
            this: Member {
                entry: String::new(),
                zone: String::new(),
                incarnation: 0,
            },
            live: Vec::new(),
        }
    }
}

/// Settings of a workspace that a gate needs.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkspaceSettings {
    pub(super) share: u32,
    pub(super) limit: u32,
}

/// Settings and statistics of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueState {
    pub(super) pool: PoolKey,
    pub(super) max_waiting: u32,
    pub(super) max_run_time: Duration,
    pub(super) stops_on_close: bool,
    pub(super) waiting: u32,
    /// Moving mean of run times, or `None` before the first one is observed.
    pub(super) run_time: Option<Duration>,
}

impl QueueState {
    /// Returns the maximum number of waiting requests at which one more of the class is
    /// admitted.
    pub(super) fn capacity(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.max_waiting,
            Class::Normal => self.max_waiting - self.max_waiting / URGENT_RESERVE_DIVISOR,
        }
    }

    pub(super) fn observe(&mut self, took: Duration) {
        self.run_time = Some(match self.run_time {
            Some(mean) => (mean * (SMOOTHING - 1) + took) / SMOOTHING,
            None => took,
        });
    }
}

impl Gate {
    /// Applies a configuration and a placement.
    ///
    /// Running requests aren't affected. Waiting requests follow their queue to its pool;
    /// those whose workspace or queue was removed are returned by the next
    /// [`Gate::expire`].
    pub fn reconfigure(&mut self, fleet: &Fleet, placement: &Placement, _now: Instant) {
        self.update_workspaces(fleet);
        self.update_queues(fleet);
        self.update_pools(fleet);
        self.zones = zones(fleet);
        self.table.rebuild(fleet, placement);
        self.monitor.rebuild(fleet, placement);
        self.divide_slots();
        self.requeue_waiting();
    }

    /// Sets the live entry hosts and divides the slots among them again.
    ///
    /// Existing loans end, as they refer to the previous division.
    pub fn set_members(&mut self, members: Members) {
        self.members = members;
        self.divide_slots();
    }

    fn update_workspaces(&mut self, fleet: &Fleet) {
        self.workspaces.clear();
        for (key, _, workspace) in fleet.workspaces.iter() {
            let settings = WorkspaceSettings {
                share: workspace.share,
                limit: workspace.limit,
            };
            self.workspaces.insert(key, settings);
        }
    }

    fn update_queues(&mut self, fleet: &Fleet) {
        self.queues.retain(|key, _| fleet.queues.get(key).is_some());
        for (key, _, queue) in fleet.queues.iter() {
            let known = self.queues.get(key).copied();
            let queue_state = QueueState {
                pool: queue.pool,
                max_waiting: queue.max_waiting,
                max_run_time: queue.max_run_time,
                stops_on_close: queue.stops_on_close,
                waiting: known.map_or(0, |known| known.waiting),
                run_time: known.and_then(|known| known.run_time),
            };
            self.queues.insert(key, queue_state);
        }
    }

    fn update_pools(&mut self, fleet: &Fleet) {
        for (key, _, _) in fleet.pools.iter() {
            if let Some(entry) = self.pools.entry(key) {
                let fair_queue = &mut entry.or_default().fair_queue;
                fair_queue.update_shares(fleet);
            }
        }
    }

    /// Moves waiting requests whose queue changed pools, and rejects those that no longer
    /// have a pool.
    fn requeue_waiting(&mut self) {
        let waiting: Vec<Ticket> = self.deadlines.iter().map(|&(_, key)| key).collect();
        for ticket in waiting {
            let Some(request) = self.requests.get(ticket).copied() else {
                continue;
            };
            match self.pool_of(&request.submission) {
                Err(reason) => self.reject_waiting(ticket, reason),
                Ok(pool) if pool == request.pool => {}
                Ok(pool) => {
                    self.dequeue(ticket);
                    self.enqueue(ticket, pool);
                }
            }
        }
        let table = &self.table;
        self.pools.retain(|key, _| table.knows_pool(key));
    }

    /// Returns the pool in which a request would run, or the reason why it can't run.
    pub(super) fn pool_of(&self, submission: &Submission) -> Result<PoolKey, Reason> {
        let workspace = self
            .workspaces
            .get(submission.workspace)
            .ok_or(Reason::WorkspaceUnknown)?;
        let queue = self
            .queues
            .get(submission.queue)
            .ok_or(Reason::QueueUnknown)?;
        let can_run = workspace.limit > 0 && self.table.declared(queue.pool) > 0;
        can_run.then_some(queue.pool).ok_or(Reason::CanNeverRun)
    }

    fn divide_slots(&mut self) {
        let peer = |member: &Member| Peer {
            entry: member.entry.clone(),
            zone: self.zones.get(&member.zone).copied(),
        };
        let this = peer(&self.members.this);
        let zone = this.zone;
        let live = self.members.live.iter().map(peer).collect();
        self.divider = SlotDivider::new(this, live);
        self.loans.clear();
        let monitor = &self.monitor;
        self.table
            .divide_slots(&self.divider, zone, |host| monitor.state(host));
        self.ready.extend(self.pools.keys());
    }
}

fn zones(fleet: &Fleet) -> std::collections::BTreeMap<String, ZoneKey> {
    fleet
        .zones
        .iter()
        .map(|(key, name, _)| (name.to_owned(), key))
        .collect()
}
