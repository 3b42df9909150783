//! Simulates pools that serve work second by second and a spare host that moves between
//! them.

use std::time::Duration;

use rhubarbrill_core::fleet::{Fleet, HostKey, PoolKey};
use rhubarbrill_core::maintenance::{Command, Evidence, Ledger, Reason, Step};
use rhubarbrill_core::spare::Demand;
use rhubarbrill_core::time::Instant;

use super::load::{DemandGenerator, DemandPattern, POOL_SIZES};
use super::strategy::{Controller, Strategy};
use crate::deployment::{SLOTS_PER_ENDPOINT, declare_pool, declare_zones};

/// Name of the spare host.
const SPARE_HOST: &str = "spare-host000";
const POOLS: usize = POOL_SIZES.len();
/// Time from the decision until the host serves its new pool.
const MOVE_SECS: u64 = 120;
/// Additional drain time of a host that has served a pool.
const EXTRA_DRAIN_SECS: u64 = 60;
/// Time between two decisions.
const DECISION_INTERVAL_SECS: u64 = 5;
const MILLIS_PER_SEC: u64 = 1_000;

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    /// Slot-seconds of work that arrived.
    pub(super) arrived_work: f64,
    /// Integral over time of the waiting work, in slot-seconds times seconds.
    ///
    /// Divided by the work that arrived, it is the mean waiting time.
    pub(super) queued_work_secs: f64,
    /// Slot-seconds of the spare host while it was on standby or moved.
    pub(super) held_back: f64,
    /// Slot-seconds of serving hosts that had no work.
    pub(super) idle: f64,
    /// Moves of the spare host, including those back to its pool.
    pub(super) moves: u32,
    /// Waiting time and amount of the work that arrived in each second for each pool.
    arrivals_by_wait: Vec<(f64, f64)>,
}

impl Outcome {
    /// Returns the 99th percentile of the waiting time in seconds, weighted by work.
    pub(super) fn p99_wait(&self) -> f64 {
        let mut arrivals_by_wait = self.arrivals_by_wait.clone();
        arrivals_by_wait.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut remaining = self.arrived_work / 100.0;
        let mut exceeds_rank = |(_, work): &(f64, f64)| {
            remaining -= work;
            remaining < 0.0
        };
        arrivals_by_wait
            .iter()
            .find(|wait| exceeds_rank(wait))
            .map_or(0.0, |wait| wait.0)
    }
}

/// Five service pools and one spare host.
pub(super) struct Simulation {
    fleet: Fleet,
    ledger: Ledger,
    pools: [PoolKey; POOLS],
    spare: HostKey,
    demand_generator: DemandGenerator,
    /// Waiting work of each pool in slot-seconds.
    waiting: [f64; POOLS],
    /// Time in seconds at which the spare host's current move ends.
    step_end_secs: u64,
    outcome: Outcome,
}

impl Simulation {
    pub(super) fn new(pattern: DemandPattern, mean_utilization: f64, seed: u64) -> Self {
        let mut fleet = Fleet::default();
        let zones = declare_zones(&mut fleet, 3);
        let pools = std::array::from_fn(|pool| {
            let size = POOL_SIZES[pool] as usize;
            declare_pool(&mut fleet, &zones, &format!("service{pool}"), size)
        });
        declare_pool(&mut fleet, &zones, "spare", 1);
        Self {
            spare: fleet.hosts.find(SPARE_HOST).unwrap_or_default(),
            fleet,
            ledger: Ledger::default(),
            pools,
            demand_generator: DemandGenerator::new(pattern, mean_utilization, seed),
            waiting: [0.0; POOLS],
            step_end_secs: 0,
            outcome: Outcome::default(),
        }
    }

    /// Runs the pools under a strategy for `duration`.
    pub(super) fn run(mut self, strategy: Strategy, duration: Duration) -> Outcome {
        let mut controller = Controller::new(strategy);
        for now in 0..duration.as_secs() {
            self.finish_move_steps(now);
            let demands = self.serve(now, strategy);
            let at = Instant::from_millis(now * MILLIS_PER_SEC);
            for (pool, demand) in self.pools.into_iter().zip(demands) {
                controller.observe(at, pool, demand);
            }
            if now % DECISION_INTERVAL_SECS == 0 {
                let generation = self.ledger.generation();
                for command in controller.next_commands(&self.ledger, &self.fleet) {
                    self.begin_move(now, generation, &command);
                }
            }
        }
        self.outcome
    }

    /// Applies the command of a move and sets the time at which the move ends.
    fn begin_move(&mut self, now: u64, generation: u64, command: &Command) {
        let lent = self.ledger.record(SPARE_HOST).is_some();
        if self.ledger.apply(&self.fleet, generation, command).is_ok() {
            let drain = if lent { EXTRA_DRAIN_SECS } else { 0 };
            self.step_end_secs = now + MOVE_SECS + drain;
            self.outcome.moves += 1;
        }
    }

    /// Takes the spare host through the remaining steps of its move once the move time is
    /// over.
    fn finish_move_steps(&mut self, now: u64) {
        let Some(record) = self.ledger.record(SPARE_HOST) else {
            return;
        };
        if record.step == Step::Serving || now < self.step_end_secs {
            return;
        }
        let Reason::Move { to } = record.reason.clone() else {
            return;
        };
        let host = || SPARE_HOST.to_owned();
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
            let generation = self.ledger.generation();
            let result = self.ledger.apply(&self.fleet, generation, &command);
            assert!(result.is_ok(), "{command:?}: {result:?}");
        }
    }

    /// Serves one second of work and returns the demand of each pool.
    fn serve(&mut self, now: u64, strategy: Strategy) -> [Demand; POOLS] {
        let borrower = self.borrowing_pool();
        let mut slots: [f64; POOLS] = [0.0; POOLS];
        let mut work: [f64; POOLS] = [0.0; POOLS];
        let mut demands = [Demand::default(); POOLS];
        for pool in 0..POOLS {
            let declared = SLOTS_PER_ENDPOINT * POOL_SIZES[pool];
            let borrowed = u32::from(borrower == Some(self.pools[pool]));
            let down = self.demand_generator.failed_hosts(pool, now);
            let present =
                declared + SLOTS_PER_ENDPOINT * borrowed - SLOTS_PER_ENDPOINT * down;
            let arrived = self.demand_generator.arrivals(pool, now, declared);
            slots[pool] = f64::from(present);
            work[pool] = self.waiting[pool] + arrived;
            self.outcome.arrived_work += arrived;
            let wait = self.waiting[pool] / slots[pool];
            self.outcome.arrivals_by_wait.push((wait, arrived));
            demands[pool] = Demand {
                running: work[pool].min(slots[pool]) as u32,
                waiting: (work[pool] - slots[pool]).max(0.0) as u32,
                slots: present,
                borrowed,
            };
        }
        self.complete_work(strategy, borrower.is_some(), &slots, &mut work);
        demands
    }

    /// Subtracts the work completed in this second and adds the rest to the results.
    fn complete_work(
        &mut self,
        strategy: Strategy,
        lent: bool,
        slots: &[f64; POOLS],
        work: &mut [f64; POOLS],
    ) {
        let mut spare_slots = f64::from(SLOTS_PER_ENDPOINT);
        for pool in 0..POOLS {
            let done = work[pool].min(slots[pool]);
            work[pool] -= done;
            self.outcome.idle += slots[pool] - done;
            if strategy == Strategy::OnePool {
                spare_slots += slots[pool] - done;
            }
        }
        match strategy {
            Strategy::FreeMoves | Strategy::OnePool => {
                share_spare_slots(&mut spare_slots, slots, work);
            }
            _ if lent => {}
            _ => self.outcome.held_back += f64::from(SLOTS_PER_ENDPOINT),
        }
        self.outcome.queued_work_secs += work.iter().sum::<f64>();
        self.waiting = *work;
    }

    /// Returns the pool that the spare host serves, unless it is moving or on standby.
    fn borrowing_pool(&self) -> Option<PoolKey> {
        let record = self.ledger.record(SPARE_HOST)?;
        let pool = self.ledger.pool(&self.fleet, self.spare)?;
        record.step.accepts().then_some(pool)
    }
}

/// Assigns free slots to pools in order of their waiting time, longest first.
fn share_spare_slots(
    spare_slots: &mut f64,
    slots: &[f64; POOLS],
    work: &mut [f64; POOLS],
) {
    let mut order: [usize; POOLS] = std::array::from_fn(|pool| pool);
    order.sort_by(|&a, &b| (work[b] / slots[b]).total_cmp(&(work[a] / slots[a])));
    for pool in order {
        let done = work[pool].min(*spare_slots);
        work[pool] -= done;
        *spare_slots -= done;
    }
}
