//! Capacity of pools: hosts are ordered for what has arrived and what is about to arrive,
//! in every dimension that tasks reserve.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::{Authority, Options, SchedulerEvent};
use rhubarbrill_core::job::{Features, Resource, Step};
use rstest::rstest;

mod job_support;

use job_support::{
    CAPACITY, Simulation, configuration, configuration_with_spare, options,
    simulation_with_spare, spec, step,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns how many hosts were moved to a pool.
fn moves_to(simulation: &Simulation, pool: &str) -> usize {
    let moves = simulation.observed.moves.iter();
    moves.filter(|(_, _, to)| to == pool).count()
}

/// Load pattern: the turn of a queue begins, and arrivals rise from nothing to a steady
/// rate within an instant. Each job keeps a quarter of a host busy for a second, and 40
/// arrive each second, so that the burst needs ten hosts.
///
/// Hosts that are ordered after a whole window of arrivals join when jobs of the first
/// second are late already.
#[test]
fn start_of_a_burst_is_recognized_from_its_first_jobs() {
    let mut simulation = simulation_with_spare(1, 30);
    for _ in 0..16 {
        simulation.submit("a", spec(vec![step(2, CAPACITY.cpu / 8, 1_000)]));
        simulation.run_for(SECOND / 40);
    }
    assert!(
        moves_to(&simulation, "a") >= 6,
        "after 0.4 s at least two thirds of the hosts that the burst lacks are ordered"
    );
}

/// Load pattern: single jobs in a quiet time. One arrival says nothing about the next, so
/// hosts are ordered for the job itself only.
#[test]
fn single_job_is_not_taken_for_a_burst() {
    let mut simulation = simulation_with_spare(1, 30);
    simulation.submit("a", spec(vec![step(2, CAPACITY.cpu / 8, 1_000)]));
    simulation.run_for(2 * SECOND);
    assert_eq!(
        moves_to(&simulation, "a"),
        0,
        "the host in the pool is enough"
    );
}

/// Demand of long-running tasks.
struct MemoryCase {
    /// CPU that a task reserves, in thousandths of a core.
    cpu: u64,
    /// Whether the tasks reserve memory only.
    best_effort: bool,
}

/// Load pattern: long-running tasks that reserve most of a host's memory and little CPU.
/// Each needs a host of its own.
#[rstest]
#[case::little_cpu(MemoryCase { cpu: 1_000, best_effort: false })]
#[case::no_reserved_cpu(MemoryCase { cpu: 4_000, best_effort: true })]
fn pool_grows_at_once_for_tasks_that_lack_memory(#[case] case: MemoryCase) {
    let mut simulation = simulation_with_spare(1, 10);
    let large = Step {
        demand: Resource {
            cpu: case.cpu,
            memory_mb: CAPACITY.memory_mb * 3 / 4,
            gpu: 0,
        },
        long_running: true,
        best_effort: case.best_effort,
        ..step(8, case.cpu, 0)
    };
    simulation.submit("a", spec(vec![large]));
    simulation.run_for(3 * SECOND);
    assert_eq!(
        simulation.active_run_count(),
        8,
        "the hosts for all tasks were ordered at once"
    );
}

/// Load pattern: a watch stalls, and the jobs of one second are read at once. They need ten
/// hosts.
///
/// If they count as arrivals of the instant at which they are read, five times as many
/// hosts are ordered.
#[test]
fn jobs_that_are_read_late_are_not_taken_for_a_burst() {
    let mut simulation = simulation_with_spare(1, 60);
    for age_ms in (0..1_000).step_by(25) {
        simulation.submit_at("a", spec(vec![step(2, CAPACITY.cpu / 8, 1_000)]), age_ms);
    }
    simulation.run_for(SECOND / 5);
    let moves = moves_to(&simulation, "a");
    assert!((9..=14).contains(&moves), "{moves} hosts were ordered");
}

/// Load pattern: the burst of `start_of_a_burst_is_recognized_from_its_first_jobs`, and the
/// leader's clock is two seconds ahead of those of the entry hosts.
///
/// If the apparent age of a job were taken as it is, no job would count as an arrival.
#[test]
fn burst_is_recognized_by_a_leader_whose_clock_is_ahead() {
    let mut simulation = simulation_with_spare(1, 30);
    for _ in 0..16 {
        let job = spec(vec![step(2, CAPACITY.cpu / 8, 1_000)]);
        simulation.submit_at("a", job, 2_000);
        simulation.run_for(SECOND / 40);
    }
    let moves = moves_to(&simulation, "a");
    assert!(moves >= 6, "{moves} hosts were ordered");
}

/// Load pattern: pool `a` is expected to need four times as much as pool `b`, which is
/// expected to need all hosts of the fleet. Of the fleet's 20 hosts, the tasks of `a` occupy
/// five, and three of the others are the share of `b`.
///
/// If its need isn't limited to this share, its idle hosts stay.
#[test]
fn needs_are_limited_to_what_the_fleet_holds() {
    let mut simulation = Simulation::new(configuration(&["a", "b"]));
    simulation.add_hosts("a", 5);
    simulation.add_hosts("b", 15);
    simulation.run_for(SECOND / 5);
    let first = step(1, CAPACITY.cpu / 16, 2_000);
    let second = Step {
        after: vec![0],
        ..step(10, CAPACITY.cpu, 2_000)
    };
    simulation.submit("b", spec(vec![first, second]));
    simulation.submit("a", spec(vec![step(40, CAPACITY.cpu, 4_000)]));
    simulation.run_for(SECOND / 5);
    let moves = moves_to(&simulation, "a");
    assert!((10..=12).contains(&moves), "{moves} hosts were ordered");
    let events = simulation.scheduler.take_events();
    assert!(
        events.iter().any(|event| matches!(
            event,
            SchedulerEvent::FleetShortage { is_short: true, .. }
        )),
        "the shortage is logged"
    );
}

/// Load pattern: a pool needs 40 hosts at once, and the hosts' platform accepts 10 orders
/// in a second. Further orders would fail, and their hosts would be kept from work.
#[test]
fn moves_stay_within_the_rate_that_the_platform_accepts() {
    let limited = Options {
        host_orders_per_second: Some(10),
        ..options(Features::NONE)
    };
    let mut simulation =
        Simulation::with_options(configuration_with_spare(&["a"]), limited);
    simulation.add_hosts("a", 1);
    simulation.add_hosts("spare", 40);
    simulation.run_for(SECOND / 5);
    simulation.submit("a", spec(vec![step(40, CAPACITY.cpu, 30_000)]));
    simulation.run_for(5 * SECOND);
    let moves = &simulation.observed.moves;
    let in_next_second = |from: usize| {
        let later = moves[from..].iter();
        later
            .take_while(|order| order.0 < moves[from].0 + SECOND)
            .count()
    };
    let most = (0..moves.len()).map(in_next_second).max();
    assert_eq!(most, Some(10), "orders in the second with the most");
    assert!(moves.len() >= 39, "{} hosts were ordered", moves.len());
}

/// Time after the store's return within which no job is submitted: callers that were
/// refused return with a delay.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Load pattern: a queue's turn goes on through an outage of the store. Nothing starts
/// meanwhile, so that all hosts of its pool are idle when the store returns.
///
/// Guards against hosts that leave their pool at that moment, and come back only after two
/// moves: the leader took the time without a lease for time without work.
#[test]
fn hosts_that_were_idle_in_an_outage_stay_when_it_ends() {
    let mut simulation = simulation_with_spare(20, 20);
    for _ in 0..100 {
        simulation.submit("a", spec(vec![step(4, CAPACITY.cpu / 4, 200)]));
        simulation.run_for(SECOND / 100);
    }
    simulation.store_available = false;
    simulation.run_for(SECOND);
    simulation.authority = Authority::HoldOnly;
    simulation.run_for(4 * SECOND);
    assert_eq!(simulation.active_run_count(), 0, "runs end in the outage");
    simulation.store_available = true;
    simulation.authority = Authority::Certain;
    let before = moves_to(&simulation, "spare");
    simulation.run_for(QUIET_TIME);
    assert_eq!(
        moves_to(&simulation, "spare"),
        before,
        "hosts leave at once"
    );
    simulation.run_for(SECOND);
    assert!(moves_to(&simulation, "spare") > before, "idle hosts stay");
}
