//! Plays the platform's part on a virtual clock: hosts drain, reboot and fail.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rhubarbrill_core::fleet::{Fleet, PoolKey, ZoneKey};
use rhubarbrill_core::maintenance::{
    BudgetScope, Command, Decision, DrainReport, Evidence, Ledger, Phase, Selection, Step,
};
use rhubarbrill_core::member::Member;

use super::fault::{Fault, FaultPlan, PROBE_DURATION, RACK_FAILURE_TIME, StepDurations};
use super::site::Site;
use super::strategy::Strategy;

/// Time between two looks of the planner at the ledger.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);

/// How a wave went.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    /// From the first drain to the last host back.
    pub(super) rollout: Duration,
    /// No order of the hosts within the budgets takes less.
    pub(super) bound: Duration,
    /// Hosts that were taken out of service for the wave, repeated ones counted again.
    pub(super) drains: u32,
    /// Sum over hosts of the time out of service by plan.
    pub(super) held_back: Duration,
    /// Sum over pools of the hosts out beyond the pool's budget, for as long as they were.
    pub(super) below_budget: Duration,
    /// Looks at which more hosts were out by plan than a budget holds.
    pub(super) overdrawn: u32,
}

/// Time after which a wave that goes on counts as stuck.
const MAX_WAVE_DURATION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// A fleet under maintenance.
pub(super) struct Simulation {
    fleet: Fleet,
    ledger: Ledger,
    fault_plan: FaultPlan,
    now: Duration,
    repaired_at: BTreeMap<String, Duration>,
    events: BinaryHeap<Reverse<Event>>,
    outcome: Outcome,
}

/// Something that ends a host's step, unless the host has left that step.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Event {
    at: Duration,
    host: String,
    kind: EventKind,
    generation: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    Drained,
    Fails,
    Recovers,
    Returns,
    Serves,
}

impl Simulation {
    pub(super) fn new(site: Site, fault: Fault, seed: u64) -> Self {
        let fleet = site.fleet();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fault_plan = FaultPlan::new(&fleet, fault, &mut rng);
        let mut simulation = Self {
            outcome: Outcome {
                bound: rollout_lower_bound(&fleet, &fault_plan),
                ..Outcome::default()
            },
            fleet,
            ledger: Ledger::default(),
            fault_plan,
            now: Duration::ZERO,
            repaired_at: BTreeMap::new(),
            events: BinaryHeap::new(),
        };
        simulation.start_waves();
        simulation
    }

    /// Runs until every wave is over.
    pub(super) fn run(mut self, strategy: Strategy) -> Outcome {
        while self.has_open_wave() && self.now < MAX_WAVE_DURATION {
            self.process_due_events();
            let generation = self.ledger.generation();
            let commands = strategy.next_commands(
                &self.ledger,
                &self.fleet,
                &self.fault_plan.estimate,
            );
            for command in commands {
                self.apply(generation, command);
            }
            self.account_interval();
            self.now += PLAN_INTERVAL;
        }
        self.outcome
    }

    fn has_open_wave(&self) -> bool {
        let mut waves = self.ledger.waves();
        waves.any(|(_, wave)| wave.phase != Phase::Done)
    }

    /// Starts a wave for each pool, and sets the rack's failure.
    fn start_waves(&mut self) {
        let pools: Vec<_> = self
            .fleet
            .pools
            .iter()
            .map(|(_, name, _)| name.to_owned())
            .collect();
        for pool in pools {
            let command = Command::StartWave {
                wave: pool.clone(),
                selection: Selection::Pool(pool),
                finish_by: None,
            };
            self.apply(self.ledger.generation(), command);
        }
        for key in self.fault_plan.rack_hosts.clone() {
            let host = self.fleet.hosts.name(key).unwrap_or_default().to_owned();
            self.events.push(Reverse(Event {
                at: RACK_FAILURE_TIME,
                host,
                kind: EventKind::Fails,
                generation: 0,
            }));
        }
    }

    /// Lets everything happen that is due.
    fn process_due_events(&mut self) {
        while let Some(Reverse(event)) = self.events.peek() {
            if event.at > self.now {
                return;
            }
            let Some(Reverse(event)) = self.events.pop() else {
                return;
            };
            let record = self.ledger.record(&event.host);
            let is_current =
                record.is_some_and(|record| record.changed == event.generation);
            if is_current || event.kind == EventKind::Fails {
                self.apply(self.ledger.generation(), event.command());
            }
        }
    }

    fn apply(&mut self, generation: u64, command: Command) {
        let result = self.ledger.apply(&self.fleet, generation, &command);
        let (Ok(Decision::Changed(generation)), Some(host)) = (result, command.host())
        else {
            return;
        };
        if let Command::ResumeService { .. } = command {
            self.outcome.rollout = self.now;
        }
        self.outcome.drains += u32::from(matches!(command, Command::BeginDrain { .. }));
        if let Command::MarkFailed { .. } = command {
            let repaired = self.now + self.durations(host).repair;
            self.repaired_at.insert(host.to_owned(), repaired);
        }
        if let Some((duration, kind)) = self.next_transition(host) {
            self.events.push(Reverse(Event {
                at: self.transition_time(host, kind, duration),
                host: host.to_owned(),
                kind,
                generation,
            }));
        }
    }

    /// Returns how long the host's present step takes, and what ends it.
    fn next_transition(&self, host: &str) -> Option<(Duration, EventKind)> {
        let durations = self.durations(host);
        match self.ledger.record(host)?.step {
            Step::Leaving { .. } => Some((durations.drain, EventKind::Drained)),
            Step::Rebooting if durations.stuck => {
                Some((durations.reboot, EventKind::Fails))
            }
            Step::Rebooting | Step::Moving => {
                Some((durations.reboot, EventKind::Returns))
            }
            Step::Returning => Some((PROBE_DURATION, EventKind::Serves)),
            Step::Failed => Some((durations.repair, EventKind::Recovers)),
            Step::Drained | Step::Serving => None,
        }
    }

    /// Returns when a step ends: a broken host is up no sooner than it is repaired.
    fn transition_time(
        &self,
        host: &str,
        kind: EventKind,
        duration: Duration,
    ) -> Duration {
        let repaired = self.repaired_at.get(host).copied().unwrap_or_default();
        match kind {
            EventKind::Recovers | EventKind::Returns => repaired.max(self.now + duration),
            EventKind::Drained | EventKind::Fails | EventKind::Serves => {
                self.now + duration
            }
        }
    }

    fn durations(&self, host: &str) -> StepDurations {
        let key = self.fleet.hosts.find(host);
        key.and_then(|key| self.fault_plan.step_durations.get(key).copied())
            .unwrap_or_default()
    }

    /// Adds what the next interval costs.
    fn account_interval(&mut self) {
        let by_plan = self
            .ledger
            .records()
            .filter(|(_, record)| !record.step.accepts() && !record.is_unplanned());
        let by_plan = u32::try_from(by_plan.count()).unwrap_or(u32::MAX);
        self.outcome.held_back += PLAN_INTERVAL * by_plan;
        let budget_usage = self.ledger.budget_usage(&self.fleet);
        for violation in budget_usage.violations(&self.fleet) {
            if violation.scope == BudgetScope::Pool {
                self.outcome.below_budget +=
                    PLAN_INTERVAL * (violation.out - violation.max_out);
            }
            let is_planned = violation.out > violation.max_out + violation.unplanned;
            self.outcome.overdrawn += u32::from(is_planned);
        }
    }
}

impl Event {
    fn command(self) -> Command {
        let host = self.host;
        match self.kind {
            EventKind::Drained => Command::ConfirmDrained {
                host,
                evidence: drain_evidence(),
            },
            EventKind::Fails => Command::MarkFailed { host },
            EventKind::Recovers => Command::MarkRecovered { host },
            EventKind::Returns => Command::Returned { host },
            EventKind::Serves => Command::ResumeService { host },
        }
    }
}

fn drain_evidence() -> Evidence {
    let member = Member {
        entry: "e0".into(),
        zone: "z00".into(),
        incarnation: 0,
    };
    let generation = u64::MAX;
    Evidence::default().with(member, DrainReport::Idle { generation })
}

/// Returns the least time in which every host can be out once, if no rack fails: for each
/// pool the longest of its hosts, and the sum over each part of it for that part's budget.
fn rollout_lower_bound(fleet: &Fleet, fault_plan: &FaultPlan) -> Duration {
    let mut sums: BTreeMap<(PoolKey, Option<ZoneKey>, Option<&str>), Duration> =
        BTreeMap::new();
    let mut longest = Duration::ZERO;
    for (key, _, host) in fleet.hosts.iter() {
        let outage = fault_plan
            .step_durations
            .get(key)
            .copied()
            .unwrap_or_default()
            .outage();
        longest = longest.max(outage);
        let zone = Some(host.zone);
        for scope in [(None, None), (zone, None), (zone, Some(host.rack.as_str()))] {
            *sums.entry((host.pool, scope.0, scope.1)).or_default() += outage;
        }
    }
    let duration = |(&(pool, zone, rack), &sum): (&(PoolKey, _, _), &Duration)| {
        let budget = fleet.pools.get(pool)?.budget;
        let max_out = match (zone, rack) {
            (None, _) => budget.max_out,
            (Some(_), None) => budget.max_out_per_zone,
            (Some(_), Some(_)) => budget.max_out_per_rack,
        };
        sum.checked_div(max_out)
    };
    sums.iter()
        .filter_map(duration)
        .max()
        .unwrap_or_default()
        .max(longest)
}
