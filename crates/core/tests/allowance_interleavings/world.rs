//! Entry hosts, a store and endpoints on one virtual clock, for interleavings.

mod action;
mod process;
mod store;

use std::time::Duration;

pub use action::{Action, Fate, action};
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

/// What is left out of the mechanism, to show that the condition then breaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Variant {
    Whole,
    NoCheckBeforeSend,
    TakeBackAtLapse,
    TrustLostAnswers,
    FreeAtGiveUp,
    StaticCounts,
    /// A renewed lease counts also when the member record is a successor's.
    RenewalSuffices,
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
    pauses: Option<(u64, u64)>,
    alive: bool,
    own_count: [u32; WORKSPACES.len()],
}

struct Run {
    process: usize,
    workspace: usize,
    /// When it ends at its endpoint.
    ends: u64,
    /// When its process frees the unit.
    frees: u64,
    freed: bool,
}

pub struct World {
    variant: Variant,
    now: u64,
    store: Store,
    late: Vec<(Shard, Draft)>,
    processes: Vec<Process>,
    seats: [usize; HOSTS],
    runs: Vec<Run>,
    limits: [u32; WORKSPACES.len()],
    config_revision: u64,
    pub started: u32,
}

impl World {
    pub fn new(variant: Variant) -> Self {
        let mut world = Self {
            variant,
            now: 10_000,
            store: Store::default(),
            late: Vec::new(),
            processes: Vec::new(),
            seats: [0; HOSTS],
            runs: Vec::new(),
            limits: [12, 7],
            config_revision: 1,
            started: 0,
        };
        for seat in 0..HOSTS {
            world.boot(seat);
        }
        world
    }

    /// Carries out an action and returns what it broke.
    pub fn act(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Advance(ms) => self.advance(ms),
            Action::DeliverLate(index) => self.deliver_late(index),
            Action::Limit(workspace, units) => self.limit(workspace, units),
            Action::Replace => (0..HOSTS).for_each(|seat| self.replace(seat)),
            Action::Kill(seat) => self.processes[self.seats[seat]].alive = false,
            Action::Plan(seat, waiting) => self.on_awake(seat, |w, p| w.plan(p, waiting)),
            Action::Start(seat, workspace, units) => self.on_awake(seat, |w, p| {
                (0..units).for_each(|_| w.start(p, workspace));
            }),
            Action::Deliver(seat, fate) => self.on_awake(seat, |w, p| w.deliver(p, fate)),
            Action::Tick(hot, ms, fate) => {
                let hot = self.seats[hot];
                let cold = (3, Fate::Answered);
                self.tick(|p| if p == hot { (12, fate) } else { cold }, ms);
            }
            Action::Send(seat, ms) => self.on_awake(seat, |w, p| w.send_all(p, ms)),
            Action::SendStale(seat, ms) => {
                let entry = format!("e{seat}");
                let stale = |index: &usize| self.processes[*index].member.entry == entry;
                let found =
                    (0..self.processes.len()).find(|i| stale(i) && self.is_awake(*i));
                if let Some(index) = found {
                    self.send_all(index, ms);
                }
            }
            Action::GiveUp(seat) => self.on_awake(seat, Self::give_up),
            Action::Renew(seat, answered) => {
                self.on_awake(seat, |w, p| w.renew(p, answered));
            }
            Action::Pause(seat, ms) => self.on_awake(seat, |w, p| {
                w.processes[p].pauses = Some((w.now, w.now + ms));
            }),
            Action::Configure(seat) => self.on_awake(seat, Self::configure),
        }
        self.check()
    }

    /// Lets every seat be served by a live process for long enough to settle.
    pub fn calm(&mut self, waiting: u32) -> Result<(), String> {
        for seat in 0..HOSTS {
            self.act(Action::Advance(20_000))?;
            self.act(Action::Send(seat, 1))?;
            self.act(Action::Replace)?;
        }
        for _ in 0..60 {
            (0..self.processes.len()).for_each(|index| self.configure(index));
            self.tick(|_| (waiting, Fate::Answered), 1);
            self.check()?;
        }
        Ok(())
    }

    /// Every live process acts, frozen predecessors that have woken too.
    fn tick(&mut self, course: impl Fn(usize) -> (u32, Fate), ms: u64) {
        for index in 0..self.processes.len() {
            if !self.is_awake(index) {
                continue;
            }
            let (waiting, fate) = course(index);
            self.renew(index, true);
            self.plan(index, waiting);
            self.deliver(index, fate);
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

    /// Returns the units of a workspace that live processes may use now, and its limit.
    pub fn usable(&self, workspace: usize) -> (u32, u32) {
        let live = (0..self.processes.len()).filter(|&index| self.is_awake(index));
        let usable = live.map(|index| {
            let process = &self.processes[index];
            let key = process
                .fleet
                .workspaces
                .find(WORKSPACES[workspace])
                .expect("declared");
            process.holder.usable_units(key, self.local(index))
        });
        (usable.sum(), self.limits[workspace])
    }

    fn is_awake(&self, index: usize) -> bool {
        let process = &self.processes[index];
        let paused = process.pauses.is_some_and(|(_, until)| self.now < until);
        process.alive && !paused
    }

    fn on_awake(&mut self, seat: usize, act: impl FnOnce(&mut Self, usize)) {
        let index = self.seats[seat];
        if self.is_awake(index) {
            act(self, index);
        }
    }

    fn local(&self, process: usize) -> Instant {
        Instant::from_millis(self.now + self.processes[process].clock_offset)
    }

    fn boot(&mut self, seat: usize) {
        let incarnation = u64::try_from(self.processes.len()).unwrap() + 1;
        let member = Member {
            entry: format!("e{seat}"),
            zone: format!("z{}", seat % 2),
            incarnation,
        };
        let outwait = match self.variant {
            Variant::TakeBackAtLapse => Duration::ZERO,
            _ => Duration::from_millis(LONGEST_RUN_MS),
        };
        let pause = Duration::from_millis(LONGEST_PAUSE_MS);
        let settings = AllowanceSettings::default()
            .hold(Duration::from_secs(2))
            .longest_run(outwait)
            .longest_pause(pause)
            .refresh(Duration::from_secs(5));
        self.seats[seat] = self.processes.len();
        self.processes.push(Process {
            allocator: Allocator::new(member.clone(), settings),
            member,
            clock_offset: incarnation * 7_777_777,
            holder: Holder::default().with_longest_pause(pause),
            fleet: Fleet::default(),
            lease: None,
            unsent: Vec::new(),
            drafts: Vec::new(),
            pauses: None,
            alive: true,
            own_count: [0; WORKSPACES.len()],
        });
        self.configure(self.seats[seat]);
        self.renew(self.seats[seat], true);
    }

    /// The platform replaces a process that has ended, or was frozen for long.
    fn replace(&mut self, seat: usize) {
        let process = &self.processes[self.seats[seat]];
        let frozen = process.pauses.is_some_and(|(from, until)| {
            self.now < until && self.now > from + LONGEST_PAUSE_MS
        });
        if frozen || !process.alive {
            self.boot(seat);
        }
    }

    fn advance(&mut self, ms: u64) {
        // Live processes notice that time passes; a frozen one doesn't.
        for _ in 0..ms.div_ceil(300) {
            self.now += ms.min(300);
            let now = self.now;
            self.store.expire(now);
            for index in 0..self.processes.len() {
                let local = self.local(index);
                let process = &mut self.processes[index];
                if process.alive && process.pauses.is_none_or(|(_, until)| now >= until) {
                    process.holder.observe(local);
                }
            }
            self.end_runs();
        }
    }

    fn end_runs(&mut self) {
        for run in &mut self.runs {
            let process = &mut self.processes[run.process];
            let awake = process.pauses.is_none_or(|(_, until)| self.now >= until);
            if run.frees <= self.now && !run.freed && awake {
                let key = process
                    .fleet
                    .workspaces
                    .find(WORKSPACES[run.workspace])
                    .expect("declared");
                process.holder.finish(key);
                process.own_count[run.workspace] -= 1;
                run.freed = true;
            }
        }
        self.runs.retain(|run| run.ends > self.now || !run.freed);
    }

    fn limit(&mut self, workspace: usize, units: u32) {
        self.limits[workspace] = units;
        self.config_revision += 1;
    }

    fn check(&mut self) -> Result<(), String> {
        for (workspace, name) in WORKSPACES.into_iter().enumerate() {
            let running = |run: &&Run| run.workspace == workspace && run.ends > self.now;
            let running =
                u32::try_from(self.runs.iter().filter(running).count()).unwrap();
            let limit = match self.variant {
                Variant::StaticCounts => self.widest_limit(workspace),
                _ => self.store.ledger(Shard::of(name)).limit(name),
            };
            if running > limit {
                return Err(format!("{name}: {running} run, limit in force {limit}"));
            }
        }
        Ok(())
    }

    /// Returns the highest limit that any live process goes by.
    fn widest_limit(&self, workspace: usize) -> u32 {
        let live = self.processes.iter().filter(|process| process.alive);
        let limits = live.filter_map(|process| {
            let key = process.fleet.workspaces.find(WORKSPACES[workspace])?;
            Some(process.fleet.workspaces.get(key)?.limit)
        });
        limits.max().unwrap_or(u32::MAX)
    }
}
