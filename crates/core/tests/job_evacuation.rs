//! Evacuation of long-running tasks: no stop order finds more tasks of a step unavailable
//! than the step permits, however late the order is executed.

use std::time::Duration;

use rhubarbrill_core::job::Step;
use rhubarbrill_core::job::scheduler::{Wave, WaveProgress};

mod job_support;

use job_support::{Link, Simulation, configuration, spec, step};

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
    let mut simulation = Simulation::new(configuration(&["a"]));
    simulation.add_hosts("a", 6);
    simulation.run_for(SECOND / 5);
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
