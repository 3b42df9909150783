//! Simulates entry hosts, a store and endpoints on one virtual clock.

mod action;
mod process;
mod store;

use std::time::Duration;

pub use action::{Action, Delivery, action};
use rhubarbrill_core::allowance::{Allocator, AllowanceSettings, Draft, Holder, Shard};
use rhubarbrill_core::fleet::{Fleet, WorkspaceKey};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::Instant;
use store::Store;

pub const WORKSPACES: [&str; 2] = ["quotes", "orders"];
pub const HOSTS: usize = 4;
pub const LONGEST_RUN_MS: u64 = 6_000;
const LONGEST_PAUSE_MS: u64 = 500;
const LEASE_MS: u64 = 8_000;
const MARGIN_MS: u64 = 300;

/// The safeguard that is left out, to show that work then exceeds a limit; `Complete`
/// leaves out none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Variant {
    Complete,
    NoCheckBeforeSend,
    ReclaimAtExpiry,
    AssumeLostSwapsApplied,
    FreeUnitOnAbandon,
    StaticSplit,
    /// A renewed lease is used even if the member record belongs to a successor.
    SkipMemberCheck,
}

struct Process {
    member: Member,
    clock_offset: u64,
    holder: Holder,
    allocator: Allocator,
    fleet: Fleet,
    lease: Option<i64>,
    unsent: Vec<WorkspaceKey>,
    drafts: Vec<(Shard, Draft)>,
    pause: Option<(u64, u64)>,
    alive: bool,
    local_runs: [u32; WORKSPACES.len()],
}

struct Run {
    process: usize,
    workspace: usize,
    /// When the run ends on its endpoint.
    ends_at: u64,
    /// When the process that started the run frees the unit.
    frees_at: u64,
    freed: bool,
}

pub struct World {
    variant: Variant,
    now: u64,
    store: Store,
    delayed: Vec<(Shard, Draft)>,
    processes: Vec<Process>,
    current: [usize; HOSTS],
    runs: Vec<Run>,
    limits: [u32; WORKSPACES.len()],
    config_revision: u64,
    pub started_runs: u32,
}

impl World {
    pub fn new(variant: Variant) -> Self {
        let mut world = Self {
            variant,
            now: 10_000,
            store: Store::default(),
            delayed: Vec::new(),
            processes: Vec::new(),
            current: [0; HOSTS],
            runs: Vec::new(),
            limits: [12, 7],
            config_revision: 1,
            started_runs: 0,
        };
        for host in 0..HOSTS {
            world.start_process(host);
        }
        world
    }

    /// Applies an action, and returns an error if running work exceeds a limit.
    pub fn apply(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Advance(ms) => self.advance(ms),
            Action::DeliverDelayed(index) => self.deliver_delayed(index),
            Action::Limit(workspace, units) => self.set_limit(workspace, units),
            Action::Replace => (0..HOSTS).for_each(|host| self.replace(host)),
            Action::Kill(host) => self.processes[self.current[host]].alive = false,
            Action::Plan(host, waiting) => {
                self.if_running(host, |w, p| w.plan(p, waiting));
            }
            Action::Start(host, workspace, units) => self.if_running(host, |w, p| {
                (0..units).for_each(|_| w.start(p, workspace));
            }),
            Action::Deliver(host, delivery) => {
                self.if_running(host, |w, p| w.deliver(p, delivery));
            }
            Action::Tick(bursting, ms, delivery) => {
                let bursting = self.current[bursting];
                let idle = (3, Delivery::Answered);
                self.tick(|p| if p == bursting { (12, delivery) } else { idle }, ms);
            }
            Action::Send(host, ms) => self.if_running(host, |w, p| w.send_all(p, ms)),
            Action::SendFromReplaced(host, ms) => {
                let entry = format!("e{host}");
                let same_host =
                    |index: &usize| self.processes[*index].member.entry == entry;
                let found = (0..self.processes.len())
                    .find(|i| same_host(i) && self.is_running(*i));
                if let Some(index) = found {
                    self.send_all(index, ms);
                }
            }
            Action::Abandon(host) => self.if_running(host, Self::abandon),
            Action::Renew(host, answered) => {
                self.if_running(host, |w, p| w.renew(p, answered));
            }
            Action::Pause(host, ms) => self.if_running(host, |w, p| {
                w.processes[p].pause = Some((w.now, w.now + ms));
            }),
            Action::Configure(host) => self.if_running(host, Self::configure),
        }
        self.check_limits()
    }

    /// Replaces stopped processes on every entry host, then runs without faults for long
    /// enough that all units become usable.
    pub fn run_undisturbed(&mut self, waiting: u32) -> Result<(), String> {
        for host in 0..HOSTS {
            self.apply(Action::Advance(20_000))?;
            self.apply(Action::Send(host, 1))?;
            self.apply(Action::Replace)?;
        }
        for _ in 0..60 {
            (0..self.processes.len()).for_each(|index| self.configure(index));
            self.tick(|_| (waiting, Delivery::Answered), 1);
            self.check_limits()?;
        }
        Ok(())
    }

    /// Runs one step of every live process, including replaced ones that have resumed.
    fn tick(&mut self, behavior: impl Fn(usize) -> (u32, Delivery), ms: u64) {
        for index in 0..self.processes.len() {
            if !self.is_running(index) {
                continue;
            }
            let (waiting, delivery) = behavior(index);
            self.renew(index, true);
            self.plan(index, waiting);
            self.deliver(index, delivery);
            self.send_all(index, ms);
            let process = &mut self.processes[index];
            process.alive = !process.allocator.is_replaced();
            for workspace in 0..WORKSPACES.len() {
                (0..waiting).for_each(|_| self.start(index, workspace));
            }
            self.advance(50);
        }
        self.advance(800);
    }

    fn send_all(&mut self, index: usize, ms: u64) {
        while let Some(key) = self.processes[index].unsent.pop() {
            self.send(index, key, ms);
        }
    }

    /// Returns the number of units of a workspace that live processes may use now, and
    /// the workspace's limit.
    pub fn usable(&self, workspace: usize) -> (u32, u32) {
        let live = (0..self.processes.len()).filter(|&index| self.is_running(index));
        let usable = live.map(|index| {
            let process = &self.processes[index];
            let key = process
                .fleet
                .workspaces
                .find(WORKSPACES[workspace])
                .expect("the workspace is declared");
            process.holder.usable_units(key, self.local_time(index))
        });
        (usable.sum(), self.limits[workspace])
    }

    fn is_running(&self, index: usize) -> bool {
        let process = &self.processes[index];
        let paused = process.pause.is_some_and(|(_, until)| self.now < until);
        process.alive && !paused
    }

    fn if_running(&mut self, host: usize, act: impl FnOnce(&mut Self, usize)) {
        let index = self.current[host];
        if self.is_running(index) {
            act(self, index);
        }
    }

    fn local_time(&self, process: usize) -> Instant {
        Instant::from_millis(self.now + self.processes[process].clock_offset)
    }

    fn start_process(&mut self, host: usize) {
        let incarnation = u64::try_from(self.processes.len()).unwrap() + 1;
        let member = Member {
            entry: format!("e{host}"),
            zone: format!("z{}", host % 2),
            incarnation,
        };
        let longest_run = match self.variant {
            Variant::ReclaimAtExpiry => Duration::ZERO,
            _ => Duration::from_millis(LONGEST_RUN_MS),
        };
        let pause = Duration::from_millis(LONGEST_PAUSE_MS);
        let settings = AllowanceSettings::default()
            .hold_time(Duration::from_secs(2))
            .longest_run(longest_run)
            .longest_pause(pause)
            .refresh(Duration::from_secs(5));
        self.current[host] = self.processes.len();
        self.processes.push(Process {
            allocator: Allocator::new(member.clone(), settings),
            member,
            clock_offset: incarnation * 7_777_777,
            holder: Holder::default().with_longest_pause(pause),
            fleet: Fleet::default(),
            lease: None,
            unsent: Vec::new(),
            drafts: Vec::new(),
            pause: None,
            alive: true,
            local_runs: [0; WORKSPACES.len()],
        });
        self.configure(self.current[host]);
        self.renew(self.current[host], true);
    }

    /// Replaces a process that has exited or has been paused for too long, as the
    /// platform does.
    fn replace(&mut self, host: usize) {
        let process = &self.processes[self.current[host]];
        let paused_too_long = process.pause.is_some_and(|(from, until)| {
            self.now < until && self.now > from + LONGEST_PAUSE_MS
        });
        if paused_too_long || !process.alive {
            self.start_process(host);
        }
    }

    fn advance(&mut self, ms: u64) {
        // A live process observes the time often, but a paused one doesn't.
        for _ in 0..ms.div_ceil(300) {
            self.now += ms.min(300);
            let now = self.now;
            self.store.expire(now);
            for index in 0..self.processes.len() {
                let local = self.local_time(index);
                let process = &mut self.processes[index];
                if process.alive && process.pause.is_none_or(|(_, until)| now >= until) {
                    process.holder.observe(local);
                }
            }
            self.end_runs();
        }
    }

    fn end_runs(&mut self) {
        for run in &mut self.runs {
            let process = &mut self.processes[run.process];
            let resumed = process.pause.is_none_or(|(_, until)| self.now >= until);
            if run.frees_at <= self.now && !run.freed && resumed {
                let key = process
                    .fleet
                    .workspaces
                    .find(WORKSPACES[run.workspace])
                    .expect("the workspace is declared");
                process.holder.finish(key);
                process.local_runs[run.workspace] -= 1;
                run.freed = true;
            }
        }
        self.runs.retain(|run| run.ends_at > self.now || !run.freed);
    }

    fn set_limit(&mut self, workspace: usize, units: u32) {
        self.limits[workspace] = units;
        self.config_revision += 1;
    }

    fn check_limits(&mut self) -> Result<(), String> {
        for (workspace, name) in WORKSPACES.into_iter().enumerate() {
            let running =
                |run: &&Run| run.workspace == workspace && run.ends_at > self.now;
            let running =
                u32::try_from(self.runs.iter().filter(running).count()).unwrap();
            let limit = match self.variant {
                Variant::StaticSplit => self.highest_known_limit(workspace),
                _ => self.store.ledger(Shard::of(name)).limit(name),
            };
            if running > limit {
                return Err(format!("{name}: {running} run, limit in force {limit}"));
            }
        }
        Ok(())
    }

    /// Returns the highest limit in the configuration of any live process.
    fn highest_known_limit(&self, workspace: usize) -> u32 {
        let live = self.processes.iter().filter(|process| process.alive);
        let limits = live.filter_map(|process| {
            let key = process.fleet.workspaces.find(WORKSPACES[workspace])?;
            Some(process.fleet.workspaces.get(key)?.limit)
        });
        limits.max().unwrap_or(u32::MAX)
    }
}
