//! Capacity of pools: hosts are ordered for what has arrived and what is about to arrive,
//! in every dimension that tasks reserve.

use std::time::Duration;

use rhubarbrill_core::job::{Resource, Step};
use rstest::rstest;

mod job_support;

use job_support::{CAPACITY, Simulation, simulation_with_spare, spec, step};

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
