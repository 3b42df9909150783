//! Recognition of the onset of a burst among random arrivals.

use std::time::Duration;

use rhubarbrill_core::job::{Feature, Features, Spec, Step};
use rstest::rstest;

mod job_support;

use job_support::random::Random;
use job_support::{Simulation, configuration, spec, step};

const PATTERNS: Features = Features::NONE.with(Feature::DemandPatterns);

/// Jobs a second in a turn, five times the mean of a queue that needs 5,800 cores then.
const TURN_RATE: u64 = 225;

/// Cores that a rate of one job a second keeps busy: 2.5 steps of 8 tasks of 1.3 s.
const CORES_PER_RATE: u64 = 26;

const TICK: Duration = Duration::from_millis(10);

/// Returns a job of 1 to 4 steps of 4 to 12 tasks of 0.5 to 2.1 s on one core each.
fn random_job(random: &mut Random) -> Spec {
    let count = 1 + random.below(4);
    let mut steps: Vec<Step> = Vec::new();
    for position in 0..u32::try_from(count).unwrap_or(1) {
        let tasks = u32::try_from(4 + random.below(9)).unwrap_or(4);
        let after = position.checked_sub(1).into_iter().collect();
        let run_time_ms = 500 + random.below(1_600);
        steps.push(Step {
            after,
            ..step(tasks, 1_000, run_time_ms)
        });
    }
    spec(steps)
}

/// A pool to which jobs are sent at random.
struct Load {
    simulation: Simulation,
    random: Random,
    ticks: u64,
}

impl Load {
    fn new(features: Features, seed: u64) -> Self {
        let mut simulation = Simulation::with_features(configuration(&["a"]), features);
        simulation.add_hosts("a", 1);
        Self {
            simulation,
            random: Random(seed),
            ticks: 0,
        }
    }

    /// Sends jobs for one tick and returns the expected demand, in percent of what arrivals
    /// at this rate keep busy.
    fn tick(&mut self, per_second: u64) -> u64 {
        for _ in 0..self.random.arrivals(per_second) {
            let job = random_job(&mut self.random);
            self.simulation.submit("a", job);
        }
        self.simulation.now = self.simulation.now + TICK;
        self.ticks += 1;
        if self.ticks.is_multiple_of(25) {
            self.simulation.scheduler.poll_hosts(self.simulation.now);
        }
        let now = self.simulation.now;
        let expected = self.simulation.scheduler.expected_demand(now, "a").cpu;
        expected / (10 * per_second * CORES_PER_RATE)
    }

    /// Sends jobs for a number of ticks and returns the highest expected demand.
    fn highest(&mut self, per_second: u64, ticks: u64) -> u64 {
        let demands = (0..ticks).map(|_| self.tick(per_second));
        demands.max().unwrap_or(0)
    }
}

/// Load pattern: the turn of a queue begins, after its mean or after a twentieth of it.
/// Hosts for the rest are ordered later, and their jobs are late.
#[rstest]
#[case::after_mean(TURN_RATE / 5)]
#[case::after_quiet(TURN_RATE / 100)]
fn turn_is_sized_to_four_fifths_within_half_a_second(#[case] rate_before: u64) {
    for seed in 0..40 {
        let mut load = Load::new(PATTERNS, seed);
        load.highest(rate_before, 400);
        let highest = load.highest(TURN_RATE, 50);
        assert!(highest >= 80, "{highest} % with seed {seed}");
    }
}

/// Failure: chance concentrations of steady arrivals are taken for a burst, and hosts move
/// for nothing.
#[rstest]
#[case::turn(TURN_RATE)]
#[case::fewer_jobs(TURN_RATE / 3)]
fn steady_random_arrivals_are_not_oversized_for_half_a_second(#[case] rate: u64) {
    for seed in 100..104 {
        let mut load = Load::new(PATTERNS, seed);
        load.highest(rate, 400);
        let mut oversized_ticks = 0;
        for _ in 0..2_000 {
            let is_oversized = load.tick(rate) > 130;
            oversized_ticks = if is_oversized { oversized_ticks + 1 } else { 0 };
            assert!(oversized_ticks <= 50, "oversized for 0.5 s, seed {seed}");
        }
    }
}
