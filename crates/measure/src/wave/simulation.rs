//! Simulates the platform on a virtual clock: hosts drain, reboot, fail and recover.

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

/// Time between two planning steps.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outcome {
    /// Time from the start until the last host returned to service.
    pub(super) rollout: Duration,
    /// Lower bound of the rollout time for any order of the hosts within the budgets.
    pub(super) bound: Duration,
    /// Number of drains that began; a host that is drained again counts again.
    pub(super) drains: u32,
    /// Sum over hosts of the planned time out of service.
    pub(super) held_back: Duration,
    /// Integral over time of the hosts out beyond their pool's budget, summed over pools.
    pub(super) below_budget: Duration,
    /// Number of budget violations due to planned outages, counted at each planning step.
    pub(super) overdrawn: u32,
}

/// Time after which a run ends although a wave is still open.
const MAX_WAVE_DURATION: Duration = Duration::from_secs(7 * 24 * 3_600);

/// A fleet with a maintenance wave over each pool.
pub(super) struct Simulation {
    fleet: Fleet,
    ledger: Ledger,
    fault_plan: FaultPlan,
    now: Duration,
    /// Time at which the repair of each failed host ends.
    repaired_at: BTreeMap<String, Duration>,
    events: BinaryHeap<Reverse<Event>>,
    outcome: Outcome,
}

/// A scheduled end of a host's maintenance step, or a failure of its rack.
///
/// The end of a step is ignored if the host's record has changed since.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Event {
    at: Duration,
    host: String,
    kind: EventKind,
    /// Generation of the ledger in which the step began.
    generation: u64,
}

/// What happens to the host at an event.
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

    /// Runs until every wave is done or the maximum duration has passed.
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

    /// Starts a wave for each pool and schedules the failure of the rack.
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

    /// Applies all events that are due.
    ///
    /// Failures apply even if the host's record has changed since they were scheduled.
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

    /// Applies a command and, if it changes a host, schedules the end of its new step.
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

    /// Returns the duration of the host's current step and the event that ends it.
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

    /// Returns when a step ends; a failed host is not up before its repair ends.
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

    /// Returns the step durations of a host.
    fn durations(&self, host: &str) -> StepDurations {
        let key = self.fleet.hosts.find(host);
        key.and_then(|key| self.fault_plan.step_durations.get(key).copied())
            .unwrap_or_default()
    }

    /// Adds the planned outages and budget violations of the next interval to the
    /// results.
    fn account_interval(&mut self) {
        let planned_outages = self
            .ledger
            .records()
            .filter(|(_, record)| !record.step.accepts() && !record.is_unplanned());
        let planned_outages = u32::try_from(planned_outages.count()).unwrap_or(u32::MAX);
        self.outcome.held_back += PLAN_INTERVAL * planned_outages;
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

/// Returns evidence of a complete drain: a report of an idle entry host for the newest
/// possible generation.
fn drain_evidence() -> Evidence {
    let member = Member {
        entry: "e0".into(),
        zone: "z00".into(),
        incarnation: 0,
    };
    let generation = u64::MAX;
    Evidence::default().with(member, DrainReport::Idle { generation })
}

/// Returns a lower bound of the time in which every host can be out once, if no rack
/// fails.
///
/// It is the maximum of the longest outage of any host and, for each pool, each of its
/// zones and each of its racks, the sum of the outages divided by that scope's budget.
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
    let min_duration = |(&(pool, zone, rack), &sum): (&(PoolKey, _, _), &Duration)| {
        let budget = fleet.pools.get(pool)?.budget;
        let max_out = match (zone, rack) {
            (None, _) => budget.max_out,
            (Some(_), None) => budget.max_out_per_zone,
            (Some(_), Some(_)) => budget.max_out_per_rack,
        };
        sum.checked_div(max_out)
    };
    sums.iter()
        .filter_map(min_duration)
        .max()
        .unwrap_or_default()
        .max(longest)
}
