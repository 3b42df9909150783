//! One gate under load, and the timing of its decisions.

use std::hint::black_box;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbrill_core::fleet::{Fleet, PoolKey, QueueKey, WorkspaceKey};
use rhubarbrill_core::gate::{
    Class, Gate, Members, Options, Outcome, Start, Status, Submission, Ticket, Usage,
};
use rhubarbrill_core::health::State;
use rhubarbrill_core::placement::Placement;
use rhubarbrill_core::route::{ChoiceConstraints, Peer, SlotDivider, Table};
use rhubarbrill_core::time::Instant;

use crate::deployment;

/// Requests in one timed batch.
const BATCH: usize = 10_000;
/// Requests that wait while others are timed.
const BACKLOG: usize = 4_000;
/// Units of every workspace, so that limits don't bind.
const FLOOR: u32 = 1_000_000;

/// A fleet's size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub hosts: usize,
    pub pools: usize,
    pub workspaces: usize,
    pub entries: usize,
    pub zones: usize,
}

#[derive(Debug)]
pub struct Bench {
    gate: Gate,
    table: Table,
    fleet: Fleet,
    placement: Placement,
    members: Members,
    workspaces: Vec<WorkspaceKey>,
    pools: Vec<PoolKey>,
    queues: Vec<QueueKey>,
    now: Instant,
    random: ChaCha8Rng,
}

impl Bench {
    pub fn new(size: Size, seed: u64) -> Self {
        let mut fleet = Fleet::default();
        let zones = deployment::declare_zones(&mut fleet, size.zones);
        let shares: Vec<u32> = (0..size.workspaces)
            .map(|workspace| 1 + workspace as u32)
            .collect();
        let workspaces = deployment::declare_workspaces(&mut fleet, &shares);
        let mut pools = Vec::new();
        let mut queues = Vec::new();
        for index in 0..size.pools {
            let hosts =
                size.hosts * (index + 1) / size.pools - size.hosts * index / size.pools;
            let name = format!("pool{index:03}");
            let pool = deployment::declare_pool(&mut fleet, &zones, &name, hosts);
            queues.push(deployment::declare_queue(&mut fleet, pool, index, u32::MAX));
            pools.push(pool);
        }
        let live = deployment::members(size.entries, size.zones);
        let members = Members {
            this: live[0].clone(),
            live,
        };
        let placement = Placement::declared(&fleet);
        let mut bench = Self {
            gate: Gate::new(Options::default().seed(seed)),
            table: table(&fleet, &placement, seed),
            fleet,
            placement,
            members,
            workspaces,
            pools,
            queues,
            now: Instant::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        bench.prepare();
        bench
    }

    pub fn admit(&mut self) -> f64 {
        let asks = self.asks();
        let (tickets, cost) = timed(asks.len(), || {
            let submit = |ask: &Submission| self.gate.submit(self.now, *ask).ok();
            asks.iter().filter_map(submit).collect::<Vec<Ticket>>()
        });
        self.cancel_all(&tickets);
        cost
    }

    pub fn start(&mut self) -> f64 {
        let (started, cost) = self.start_all();
        self.finish_all(&started);
        cost / started.len().max(1) as f64
    }

    pub fn choose(&mut self) -> f64 {
        let picks: Vec<PoolKey> = (0..BATCH).map(|_| self.any_pool()).collect();
        let choice = ChoiceConstraints::default();
        let choose = |&pool: &PoolKey| self.table.choose(pool, choice);
        timed(BATCH, || picks.iter().filter_map(choose).count()).1
    }

    pub fn may_send(&mut self) -> f64 {
        let (started, _) = self.start_all();
        let may_send = |start: &&Start| self.gate.may_send(self.now, start.ticket);
        let count = started.len().max(1);
        let (_, cost) = timed(count, || started.iter().filter(may_send).count());
        self.finish_all(&started);
        cost
    }

    pub fn finish(&mut self) -> f64 {
        let (started, _) = self.start_all();
        let cost = self.finish_all(&started);
        cost / started.len().max(1) as f64
    }

    /// Cancels a wave that waits in one line.
    pub fn cancel(&mut self) -> f64 {
        let tickets = self.wave(self.now + Duration::from_secs(600));
        timed(tickets.len(), || self.cancel_all(&tickets)).1
    }

    pub fn expire(&mut self) -> f64 {
        let soon = self.now + Duration::from_millis(1);
        let tickets = self.wave(soon);
        self.now = soon;
        timed(tickets.len(), || self.gate.expire(soon)).1
    }

    /// Takes in a report of as many rows as there are workspaces.
    pub fn absorb(&mut self) -> f64 {
        let row = |(index, &workspace): (usize, &WorkspaceKey)| Usage {
            workspace,
            pool: self.pools[index % self.pools.len()],
            running: 3,
            waiting: 2,
        };
        let usage: Vec<Usage> = self.workspaces.iter().enumerate().map(row).collect();
        let count = usage.len() * 100;
        let (_, cost) = timed(count, || {
            for _ in 0..100 {
                self.gate
                    .apply_usage_report(self.now, "entry0001", usage.clone());
            }
        });
        cost
    }

    pub fn reconfigure(&mut self) -> f64 {
        let Self {
            gate,
            fleet,
            placement,
            now,
            ..
        } = self;
        timed(1, || gate.reconfigure(fleet, placement, *now)).1
    }

    pub fn set_members(&mut self) -> f64 {
        let members = self.members.clone();
        timed(1, || self.gate.set_members(members)).1
    }

    fn prepare(&mut self) {
        let Self {
            gate,
            fleet,
            placement,
            now,
            ..
        } = self;
        gate.reconfigure(fleet, placement, *now);
        gate.set_members(self.members.clone());
        for &workspace in &self.workspaces {
            self.gate.holder_mut().set_floor(workspace, FLOOR);
        }
    }

    fn asks(&mut self) -> Vec<Submission> {
        (0..BATCH).map(|_| self.ask()).collect()
    }

    fn ask(&mut self) -> Submission {
        let urgent = self.random.random_bool(0.2);
        Submission {
            workspace: self.workspaces
                [self.random.random_range(0..self.workspaces.len())],
            queue: self.queues[self.random.random_range(0..self.queues.len())],
            class: if urgent { Class::Urgent } else { Class::Normal },
            deadline: self.now + Duration::from_secs(600),
            repeatable: true,
        }
    }

    fn any_pool(&mut self) -> PoolKey {
        self.pools[self.random.random_range(0..self.pools.len())]
    }

    /// Lets a backlog wait, starts all that has a slot, and returns the time in ns.
    fn start_all(&mut self) -> (Vec<Start>, f64) {
        for _ in 0..BACKLOG {
            let ask = self.ask();
            let _ = self.gate.submit(self.now, ask);
        }
        let Self { gate, now, .. } = self;
        let next = || gate.next_start(*now);
        timed(1, || std::iter::from_fn(next).collect())
    }

    /// Ends what was started and clears the backlog; returns the time of the ends in ns.
    fn finish_all(&mut self, started: &[Start]) -> f64 {
        let latency = Duration::from_millis(100);
        self.now = self.now + latency;
        let status = Status::Success;
        let outcome = Outcome::Answered { status, latency };
        let (_, cost) = timed(1, || {
            for start in started {
                self.gate.finish(self.now, start.ticket, outcome);
            }
        });
        self.now = self.now + Duration::from_secs(700);
        self.gate.expire(self.now);
        cost
    }

    fn wave(&mut self, deadline: Instant) -> Vec<Ticket> {
        let mut ask = self.ask();
        ask.deadline = deadline;
        ask.class = Class::Normal;
        let submit = |_| self.gate.submit(self.now, ask).ok();
        (0..BATCH).filter_map(submit).collect()
    }

    fn cancel_all(&mut self, tickets: &[Ticket]) {
        for &ticket in tickets {
            self.gate.cancel(self.now, ticket);
        }
    }
}

/// Returns the table of a single entry host, with every slot free.
fn table(fleet: &Fleet, placement: &Placement, seed: u64) -> Table {
    let this = Peer {
        entry: "entry0000".into(),
        zone: None,
    };
    let mut table = Table::new(seed);
    table.rebuild(fleet, placement);
    table.divide_slots(&SlotDivider::new(this, Vec::new()), None, |_| {
        State::Healthy
    });
    table
}

/// Runs a batch and returns its result and the ns per decision.
fn timed<T>(count: usize, run: impl FnOnce() -> T) -> (T, f64) {
    let begin = std::time::Instant::now();
    let result = black_box(run());
    let nanos = begin.elapsed().as_nanos() as f64;
    (result, nanos / count.max(1) as f64)
}
