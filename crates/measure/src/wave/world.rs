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

use super::fault::{Fault, Length, PROBE, RACK_FAILS_AT, Script};
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
const LONGEST_WAVE: Duration = Duration::from_secs(7 * 24 * 3_600);

/// A fleet under maintenance.
pub(super) struct World {
    fleet: Fleet,
    ledger: Ledger,
    script: Script,
    now: Duration,
    broken: BTreeMap<String, Duration>,
    events: BinaryHeap<Reverse<Event>>,
    outcome: Outcome,
}

/// Something that ends a host's step, unless the host has left that step.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Event {
    at: Duration,
    host: String,
    kind: Kind,
    changed: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Kind {
    Drained,
    Fails,
    Recovers,
    Returns,
    Serves,
}

impl World {
    pub(super) fn new(site: Site, fault: Fault, seed: u64) -> Self {
        let fleet = site.fleet();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let script = Script::new(&fleet, fault, &mut rng);
        let mut world = Self {
            outcome: Outcome {
                bound: bound(&fleet, &script),
                ..Outcome::default()
            },
            fleet,
            ledger: Ledger::default(),
            script,
            now: Duration::ZERO,
            broken: BTreeMap::new(),
            events: BinaryHeap::new(),
        };
        world.start();
        world
    }

    /// Runs until every wave is over.
    pub(super) fn run(mut self, strategy: Strategy) -> Outcome {
        while self.is_open() && self.now < LONGEST_WAVE {
            self.happen();
            let seen = self.ledger.generation();
            let commands =
                strategy.next(&self.ledger, &self.fleet, &self.script.estimate);
            for command in commands {
                self.apply(seen, command);
            }
            self.account();
            self.now += PLAN_INTERVAL;
        }
        self.outcome
    }

    fn is_open(&self) -> bool {
        let mut waves = self.ledger.waves();
        waves.any(|(_, wave)| wave.phase != Phase::Done)
    }

    /// Starts a wave for each pool, and sets the rack's failure.
    fn start(&mut self) {
        let pools: Vec<_> = self
            .fleet
            .pools
            .iter()
            .map(|(_, name, _)| name.to_owned())
            .collect();
        for pool in pools {
            let start = Command::StartWave {
                wave: pool.clone(),
                selection: Selection::Pool(pool),
                finish_by: None,
            };
            self.apply(self.ledger.generation(), start);
        }
        for key in self.script.victims.clone() {
            let host = self.fleet.hosts.name(key).unwrap_or_default().to_owned();
            self.events.push(Reverse(Event {
                at: RACK_FAILS_AT,
                host,
                kind: Kind::Fails,
                changed: 0,
            }));
        }
    }

    /// Lets everything happen that is due.
    fn happen(&mut self) {
        while let Some(Reverse(event)) = self.events.peek() {
            if event.at > self.now {
                return;
            }
            let Some(Reverse(event)) = self.events.pop() else {
                return;
            };
            let record = self.ledger.record(&event.host);
            let is_due = record.is_some_and(|record| record.changed == event.changed);
            if is_due || event.kind == Kind::Fails {
                self.apply(self.ledger.generation(), event.command());
            }
        }
    }

    fn apply(&mut self, seen: u64, command: Command) {
        let answer = self.ledger.apply(&self.fleet, seen, &command);
        let (Ok(Decision::Changed(changed)), Some(host)) = (answer, command.host())
        else {
            return;
        };
        if let Command::ResumeService { .. } = command {
            self.outcome.rollout = self.now;
        }
        self.outcome.drains += u32::from(matches!(command, Command::BeginDrain { .. }));
        if let Command::MarkFailed { .. } = command {
            let repaired = self.now + self.length(host).repair;
            self.broken.insert(host.to_owned(), repaired);
        }
        if let Some((span, kind)) = self.follows(host) {
            self.events.push(Reverse(Event {
                at: self.end(host, kind, span),
                host: host.to_owned(),
                kind,
                changed,
            }));
        }
    }

    /// Returns how long the host's present step takes, and what ends it.
    fn follows(&self, host: &str) -> Option<(Duration, Kind)> {
        let length = self.length(host);
        match self.ledger.record(host)?.step {
            Step::Leaving { .. } => Some((length.drain, Kind::Drained)),
            Step::Rebooting if length.stuck => Some((length.reboot, Kind::Fails)),
            Step::Rebooting | Step::Moving => Some((length.reboot, Kind::Returns)),
            Step::Returning => Some((PROBE, Kind::Serves)),
            Step::Failed => Some((length.repair, Kind::Recovers)),
            Step::Drained | Step::Serving => None,
        }
    }

    /// Returns when a step ends: a broken host is up no sooner than it is repaired.
    fn end(&self, host: &str, kind: Kind, span: Duration) -> Duration {
        let repaired = self.broken.get(host).copied().unwrap_or_default();
        match kind {
            Kind::Recovers | Kind::Returns => repaired.max(self.now + span),
            Kind::Drained | Kind::Fails | Kind::Serves => self.now + span,
        }
    }

    fn length(&self, host: &str) -> Length {
        let key = self.fleet.hosts.find(host);
        key.and_then(|key| self.script.lengths.get(key).copied())
            .unwrap_or_default()
    }

    /// Adds what the next interval costs.
    fn account(&mut self) {
        let by_plan = self
            .ledger
            .records()
            .filter(|(_, record)| !record.step.accepts() && !record.is_unplanned());
        let by_plan = u32::try_from(by_plan.count()).unwrap_or(u32::MAX);
        self.outcome.held_back += PLAN_INTERVAL * by_plan;
        let budget_usage = self.ledger.budget_usage(&self.fleet);
        for over in budget_usage.violations(&self.fleet) {
            if over.scope == BudgetScope::Pool {
                self.outcome.below_budget += PLAN_INTERVAL * (over.out - over.max_out);
            }
            let is_planned = over.out > over.max_out + over.unplanned;
            self.outcome.overdrawn += u32::from(is_planned);
        }
    }
}

impl Event {
    fn command(self) -> Command {
        let host = self.host;
        match self.kind {
            Kind::Drained => Command::ConfirmDrained {
                host,
                evidence: confirmed(),
            },
            Kind::Fails => Command::MarkFailed { host },
            Kind::Recovers => Command::MarkRecovered { host },
            Kind::Returns => Command::Returned { host },
            Kind::Serves => Command::ResumeService { host },
        }
    }
}

fn confirmed() -> Evidence {
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
fn bound(fleet: &Fleet, script: &Script) -> Duration {
    let mut sums: BTreeMap<(PoolKey, Option<ZoneKey>, Option<&str>), Duration> =
        BTreeMap::new();
    let mut longest = Duration::ZERO;
    for (key, _, host) in fleet.hosts.iter() {
        let outage = script
            .lengths
            .get(key)
            .copied()
            .unwrap_or_default()
            .outage();
        longest = longest.max(outage);
        let zone = Some(host.zone);
        for part in [(None, None), (zone, None), (zone, Some(host.rack.as_str()))] {
            *sums.entry((host.pool, part.0, part.1)).or_default() += outage;
        }
    }
    let span = |(&(pool, zone, rack), &sum): (&(PoolKey, _, _), &Duration)| {
        let budget = fleet.pools.get(pool)?.budget;
        let width = match (zone, rack) {
            (None, _) => budget.max_out,
            (Some(_), None) => budget.max_out_per_zone,
            (Some(_), Some(_)) => budget.max_out_per_rack,
        };
        sum.checked_div(width)
    };
    sums.iter()
        .filter_map(span)
        .max()
        .unwrap_or_default()
        .max(longest)
}
