//! The fair queue of one pool, which orders workspaces.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::workspace_queue::{QueuedRequest, WorkspaceQueue};
use crate::fleet::{Fleet, WorkspaceKey};
use crate::gate::{Class, Ticket};
use crate::time::Instant;

/// Mean run time that is assumed before the first request finishes.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);
/// Charge for one running request in mean run times, in addition to the slot time that
/// its workspace has used.
const RUNNING_WEIGHT: u32 = 8;
/// Divisor of the part of running work that is extrapolated from what runs at this entry
/// host; the rest is taken from reports.
///
/// Every entry host sees the same delayed reports. If each compensated for the whole of
/// what they show, the entry hosts together would overcompensate many times over.
const EXTRAPOLATION_DIVISOR: u32 = 5;
/// Maximum number of due urgent requests that start in a row while other workspaces wait.
const MAX_DUE_STREAK: u32 = 3;
/// Smoothing divisor of the moving mean of run times.
const SMOOTHING: u32 = 32;
/// Fractional bits of a fixed-point rank.
const SCALE_BITS: u32 = 20;

/// The request that starts next, as returned by [`FairQueue::peek`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The workspace that the request belongs to.
    pub workspace: WorkspaceKey,
    /// Ticket of the request.
    pub ticket: Ticket,
    class: Class,
    due: bool,
}

/// Orders the workspaces of one pool by rank.
#[derive(Clone, Debug)]
pub struct FairQueue {
    /// Queues by full key: a workspace that was removed may still have running work.
    queues: BTreeMap<WorkspaceKey, WorkspaceQueue>,
    /// Unparked workspaces with waiting requests by rank, least served first.
    rank_order: BTreeSet<(u128, WorkspaceKey)>,
    /// The same workspaces by the due time of their first urgent request.
    due_order: BTreeSet<(Instant, WorkspaceKey)>,
    /// Number of due requests that have started in a row.
    due_streak: u32,
    urgent_waiting: u32,
    /// Number of entry hosts whose work is known, including this one.
    entry_hosts: u32,
    /// Virtual time: the used slot time, per unit of share, of the least served waiting
    /// workspace. A workspace that returns starts from here.
    virtual_time: u128,
    waiting: u32,
    active_weight: u64,
    /// Moving mean of run times.
    run_time: Duration,
    /// Run time used for ranks; follows the mean only when it has doubled or halved.
    rank_run_time: Duration,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            rank_order: BTreeSet::new(),
            due_order: BTreeSet::new(),
            due_streak: 0,
            urgent_waiting: 0,
            entry_hosts: 1,
            virtual_time: 0,
            waiting: 0,
            active_weight: 0,
            run_time: DEFAULT_RUN_TIME,
            rank_run_time: DEFAULT_RUN_TIME,
        }
    }
}

impl FairQueue {
    /// Fraction of all starts that due urgent requests may take.
    pub const DUE_FRACTION: f64 = MAX_DUE_STREAK as f64 / (MAX_DUE_STREAK + 1) as f64;

    /// Updates the shares of declared workspaces and removes inactive workspaces that are
    /// no longer declared.
    pub fn update_shares(&mut self, fleet: &Fleet) {
        let known: Vec<WorkspaceKey> = self.queues.keys().copied().collect();
        for workspace in known {
            match fleet.workspaces.get(workspace) {
                Some(declared) => self.set_share(workspace, declared.share),
                None if self.queues[&workspace].is_active() => {}
                None => {
                    self.queues.remove(&workspace);
                }
            }
        }
    }

    /// Sets the share of a workspace; zero counts as one.
    pub fn set_share(&mut self, workspace: WorkspaceKey, share: u32) {
        self.update(workspace, |queue| queue.weight = share.max(1));
    }

    /// Adds a request. Requests of one class start in order of their number.
    pub fn push(&mut self, workspace: WorkspaceKey, waiting: QueuedRequest) {
        let virtual_time = self.virtual_time;
        self.update(workspace, |queue| {
            if queue.waiting() == 0 {
                queue.used_slot_time = queue.used_slot_time.max(virtual_time);
            }
            queue.push(waiting);
        });
    }

    /// Removes a waiting request and returns whether it was queued.
    pub fn remove(&mut self, workspace: WorkspaceKey, class: Class, number: u64) -> bool {
        let mut found = false;
        self.update(workspace, |queue| found = queue.remove(class, number));
        found
    }

    /// Returns the request that starts next at `now`, without removing it.
    pub fn peek(&self, now: Instant) -> Option<Pick> {
        if let Some(pick) = self.peek_due(now) {
            return Some(pick);
        }
        let &(_, workspace) = self.rank_order.first()?;
        let head = self.queues.get(&workspace)?.next_request()?;
        Some(Pick {
            workspace,
            ticket: head.ticket,
            class: head.class,
            due: false,
        })
    }

    /// Removes the picked request from its queue and counts it as running.
    pub fn start(&mut self, pick: Pick) {
        self.update(pick.workspace, |queue| {
            let started = queue.pop(pick.class);
            queue.running_here += u32::from(started.is_some());
        });
        self.due_streak = match pick.due {
            true => self.due_streak + 1,
            false => 0,
        };
        self.advance_virtual_time(pick.workspace);
    }

    /// Counts a request as finished and charges its workspace the slot time it took.
    pub fn finish(&mut self, workspace: WorkspaceKey, run_time_sample: Duration) {
        self.update(workspace, |queue| {
            queue.running_here = queue.running_here.saturating_sub(1);
            queue.used_slot_time += scaled(run_time_sample, queue.weight);
        });
        self.run_time = (self.run_time * (SMOOTHING - 1) + run_time_sample) / SMOOTHING;
        self.update_rank_run_time();
    }

    /// Replaces `old` by `new` running requests in the count of work at other entry
    /// hosts.
    ///
    /// The workspace is charged `used`, the slot time used there in the meantime.
    pub fn update_remote_running(
        &mut self,
        workspace: WorkspaceKey,
        old: u32,
        new: u32,
        used: Duration,
    ) {
        self.update(workspace, |queue| {
            queue.running_elsewhere = queue
                .running_elsewhere
                .saturating_sub(old)
                .saturating_add(new);
            queue.used_slot_time += scaled(used, queue.weight);
        });
    }

    /// Sets the number of entry hosts whose work is known, including this one.
    pub fn set_entry_hosts(&mut self, entry_hosts: u32) {
        if self.entry_hosts != entry_hosts {
            self.entry_hosts = entry_hosts;
            self.rerank_all();
        }
    }

    /// Excludes a workspace from the order until it is unparked.
    pub fn park(&mut self, workspace: WorkspaceKey) {
        self.update(workspace, |queue| queue.parked = true);
    }

    /// Includes a parked workspace in the order again.
    pub fn unpark(&mut self, workspace: WorkspaceKey) {
        self.update(workspace, |queue| queue.parked = false);
    }

    /// Returns the moving mean of run times.
    pub fn run_time(&self) -> Duration {
        self.run_time
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of waiting requests of a class and of more urgent ones.
    pub fn waiting_before(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.urgent_waiting,
            Class::Normal => self.waiting,
        }
    }

    /// Returns the number of the workspace's waiting requests that start before a new one
    /// of the class.
    pub fn requests_ahead(&self, workspace: WorkspaceKey, class: Class) -> u32 {
        self.queues
            .get(&workspace)
            .map_or(0, |queue| queue.requests_ahead(class))
    }

    /// Returns how many of `units` slots the workspace can expect to have.
    ///
    /// This is its share among the workspaces that run or wait, or the number of its
    /// running requests if that is larger.
    pub fn expected_slots(&self, workspace: WorkspaceKey, units: u32) -> f64 {
        let Some(queue) = self.queues.get(&workspace) else {
            return f64::from(units);
        };
        let weight = u64::from(queue.weight);
        let others = match queue.is_active() {
            true => self.active_weight - weight,
            false => self.active_weight,
        };
        let share = f64::from(units) * weight as f64 / (weight + others) as f64;
        share.max(f64::from(queue.running_here))
    }

    /// Returns the number of running and waiting requests of each workspace that has any
    /// at this entry host.
    pub fn usage(&self) -> impl Iterator<Item = (WorkspaceKey, u32, u32)> {
        self.queues
            .iter()
            .map(|(&workspace, queue)| (workspace, queue.running_here, queue.waiting()))
            .filter(|&(_, running, waiting)| running + waiting > 0)
    }

    /// Returns the urgent request that has been due longest, or `None` if none is due or
    /// the streak of due starts is used up.
    fn peek_due(&self, now: Instant) -> Option<Pick> {
        let &(due, workspace) = self.due_order.first()?;
        if due > now || self.due_streak >= MAX_DUE_STREAK {
            return None;
        }
        let head = self.queues.get(&workspace)?.next_urgent()?;
        Some(Pick {
            workspace,
            ticket: head.ticket,
            class: Class::Urgent,
            due: true,
        })
    }

    /// Advances the virtual time to the used slot time of the least served waiting
    /// workspace.
    fn advance_virtual_time(&mut self, started: WorkspaceKey) {
        let least_served = self.rank_order.first().map(|&(_, workspace)| workspace);
        let workspace = least_served.unwrap_or(started);
        if let Some(queue) = self.queues.get(&workspace) {
            self.virtual_time = self.virtual_time.max(queue.used_slot_time);
        }
    }

    /// Recomputes every rank once the mean run time has doubled or halved.
    fn update_rank_run_time(&mut self) {
        let (mean, used) = (self.run_time, self.rank_run_time);
        if mean < used * 2 && mean * 2 > used {
            return;
        }
        self.rank_run_time = mean.max(Duration::from_micros(1));
        self.rerank_all();
    }

    fn rerank_all(&mut self) {
        for workspace in self.queues.keys().copied().collect::<Vec<_>>() {
            self.update(workspace, |_| {});
        }
    }

    /// Changes a queue and keeps its entries in the indexes and the totals up to date.
    fn update(
        &mut self,
        workspace: WorkspaceKey,
        change: impl FnOnce(&mut WorkspaceQueue),
    ) {
        let queue = self.queues.entry(workspace).or_default();
        if let Some(rank) = queue.rank.take() {
            self.rank_order.remove(&(rank, workspace));
        }
        if let Some(due) = queue.due.take() {
            self.due_order.remove(&(due, workspace));
        }
        self.active_weight -= queue.active_weight();
        self.waiting -= queue.waiting();
        self.urgent_waiting -= queue.urgent_waiting();
        change(queue);
        queue.weight = queue.weight.max(1);
        self.active_weight += queue.active_weight();
        self.waiting += queue.waiting();
        self.urgent_waiting += queue.urgent_waiting();
        if queue.waiting() == 0 || queue.parked {
            return;
        }
        let rank = queue.rank(self.rank_run_time, self.entry_hosts);
        queue.rank = Some(rank);
        self.rank_order.insert((rank, workspace));
        if let Some(head) = queue.next_urgent() {
            queue.due = Some(head.due);
            self.due_order.insert((head.due, workspace));
        }
    }
}

impl WorkspaceQueue {
    fn rank(&self, run_time: Duration, entry_hosts: u32) -> u128 {
        let (local, remote) = (
            u128::from(self.running_here),
            u128::from(self.running_elsewhere),
        );
        let reported = (local + remote) * u128::from(EXTRAPOLATION_DIVISOR - 1);
        let guessed = local * u128::from(entry_hosts);
        let unit = scaled(
            run_time * RUNNING_WEIGHT / EXTRAPOLATION_DIVISOR,
            self.weight,
        );
        self.used_slot_time + (reported + guessed) * unit
    }

    fn is_active(&self) -> bool {
        self.waiting() + self.running_here > 0
    }

    fn active_weight(&self) -> u64 {
        match self.is_active() {
            true => u64::from(self.weight),
            false => 0,
        }
    }
}

fn scaled(time: Duration, weight: u32) -> u128 {
    (time.as_micros() << SCALE_BITS) / u128::from(weight.max(1))
}
