//! Vacating hosts: a backlog of late jobs in one pool doesn't keep hosts from a pool whose
//! jobs can still be in time.

use std::time::Duration;

use rhubarbrill_core::job::TaskName;

mod job_support;

use job_support::{CAPACITY, Simulation, configuration_with_spare, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a simulation with pools `a` and `b` and an empty standby pool.
fn two_pools(a: usize, b: usize) -> Simulation {
    let mut simulation = Simulation::new(configuration_with_spare(&["a", "b"]));
    simulation.add_hosts("a", a);
    simulation.add_hosts("b", b);
    simulation.run_for(SECOND / 5);
    simulation
}

/// Makes pool `a` hold a backlog of jobs that are all late: twenty seconds of work for
/// its hosts.
fn submit_late_backlog(simulation: &mut Simulation, hosts: u32) {
    for _ in 0..20 {
        let job = spec(vec![step(2 * hosts, CAPACITY.cpu / 2, 1_000)]);
        simulation.submit_at("a", job, 60_000);
    }
    // For jobs of an earlier term, a leader uses the recorded submission times.
    simulation.elect_new_leader(false);
    simulation.run_for(2 * SECOND);
}

/// Returns how many starts of tasks of a job were accepted.
fn start_count(simulation: &Simulation, job: &str) -> usize {
    let starts = simulation.observed.starts.iter();
    let of_job = |task: &str| task.parse::<TaskName>().is_ok_and(|name| name.job == job);
    starts.filter(|(_, task, _, _)| of_job(task)).count()
}

/// Load pattern: a hot workspace has left more late work in its pool than the whole fleet
/// can serve in seconds when the turn of another queue begins, and the standby pool is
/// empty.
#[test]
fn burst_gets_the_hosts_of_a_pool_with_late_work() {
    let mut simulation = two_pools(10, 1);
    submit_late_backlog(&mut simulation, 10);
    let burst = simulation.submit("b", spec(vec![step(8, CAPACITY.cpu / 2, 4_000)]));
    simulation.run_for(5 * SECOND);
    assert_eq!(
        start_count(&simulation, &burst),
        8,
        "three more hosts join within the duration of a late task and of a move"
    );
}

/// A pool that needs all its hosts for jobs in time gives none away, however short
/// another pool is.
#[test]
fn hosts_with_jobs_in_time_stay() {
    let mut simulation = two_pools(4, 1);
    simulation.submit("a", spec(vec![step(8, CAPACITY.cpu / 2, 8_000)]));
    simulation.run_for(SECOND / 2);
    simulation.submit("b", spec(vec![step(8, CAPACITY.cpu / 2, 4_000)]));
    simulation.run_for(4 * SECOND);
    let moves = &simulation.observed.moves;
    assert!(moves.iter().all(|(_, _, to)| to != "b"), "{moves:?}");
}

/// Late work gets its hosts back once the other pool has what it needs.
#[test]
fn late_work_continues_after_a_burst() {
    let mut simulation = two_pools(10, 1);
    submit_late_backlog(&mut simulation, 10);
    let burst = simulation.submit("b", spec(vec![step(8, CAPACITY.cpu / 2, 4_000)]));
    assert!(simulation.run_until_finished(&burst, 10 * SECOND));
    let before = simulation.observed.starts.len();
    simulation.run_for(4 * SECOND);
    assert!(
        simulation.observed.starts.len() > before + 40,
        "at least six hosts run late tasks of a second each"
    );
}
