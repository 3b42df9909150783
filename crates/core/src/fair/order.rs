//! The order of workspaces in one pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::line::{Line, Waiting};
use crate::fleet::{Fleet, WorkspaceKey};
use crate::gate::{Class, Ticket};
use crate::time::Instant;

/// Run time that is assumed before one was seen.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);
/// Run times that one running request counts as, beside the time its workspace used.
const RUNNING_WEIGHT: u32 = 8;
/// Part of running work that is guessed from what runs here, in `1 / OWN_DIVISOR`.
///
/// Every entry host sees the same lagging reports. If all made up for the whole of what
/// they show, they would together do so many times over.
const OWN_DIVISOR: u32 = 5;
/// Due urgent requests that may start in a row while other workspaces wait.
const DUE_STREAK: u32 = 3;
/// Divisor of the moving mean of run times.
const SMOOTHING: u32 = 32;
/// Bits after the binary point of a rank.
const SCALE_BITS: u32 = 20;

/// The request that starts next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The request.
    pub ticket: Ticket,
    class: Class,
    due: bool,
}

/// Workspaces of one pool in the order in which their requests start.
#[derive(Clone, Debug)]
pub struct Order {
    /// A map by whole key: a workspace that is gone may still have work that runs.
    lines: BTreeMap<WorkspaceKey, Line>,
    /// Workspaces with waiting requests that are not parked, least served first.
    ready: BTreeSet<(u128, WorkspaceKey)>,
    /// The same workspaces by when their first urgent request is due.
    dues: BTreeSet<(Instant, WorkspaceKey)>,
    /// Due requests that started in a row.
    due_streak: u32,
    urgent_waiting: u32,
    /// Entry hosts whose work is known, with this one.
    entries: u32,
    /// Slot time used by the least served workspace that waits.
    clock: u128,
    waiting: u32,
    busy_weight: u64,
    /// Moving mean of run times.
    run_time: Duration,
    /// The run time that ranks are computed with; follows the mean in large steps.
    rank_run_time: Duration,
}

impl Default for Order {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            ready: BTreeSet::new(),
            dues: BTreeSet::new(),
            due_streak: 0,
            urgent_waiting: 0,
            entries: 1,
            clock: 0,
            waiting: 0,
            busy_weight: 0,
            run_time: DEFAULT_RUN_TIME,
            rank_run_time: DEFAULT_RUN_TIME,
        }
    }
}

impl Order {
    /// The part of all starts that due urgent requests may take.
    pub const DUE_PART: f64 = DUE_STREAK as f64 / (DUE_STREAK + 1) as f64;

    /// Takes in the shares of declared workspaces, and forgets idle ones that are gone.
    pub fn set_shares(&mut self, fleet: &Fleet) {
        let known: Vec<WorkspaceKey> = self.lines.keys().copied().collect();
        for workspace in known {
            match fleet.workspaces.get(workspace) {
                Some(declared) => self.set_share(workspace, declared.share),
                None if self.lines[&workspace].is_busy() => {}
                None => {
                    self.lines.remove(&workspace);
                }
            }
        }
    }

    /// Sets the weight of a workspace's share.
    pub fn set_share(&mut self, workspace: WorkspaceKey, share: u32) {
        self.update(workspace, |line| line.weight = share.max(1));
    }

    /// Adds a request; requests of one class start by number.
    pub fn push(&mut self, workspace: WorkspaceKey, waiting: Waiting) {
        let clock = self.clock;
        self.update(workspace, |line| {
            if line.waiting() == 0 {
                line.used = line.used.max(clock);
            }
            line.push(waiting);
        });
    }

    /// Removes a waiting request and returns whether it was there.
    pub fn remove(&mut self, workspace: WorkspaceKey, class: Class, number: u64) -> bool {
        let mut found = false;
        self.update(workspace, |line| found = line.remove(class, number));
        found
    }

    /// Returns the request that starts next.
    pub fn peek(&self, now: Instant) -> Option<Pick> {
        if let Some(pick) = self.peek_due(now) {
            return Some(pick);
        }
        let &(_, workspace) = self.ready.first()?;
        let head = self.lines.get(&workspace)?.head()?;
        Some(Pick {
            workspace,
            ticket: head.ticket,
            class: head.class,
            due: false,
        })
    }

    /// Takes out the request that was picked, and counts it as running.
    pub fn start(&mut self, pick: Pick) {
        self.update(pick.workspace, |line| {
            let started = line.pop(pick.class);
            line.local += u32::from(started.is_some());
        });
        self.due_streak = match pick.due {
            true => self.due_streak + 1,
            false => 0,
        };
        self.advance(pick.workspace);
    }

    /// Counts running work as ended, and charges its workspace the time it took.
    pub fn finish(&mut self, workspace: WorkspaceKey, took: Duration) {
        self.update(workspace, |line| {
            line.local = line.local.saturating_sub(1);
            line.used += scaled(took, line.weight);
        });
        self.run_time = (self.run_time * (SMOOTHING - 1) + took) / SMOOTHING;
        self.follow_run_time();
    }

    /// Replaces `old` running requests at another entry host by `new` ones.
    ///
    /// The workspace is charged `used`, the slot time used there meanwhile.
    pub fn set_remote(
        &mut self,
        workspace: WorkspaceKey,
        old: u32,
        new: u32,
        used: Duration,
    ) {
        self.update(workspace, |line| {
            line.remote = line.remote.saturating_sub(old).saturating_add(new);
            line.used += scaled(used, line.weight);
        });
    }

    /// Sets how many entry hosts' work is known, with this one.
    pub fn set_entries(&mut self, entries: u32) {
        if self.entries != entries {
            self.entries = entries;
            self.rank_all();
        }
    }

    /// Sets a workspace aside until it is unparked.
    pub fn park(&mut self, workspace: WorkspaceKey) {
        self.update(workspace, |line| line.parked = true);
    }

    /// Puts a parked workspace back in order.
    pub fn unpark(&mut self, workspace: WorkspaceKey) {
        self.update(workspace, |line| line.parked = false);
    }

    /// Returns the moving mean of run times.
    pub fn run_time(&self) -> Duration {
        self.run_time
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of waiting requests that are at least as urgent as a class.
    pub fn waiting_before(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.urgent_waiting,
            Class::Normal => self.waiting,
        }
    }

    /// Returns the number of the workspace's requests that start before a new one.
    pub fn ahead(&self, workspace: WorkspaceKey, class: Class) -> u32 {
        self.lines
            .get(&workspace)
            .map_or(0, |line| line.ahead(class))
    }

    /// Returns the slots out of `units` that the workspace can count on.
    ///
    /// That is its share among the workspaces that run or wait, or what it runs already.
    pub fn expected_slots(&self, workspace: WorkspaceKey, units: u32) -> f64 {
        let Some(line) = self.lines.get(&workspace) else {
            return f64::from(units);
        };
        let own = u64::from(line.weight);
        let others = match line.is_busy() {
            true => self.busy_weight - own,
            false => self.busy_weight,
        };
        let share = f64::from(units) * own as f64 / (own + others) as f64;
        share.max(f64::from(line.local))
    }

    /// Returns running and waiting requests of each workspace that has any here.
    pub fn usage(&self) -> impl Iterator<Item = (WorkspaceKey, u32, u32)> {
        self.lines
            .iter()
            .map(|(&workspace, line)| (workspace, line.local, line.waiting()))
            .filter(|&(_, running, waiting)| running + waiting > 0)
    }

    /// Returns the urgent request that has been due longest, unless others have a turn.
    fn peek_due(&self, now: Instant) -> Option<Pick> {
        let &(due, workspace) = self.dues.first()?;
        if due > now || self.due_streak >= DUE_STREAK {
            return None;
        }
        let head = self.lines.get(&workspace)?.urgent_head()?;
        Some(Pick {
            workspace,
            ticket: head.ticket,
            class: Class::Urgent,
            due: true,
        })
    }

    /// Moves the clock up to the least served workspace that waits.
    fn advance(&mut self, started: WorkspaceKey) {
        let least = self.ready.first().map(|&(_, workspace)| workspace);
        let workspace = least.unwrap_or(started);
        if let Some(line) = self.lines.get(&workspace) {
            self.clock = self.clock.max(line.used);
        }
    }

    /// Ranks every workspace anew once run times have doubled or halved.
    fn follow_run_time(&mut self) {
        let (mean, used) = (self.run_time, self.rank_run_time);
        if mean < used * 2 && mean * 2 > used {
            return;
        }
        self.rank_run_time = mean.max(Duration::from_micros(1));
        self.rank_all();
    }

    fn rank_all(&mut self) {
        for workspace in self.lines.keys().copied().collect::<Vec<_>>() {
            self.update(workspace, |_| {});
        }
    }

    /// Changes a line and keeps its place and the sum of busy weights in step.
    fn update(&mut self, workspace: WorkspaceKey, change: impl FnOnce(&mut Line)) {
        let line = self.lines.entry(workspace).or_default();
        if let Some(rank) = line.rank.take() {
            self.ready.remove(&(rank, workspace));
        }
        if let Some(due) = line.due.take() {
            self.dues.remove(&(due, workspace));
        }
        self.busy_weight -= line.busy_weight();
        self.waiting -= line.waiting();
        self.urgent_waiting -= line.urgent_waiting();
        change(line);
        line.weight = line.weight.max(1);
        self.busy_weight += line.busy_weight();
        self.waiting += line.waiting();
        self.urgent_waiting += line.urgent_waiting();
        if line.waiting() == 0 || line.parked {
            return;
        }
        let rank = line.rank(self.rank_run_time, self.entries);
        line.rank = Some(rank);
        self.ready.insert((rank, workspace));
        if let Some(head) = line.urgent_head() {
            line.due = Some(head.due);
            self.dues.insert((head.due, workspace));
        }
    }
}

impl Line {
    fn rank(&self, run_time: Duration, entries: u32) -> u128 {
        let (own, remote) = (u128::from(self.local), u128::from(self.remote));
        let reported = (own + remote) * u128::from(OWN_DIVISOR - 1);
        let guessed = own * u128::from(entries);
        let unit = scaled(run_time * RUNNING_WEIGHT / OWN_DIVISOR, self.weight);
        self.used + (reported + guessed) * unit
    }

    fn is_busy(&self) -> bool {
        self.waiting() + self.local > 0
    }

    fn busy_weight(&self) -> u64 {
        match self.is_busy() {
            true => u64::from(self.weight),
            false => 0,
        }
    }
}

fn scaled(time: Duration, weight: u32) -> u128 {
    (time.as_micros() << SCALE_BITS) / u128::from(weight.max(1))
}
