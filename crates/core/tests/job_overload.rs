//! Overload: a pool that can't serve all its jobs in time serves as many as it can.

use std::time::Duration;

use rhubarbrill_core::time::Instant;

mod job_support;

use job_support::{CAPACITY, Simulation, simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Hosts of the pool, each of which runs two tasks at once.
const HOSTS: usize = 4;

/// Actual run time of a task as a share of its estimate, in percent.
const RUN_TIME_PERCENT: u32 = 120;

/// Duration of one step of a job.
const STEP_TIME: Duration = Duration::from_millis(2_400);

/// Time within which a job of two steps is in time: 1.6 times its duration and 0.6 s.
const DEADLINE: Duration = Duration::from_secs(7);

/// Submits a job of two steps that each keep a host busy.
fn submit(simulation: &mut Simulation) -> (String, Instant) {
    let first = step(2, CAPACITY.cpu / 2, 2_000);
    let mut second = first.clone();
    second.after = vec![0];
    let id = simulation.submit("a", spec(vec![first, second]));
    (id, simulation.now)
}

/// Returns whether all tasks of a job started early enough for the job to end in time.
fn was_in_time(simulation: &Simulation, id: &str, submitted: Instant) -> bool {
    let last = simulation.observed.starts.iter().rev();
    let mut last_step = last.filter(|(_, task, _, _)| {
        task.strip_prefix(id)
            .is_some_and(|rest| rest.starts_with(".0.1."))
    });
    let last_start = last_step.next().map(|(at, _, _, _)| *at);
    last_start.is_some_and(|at| at + STEP_TIME <= submitted + DEADLINE)
}

/// Load pattern: a hot workspace sends jobs of two steps at nearly twice the rate that the
/// whole fleet can serve, for several seconds.
///
/// Four hosts complete one job a second. By latest start alone, each job begins when it
/// has no time to spare, and its second step then waits for the first steps of others.
#[test]
fn half_of_twice_the_load_is_in_time() {
    let mut simulation = simulation(HOSTS);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.run_time_percent = RUN_TIME_PERCENT;
    }
    let mut jobs = Vec::new();
    for _ in 0..32 {
        jobs.push(submit(&mut simulation));
        simulation.run_for(SECOND / 2);
    }
    simulation.run_for(20 * SECOND);
    let in_time = jobs
        .iter()
        .filter(|(id, submitted)| was_in_time(&simulation, id, *submitted))
        .count();
    eprintln!("IN TIME {in_time}");
    assert!(in_time >= 16, "{in_time} of 32 jobs were in time");
}
