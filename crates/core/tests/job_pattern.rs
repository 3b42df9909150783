//! Recurring demand: hosts move before a burst that is expected.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::{PatternChange, SchedulerEvent};
use rhubarbrill_core::job::{Feature, Features};

mod job_support;

use job_support::random::Random;
use job_support::{CAPACITY, Simulation, configuration_with_spare, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(10);

/// Ticks from one turn of the queue to the next, and in a turn.
const PERIOD_TICKS: usize = 1_000;
const TURN_TICKS: usize = 300;

/// Hosts that a turn keeps busy: 20 jobs a second, each of which needs half a host for a
/// second.
const TURN_HOSTS: usize = 10;

fn simulation(features: Features) -> Simulation {
    let configuration = configuration_with_spare(&["a"]);
    let mut simulation = Simulation::with_features(configuration, features);
    simulation.add_hosts("a", 1);
    simulation.add_hosts("spare", 30);
    simulation.run_for(SECOND);
    simulation
}

/// Returns the number of hosts in pool `a`, without those that are on their way.
fn serving_hosts(simulation: &Simulation) -> usize {
    let endpoints = simulation.endpoints.values();
    endpoints
        .filter(|endpoint| endpoint.report.pool == "a")
        .count()
}

/// Sends the jobs of one turn, waits for the next one, and returns the number of hosts
/// that were there when the turn began.
fn run_turn(simulation: &mut Simulation) -> usize {
    let hosts = serving_hosts(simulation);
    for tick in 0..PERIOD_TICKS {
        if tick < TURN_TICKS && tick.is_multiple_of(5) {
            simulation.submit("a", spec(vec![step(4, CAPACITY.cpu / 8, 1_000)]));
        }
        simulation.run_for(TICK);
    }
    hosts
}

/// Returns what happened to forecasts, in order, and clears the log.
fn changes(simulation: &mut Simulation) -> Vec<PatternChange> {
    let events = simulation.scheduler.take_events().into_iter();
    events
        .filter_map(|event| match event {
            SchedulerEvent::DemandPattern { change, .. } => Some(change),
            _ => None,
        })
        .collect()
}

/// Load pattern: a queue has its turn at fixed intervals. Hosts that are ordered when a
/// turn has begun join 1.5 s later, when its first jobs are late.
///
/// Two turns show the period, the third confirms it, and hosts move for half of the fourth
/// and for the whole fifth one.
#[test]
fn hosts_move_before_a_turn_that_recurs() {
    let mut simulation = simulation(Features::NONE.with(Feature::DemandPatterns));
    let hosts: Vec<usize> = (0..6).map(|_| run_turn(&mut simulation)).collect();
    assert_eq!(hosts[..3], [1, 1, 1], "hosts at the onsets: {hosts:?}");
    let half = TURN_HOSTS / 2..TURN_HOSTS * 4 / 5;
    assert!(half.contains(&hosts[3]), "hosts at the onsets: {hosts:?}");
    for &at_onset in &hosts[4..] {
        let whole = TURN_HOSTS..TURN_HOSTS * 3 / 2;
        assert!(whole.contains(&at_onset), "hosts at the onsets: {hosts:?}");
    }
}

/// Failure: turns end for good, and hosts go on moving for each one that is expected.
#[test]
fn forecast_is_dropped_when_a_turn_does_not_come() {
    let mut simulation = simulation(Features::NONE.with(Feature::DemandPatterns));
    for _ in 0..5 {
        run_turn(&mut simulation);
    }
    simulation.run_for(4 * SECOND);
    let last = changes(&mut simulation).pop();
    assert_eq!(last, Some(PatternChange::Dropped));
    let moves = simulation.observed.moves.len();
    simulation.run_for(30 * SECOND);
    let moved_back = simulation.observed.moves[moves..]
        .iter()
        .all(|(_, _, pool)| pool == "spare");
    assert!(moved_back, "no host joins the pool after that");
    assert_eq!(serving_hosts(&simulation), 1);
}

/// Failure: chance concentrations of random arrivals are taken for turns.
#[test]
fn random_arrivals_are_not_taken_for_turns() {
    for seed in 0..4 {
        let mut simulation = simulation(Features::NONE.with(Feature::DemandPatterns));
        let mut random = Random(seed);
        for tick in 0_u32..12_000 {
            for _ in 0..random.arrivals(4) {
                simulation.submit("a", spec(vec![step(4, CAPACITY.cpu / 8, 1_000)]));
            }
            simulation.now = simulation.now + TICK;
            if tick.is_multiple_of(25) {
                simulation.scheduler.poll_hosts(simulation.now);
            }
        }
        let acted = changes(&mut simulation)
            .into_iter()
            .filter(|&change| change == PatternChange::Acted);
        assert_eq!(acted.count(), 0, "seed {seed}");
    }
}
