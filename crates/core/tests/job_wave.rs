//! Waves of maintenance: they finish in time, and no stop order finds more tasks of a step
//! unavailable than the step permits, however late the order is executed.

use std::time::Duration;

use rhubarbrill_core::job::Step;
use rhubarbrill_core::job::scheduler::{Wave, WaveProgress};

mod job_support;

use job_support::{Link, Simulation, simulation, simulation_with_spare, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a step of long-running tasks on separate endpoints, of which one may be
/// unavailable.
fn spread_step(count: u32) -> Step {
    let mut spread = step(count, 1_000, 0);
    spread.long_running = true;
    spread.max_per_endpoint = 1;
    spread.max_unavailable = Some(1);
    spread
}

/// Requests the maintenance of the host of an endpoint.
fn add_wave(simulation: &mut Simulation, endpoint: &str) {
    let wave = Wave {
        number: 1,
        hosts: vec![simulation.endpoints[endpoint].host.clone()],
        duration: 20 * SECOND,
        max_at_once: 1,
    };
    simulation
        .scheduler
        .add_wave(simulation.now, wave, WaveProgress::default());
}

/// Reports to the scheduler that an endpoint is about to shut down.
fn report_draining(simulation: &mut Simulation, endpoint: &str) {
    let endpoint = simulation
        .endpoints
        .get_mut(endpoint)
        .expect("the endpoint exists");
    endpoint.report.draining = true;
    simulation
        .scheduler
        .set_endpoint(simulation.now, endpoint.report.clone());
}

/// A stop order for a task on a host in a wave has no answer and is executed late, after
/// another endpoint has announced that it shuts down. If the other endpoint is evacuated
/// meanwhile, two tasks of the step are unavailable when the late order takes effect.
#[test]
fn no_draining_endpoint_is_evacuated_while_a_stop_order_of_the_step_is_pending() {
    let mut simulation = simulation(6);
    let id = simulation.submit("a", spec(vec![spread_step(3)]));
    simulation.run_for(2 * SECOND);
    let [maintained, draining] = [0, 1].map(|index| {
        simulation
            .endpoints_running(&format!("{id}.0.0.{index}"))
            .remove(0)
    });
    simulation
        .endpoints
        .get_mut(&maintained)
        .expect("the endpoint exists")
        .link = Link::StopsPending;
    add_wave(&mut simulation, &maintained);
    simulation.run_for(SECOND);
    report_draining(&mut simulation, &draining);
    simulation.run_for(SECOND);
    assert_eq!(
        simulation.endpoints[&draining].active_runs.len(),
        1,
        "the stop order that has no answer may still take effect"
    );
    simulation
        .endpoints
        .get_mut(&maintained)
        .expect("the endpoint exists")
        .link = Link::Healthy;
    simulation.run_for(4 * SECOND);
    assert_eq!(simulation.active_run_count(), 3);
    assert!(
        simulation.endpoints[&draining].active_runs.is_empty(),
        "the endpoint is evacuated once the order has taken effect"
    );
}

#[test]
fn wave_moves_no_task_while_another_of_its_step_is_unreachable() {
    let mut simulation = simulation(5);
    let id = simulation.submit("a", spec(vec![spread_step(2)]));
    simulation.run_for(2 * SECOND);
    let unreachable = simulation
        .endpoints_running(&format!("{id}.0.0.0"))
        .remove(0);
    let other = simulation
        .endpoints_running(&format!("{id}.0.0.1"))
        .remove(0);
    simulation
        .endpoints
        .get_mut(&unreachable)
        .expect("the endpoint exists")
        .link = Link::Unreachable;
    simulation.run_for(SECOND);
    add_wave(&mut simulation, &other);
    simulation.run_for(3 * SECOND);
    assert_eq!(
        simulation.endpoints_running(&format!("{id}.0.0.1")),
        [other],
        "one task of the step is already unavailable"
    );
}

#[test]
fn pool_whose_only_host_is_drained_gets_another() {
    let mut simulation = simulation_with_spare(1, 2);
    let mut long_running_step = step(4, 1_000, 0);
    long_running_step.long_running = true;
    long_running_step.max_unavailable = Some(1);
    let id = simulation.submit("a", spec(vec![long_running_step]));
    simulation.run_for(2 * SECOND);
    let endpoint_id = simulation
        .endpoints_running(&format!("{id}.0.0.0"))
        .remove(0);
    add_wave(&mut simulation, &endpoint_id);
    simulation.run_for(20 * SECOND);
    assert_eq!(
        simulation.active_run_count(),
        4,
        "all tasks are running again"
    );
    assert_eq!(
        simulation.observed.maintained.len(),
        1,
        "the host has been in maintenance"
    );
}

/// A maintenance wave covers half of a pool in which every host has work for a long time.
#[test]
fn wave_over_busy_hosts_finishes_in_time() {
    let mut simulation = simulation(16);
    let long_running_step = Step {
        long_running: true,
        max_unavailable: Some(2),
        max_per_endpoint: 1,
        ..step(8, 4_000, 0)
    };
    simulation.submit("a", spec(vec![long_running_step]));
    for _ in 0..60 {
        simulation.submit("a", spec(vec![step(16, 2_000, 4_000)]));
    }
    simulation.run_for(SECOND);
    let hosts: Vec<String> = simulation.hosts.keys().take(8).cloned().collect();
    let wave = Wave {
        number: 1,
        hosts,
        duration: 10 * SECOND,
        max_at_once: 6,
    };
    let progress = WaveProgress::default();
    simulation
        .scheduler
        .add_wave(simulation.now, wave, progress);
    simulation.run_for(10 * SECOND);
    assert_eq!(simulation.observed.maintained.len(), 8);
    assert!(simulation.observed.max_in_maintenance <= 6);
}
