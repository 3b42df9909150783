//! Drives one gate under load and times its decisions.

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

/// Number of requests in one timed batch.
const BATCH: usize = 10_000;
/// Number of requests that are queued before starts are timed.
const BACKLOG: usize = 4_000;
/// Allowance units that every workspace holds without expiry, so many that workspace
/// limits never bind.
const WORKSPACE_FLOOR: u32 = 1_000_000;

/// Dimensions of a measured fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Hosts in all pools together.
    pub hosts: usize,
    /// Pools, each with one queue.
    pub pools: usize,
    /// Workspaces, with shares from 1 upwards.
    pub workspaces: usize,
    /// Entry hosts, which all count as live members.
    pub entry_hosts: usize,
    /// Availability zones that hosts and entry hosts are spread over.
    pub zones: usize,
}

/// A gate and a routing table over a synthetic fleet, driven on a virtual clock.
///
/// Each public method times one kind of decision and returns nanoseconds per decision.
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
    rng: ChaCha8Rng,
}

impl Bench {
    /// Declares a fleet of this size and configures a gate for its first entry host.
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
        let live = deployment::members(size.entry_hosts, size.zones);
        let members = Members {
            this: live[0].clone(),
            live,
        };
        let placement = Placement::declared(&fleet);
        let mut bench = Self {
            gate: Gate::new(Options::default().seed(seed)),
            table: routing_table(&fleet, &placement, seed),
            fleet,
            placement,
            members,
            workspaces,
            pools,
            queues,
            now: Instant::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        bench.configure_gate();
        bench
    }

    /// Times the admission of a batch of random requests.
    pub fn admit(&mut self) -> f64 {
        let submissions = self.submissions();
        let (tickets, cost) = time_per_decision(submissions.len(), || {
            let submit =
                |submission: &Submission| self.gate.submit(self.now, *submission).ok();
            submissions
                .iter()
                .filter_map(submit)
                .collect::<Vec<Ticket>>()
        });
        self.cancel_all(&tickets);
        cost
    }

    /// Times the starts of queued requests, including the choice of an endpoint.
    pub fn start(&mut self) -> f64 {
        let (started, cost) = self.start_all();
        self.finish_all(&started);
        cost / started.len().max(1) as f64
    }

    /// Times the choice of an endpoint alone.
    pub fn choose_endpoint(&mut self) -> f64 {
        let pools: Vec<PoolKey> = (0..BATCH).map(|_| self.random_pool()).collect();
        let constraints = ChoiceConstraints::default();
        let choose = |&pool: &PoolKey| self.table.choose(pool, constraints);
        time_per_decision(BATCH, || pools.iter().filter_map(choose).count()).1
    }

    /// Times the check that precedes the sending of a started request.
    pub fn may_send(&mut self) -> f64 {
        let (started, _) = self.start_all();
        let may_send = |start: &&Start| self.gate.may_send(self.now, start.ticket);
        let count = started.len().max(1);
        let (_, cost) =
            time_per_decision(count, || started.iter().filter(may_send).count());
        self.finish_all(&started);
        cost
    }

    /// Times the completion of started requests.
    pub fn finish(&mut self) -> f64 {
        let (started, _) = self.start_all();
        let cost = self.finish_all(&started);
        cost / started.len().max(1) as f64
    }

    /// Times the cancellation of a batch that waits in a single queue.
    pub fn cancel_batch(&mut self) -> f64 {
        let tickets = self.submit_batch(self.now + Duration::from_secs(600));
        time_per_decision(tickets.len(), || self.cancel_all(&tickets)).1
    }

    /// Times the expiry of a batch that waits in a single queue with one deadline.
    pub fn expire_batch(&mut self) -> f64 {
        let deadline = self.now + Duration::from_millis(1);
        let tickets = self.submit_batch(deadline);
        self.now = deadline;
        time_per_decision(tickets.len(), || self.gate.expire(deadline)).1
    }

    /// Times the application of usage reports with one row for each workspace; returns
    /// the time for each row.
    pub fn apply_usage_report(&mut self) -> f64 {
        let row = |(index, &workspace): (usize, &WorkspaceKey)| Usage {
            workspace,
            pool: self.pools[index % self.pools.len()],
            running: 3,
            waiting: 2,
            run_time: None,
        };
        let usage: Vec<Usage> = self.workspaces.iter().enumerate().map(row).collect();
        let count = usage.len() * 100;
        let (_, cost) = time_per_decision(count, || {
            for _ in 0..100 {
                self.gate
                    .apply_usage_report(self.now, "entry0001", usage.clone());
            }
        });
        cost
    }

    /// Times one reconfiguration with an unchanged fleet.
    pub fn reconfigure(&mut self) -> f64 {
        let Self {
            gate,
            fleet,
            placement,
            now,
            ..
        } = self;
        time_per_decision(1, || gate.reconfigure(fleet, placement, *now)).1
    }

    /// Times one update of the member list with unchanged members.
    pub fn set_members(&mut self) -> f64 {
        let members = self.members.clone();
        time_per_decision(1, || self.gate.set_members(members)).1
    }

    fn configure_gate(&mut self) {
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
            self.gate.holder_mut().set_floor(workspace, WORKSPACE_FLOOR);
        }
    }

    fn submissions(&mut self) -> Vec<Submission> {
        (0..BATCH).map(|_| self.random_submission()).collect()
    }

    fn random_submission(&mut self) -> Submission {
        let urgent = self.rng.random_bool(0.2);
        Submission {
            workspace: self.workspaces[self.rng.random_range(0..self.workspaces.len())],
            queue: self.queues[self.rng.random_range(0..self.queues.len())],
            class: if urgent { Class::Urgent } else { Class::Normal },
            deadline: self.now + Duration::from_secs(600),
            repeatable: true,
        }
    }

    fn random_pool(&mut self) -> PoolKey {
        self.pools[self.rng.random_range(0..self.pools.len())]
    }

    /// Queues a backlog and starts every request that gets a slot; returns the starts and
    /// their total time in nanoseconds.
    fn start_all(&mut self) -> (Vec<Start>, f64) {
        for _ in 0..BACKLOG {
            let submission = self.random_submission();
            let _ = self.gate.submit(self.now, submission);
        }
        let Self { gate, now, .. } = self;
        let next = || gate.next_start(*now);
        time_per_decision(1, || std::iter::from_fn(next).collect())
    }

    /// Finishes the started requests, then expires the backlog; returns the total time of
    /// the finishes in nanoseconds.
    fn finish_all(&mut self, started: &[Start]) -> f64 {
        let latency = Duration::from_millis(100);
        self.now = self.now + latency;
        let status = Status::Success;
        let outcome = Outcome::Answered { status, latency };
        let (_, cost) = time_per_decision(1, || {
            for start in started {
                self.gate.finish(self.now, start.ticket, outcome);
            }
        });
        self.now = self.now + Duration::from_secs(700);
        self.gate.expire(self.now);
        cost
    }

    /// Submits a batch of requests of one workspace to one queue.
    fn submit_batch(&mut self, deadline: Instant) -> Vec<Ticket> {
        let mut submission = self.random_submission();
        submission.deadline = deadline;
        submission.class = Class::Normal;
        let submit = |_| self.gate.submit(self.now, submission).ok();
        (0..BATCH).filter_map(submit).collect()
    }

    fn cancel_all(&mut self, tickets: &[Ticket]) {
        for &ticket in tickets {
            self.gate.cancel(self.now, ticket);
        }
    }
}

/// Returns the routing table of a single entry host, with every slot free.
fn routing_table(fleet: &Fleet, placement: &Placement, seed: u64) -> Table {
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

/// Runs a batch of `count` decisions; returns its result and the nanoseconds per
/// decision.
fn time_per_decision<T>(count: usize, run: impl FnOnce() -> T) -> (T, f64) {
    let start_time = std::time::Instant::now();
    let result = black_box(run());
    let nanos = start_time.elapsed().as_nanos() as f64;
    (result, nanos / count.max(1) as f64)
}
