//! Pacing of best-effort tasks that share an endpoint with tasks that have a latency
//! target.

use std::time::Duration;

use rhubarbrill_core::job::Step;
use rstest::rstest;

mod job_support;

use job_support::{Simulation, configuration, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Longest time for which best-effort tasks may cause a latency target to be missed.
const MAX_TIME_ABOVE_TARGET: Duration = Duration::from_secs(4);

/// Returns a step of one long-running task whose tail latency target is `target_ms`.
fn latency_sensitive(target_ms: u64) -> Step {
    Step {
        long_running: true,
        latency_target_ms: target_ms,
        ..step(1, 4_000, 0)
    }
}

/// Returns a step of `count` long-running best-effort tasks.
fn best_effort(count: u32) -> Step {
    Step {
        long_running: true,
        best_effort: true,
        ..step(count, 4_000, 0)
    }
}

/// Returns a simulation with one endpoint that runs `best_effort_count` best-effort tasks
/// and one task with a latency target of 100 ms.
fn simulation(best_effort_count: u32, interference_ms: u64) -> Simulation {
    let mut simulation = Simulation::new(configuration(&["a"]));
    simulation.add_hosts("a", 1);
    simulation.run_for(SECOND / 5);
    set_interference(&mut simulation, interference_ms);
    simulation.submit("a", spec(vec![latency_sensitive(100)]));
    simulation.submit("a", spec(vec![best_effort(best_effort_count)]));
    simulation
}

fn set_interference(simulation: &mut Simulation, interference_ms: u64) {
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.interference_ms = interference_ms;
    }
}

fn best_effort_paces(simulation: &Simulation) -> Vec<u32> {
    let endpoints = simulation.endpoints.values();
    let runs = endpoints.flat_map(|endpoint| &endpoint.active_runs);
    runs.filter(|run| run.reserved.cpu == 0)
        .map(|run| run.pace)
        .collect()
}

/// Number of best-effort tasks, the latency that each of them adds in milliseconds, and
/// the number of pace orders that are lost.
struct InterferenceCase {
    best_effort_count: u32,
    added_latency_ms: u64,
    pace_orders_lost: usize,
}

#[rstest]
#[case::low_interference(InterferenceCase { best_effort_count: 2, added_latency_ms: 60, pace_orders_lost: 0 })]
#[case::high_interference(InterferenceCase { best_effort_count: 3, added_latency_ms: 2_000, pace_orders_lost: 0 })]
#[case::first_pace_orders_lost(InterferenceCase { best_effort_count: 2, added_latency_ms: 300, pace_orders_lost: 2 })]
fn latency_target_is_missed_only_briefly(#[case] interference: InterferenceCase) {
    let mut simulation = simulation(
        interference.best_effort_count,
        interference.added_latency_ms,
    );
    simulation.pace_orders_to_lose = interference.pace_orders_lost;
    simulation.run_for(20 * SECOND);
    let longest = simulation.observed.longest_above_target;
    assert!(longest > Duration::ZERO);
    assert!(
        longest < MAX_TIME_ABOVE_TARGET,
        "exceeded the target for {longest:?}"
    );
}

#[test]
fn new_leader_slows_down_inherited_runs() {
    let mut simulation = simulation(2, 300);
    simulation.run_for(SECOND / 2);
    simulation.elect_new_leader(false);
    simulation.run_for(10 * SECOND);
    let longest = simulation.observed.longest_above_target;
    assert!(
        longest < MAX_TIME_ABOVE_TARGET,
        "exceeded the target for {longest:?}"
    );
}

/// Whether a new leader takes over right after the interference ends, and the number of
/// pace orders that are lost from then on.
struct RecoveryCase {
    new_leader: bool,
    pace_orders_lost: usize,
}

#[rstest]
#[case::same_leader(RecoveryCase { new_leader: false, pace_orders_lost: 0 })]
#[case::pace_orders_lost(RecoveryCase { new_leader: false, pace_orders_lost: 4 })]
#[case::new_leader(RecoveryCase { new_leader: true, pace_orders_lost: 0 })]
fn slowed_runs_return_to_full_speed(#[case] recovery: RecoveryCase) {
    let mut simulation = simulation(2, 300);
    simulation.run_for(8 * SECOND);
    assert!(best_effort_paces(&simulation).iter().all(|&pace| pace < 50));
    set_interference(&mut simulation, 0);
    if recovery.new_leader {
        simulation.elect_new_leader(false);
    }
    simulation.pace_orders_to_lose = recovery.pace_orders_lost;
    simulation.run_for(10 * SECOND);
    assert_eq!(best_effort_paces(&simulation), [100, 100]);
    let orders_before = simulation.observed.pace_orders;
    simulation.run_for(5 * SECOND);
    assert_eq!(
        simulation.observed.pace_orders, orders_before,
        "no pace orders are sent without a change of pace"
    );
}
