//! Pools that serve work second by second, and a spare host that moves between them.

use std::time::Duration;

use rhubarbrill_core::fleet::{Fleet, HostKey, PoolKey};
use rhubarbrill_core::maintenance::{Command, Evidence, Ledger, Reason, Step};
use rhubarbrill_core::spare::Demand;
use rhubarbrill_core::time::Instant;

use super::load::{Load, POOL_SIZES, Shape};
use super::strategy::{Controller, Strategy};
use crate::deployment::{SLOTS_PER_ENDPOINT, declare_pool, declare_zones};

const SPARE: &str = "spare-host000";
const POOLS: usize = POOL_SIZES.len();
/// Time from the choice to the host serving its new pool.
const MOVE_SECS: u64 = 120;
/// Time that a host which served a pool drains longer.
const DRAIN_SECS: u64 = 60;
/// Time between two choices.
const CHOICE_SECS: u64 = 5;
const MILLIS_PER_SEC: u64 = 1_000;

/// How the spare host served.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    /// Slot-seconds of work that arrived.
    pub(super) needed: f64,
    /// Work that waited, summed over time.
    pub(super) wait: f64,
    /// Slot-seconds of the spare host while it stood by or moved.
    pub(super) held_back: f64,
    /// Slot-seconds of serving hosts without work.
    pub(super) idle: f64,
    /// Changes of pool.
    pub(super) moves: u32,
    /// Wait of the work that arrived in each second, and how much it was.
    waits: Vec<(f64, f64)>,
}

impl Outcome {
    /// Returns the wait that 99% of the work doesn't exceed, in seconds.
    pub(super) fn p99_wait(&self) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut left = self.needed / 100.0;
        let mut beyond = |(_, work): &(f64, f64)| {
            left -= work;
            left < 0.0
        };
        waits
            .iter()
            .find(|wait| beyond(wait))
            .map_or(0.0, |wait| wait.0)
    }
}

/// Five pools and a spare host.
pub(super) struct World {
    fleet: Fleet,
    ledger: Ledger,
    pools: [PoolKey; POOLS],
    spare: HostKey,
    load: Load,
    waiting: [f64; POOLS],
    /// When the spare host's present step ends, in seconds.
    step_ends: u64,
    outcome: Outcome,
}

impl World {
    pub(super) fn new(shape: Shape, mean: f64, seed: u64) -> Self {
        let mut fleet = Fleet::default();
        let zones = declare_zones(&mut fleet, 3);
        let pools = std::array::from_fn(|pool| {
            let size = POOL_SIZES[pool] as usize;
            declare_pool(&mut fleet, &zones, &format!("service{pool}"), size)
        });
        declare_pool(&mut fleet, &zones, "spare", 1);
        Self {
            spare: fleet.hosts.find(SPARE).unwrap_or_default(),
            fleet,
            ledger: Ledger::default(),
            pools,
            load: Load::new(shape, mean, seed),
            waiting: [0.0; POOLS],
            step_ends: 0,
            outcome: Outcome::default(),
        }
    }

    /// Runs the pools for so long a time.
    pub(super) fn run(mut self, strategy: Strategy, span: Duration) -> Outcome {
        let mut controller = Controller::new(strategy);
        for now in 0..span.as_secs() {
            self.step(now);
            let demands = self.serve(now, strategy);
            let at = Instant::from_millis(now * MILLIS_PER_SEC);
            for (pool, demand) in self.pools.into_iter().zip(demands) {
                controller.observe(at, pool, demand);
            }
            if now % CHOICE_SECS == 0 {
                let seen = self.ledger.generation();
                for command in controller.next(&self.ledger, &self.fleet) {
                    self.begin(now, seen, &command);
                }
            }
        }
        self.outcome
    }

    fn begin(&mut self, now: u64, seen: u64, command: &Command) {
        let lent = self.ledger.record(SPARE).is_some();
        if self.ledger.apply(&self.fleet, seen, command).is_ok() {
            let drain = if lent { DRAIN_SECS } else { 0 };
            self.step_ends = now + MOVE_SECS + drain;
            self.outcome.moves += 1;
        }
    }

    /// Takes the spare host through its steps when its move is over.
    fn step(&mut self, now: u64) {
        let Some(record) = self.ledger.record(SPARE) else {
            return;
        };
        if record.step == Step::Serving || now < self.step_ends {
            return;
        }
        let Reason::Move { to } = record.reason.clone() else {
            return;
        };
        let host = || SPARE.to_owned();
        let evidence = Evidence::after(Duration::MAX);
        let commands = [
            Command::ConfirmDrained {
                host: host(),
                evidence,
            },
            Command::MoveHost { host: host(), to },
            Command::Returned { host: host() },
            Command::ResumeService { host: host() },
        ];
        for command in commands {
            let seen = self.ledger.generation();
            let answer = self.ledger.apply(&self.fleet, seen, &command);
            assert!(answer.is_ok(), "{command:?}: {answer:?}");
        }
    }

    /// Serves one second of work and returns what each pool had to do.
    fn serve(&mut self, now: u64, strategy: Strategy) -> [Demand; POOLS] {
        let home = self.borrower();
        let mut slots: [f64; POOLS] = [0.0; POOLS];
        let mut work: [f64; POOLS] = [0.0; POOLS];
        let mut demands = [Demand::default(); POOLS];
        for pool in 0..POOLS {
            let declared = SLOTS_PER_ENDPOINT * POOL_SIZES[pool];
            let borrowed = u32::from(home == Some(self.pools[pool]));
            let down = self.load.failed(pool, now);
            let present =
                declared + SLOTS_PER_ENDPOINT * borrowed - SLOTS_PER_ENDPOINT * down;
            let arrived = self.load.arrivals(pool, now, declared);
            slots[pool] = f64::from(present);
            work[pool] = self.waiting[pool] + arrived;
            self.outcome.needed += arrived;
            let wait = self.waiting[pool] / slots[pool];
            self.outcome.waits.push((wait, arrived));
            demands[pool] = Demand {
                running: work[pool].min(slots[pool]) as u32,
                waiting: (work[pool] - slots[pool]).max(0.0) as u32,
                slots: present,
                borrowed,
            };
        }
        self.settle(strategy, home.is_some(), &slots, &mut work);
        demands
    }

    /// Takes the work done in this second off, and keeps account of the rest.
    fn settle(
        &mut self,
        strategy: Strategy,
        lent: bool,
        slots: &[f64; POOLS],
        work: &mut [f64; POOLS],
    ) {
        let mut spare = f64::from(SLOTS_PER_ENDPOINT);
        for pool in 0..POOLS {
            let done = work[pool].min(slots[pool]);
            work[pool] -= done;
            self.outcome.idle += slots[pool] - done;
            if strategy == Strategy::OnePool {
                spare += slots[pool] - done;
            }
        }
        match strategy {
            Strategy::FreeMoves | Strategy::OnePool => share(&mut spare, slots, work),
            _ if lent => {}
            _ => self.outcome.held_back += f64::from(SLOTS_PER_ENDPOINT),
        }
        self.outcome.wait += work.iter().sum::<f64>();
        self.waiting = *work;
    }

    fn borrower(&self) -> Option<PoolKey> {
        let record = self.ledger.record(SPARE)?;
        let pool = self.ledger.pool(&self.fleet, self.spare)?;
        record.step.accepts().then_some(pool)
    }
}

/// Gives free slots to the pools that wait longest.
fn share(spare: &mut f64, slots: &[f64; POOLS], work: &mut [f64; POOLS]) {
    let mut order: [usize; POOLS] = std::array::from_fn(|pool| pool);
    order.sort_by(|&a, &b| (work[b] / slots[b]).total_cmp(&(work[a] / slots[a])));
    for pool in order {
        let done = work[pool].min(*spare);
        work[pool] -= done;
        *spare -= done;
    }
}
