//! Writes of progress to a store that is slow or loses answers.

use std::time::Duration;

mod job_support;

use job_support::{Simulation, configuration, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// The last task of a job ends while the store is away, so that its end can't be saved. The
/// endpoint's registration lapses and comes back, and the endpoint reports the end again,
/// for a job that has no open task any more. The end must not be acknowledged, because the
/// next leader learns of it from the endpoint alone.
#[test]
fn end_reported_again_after_a_lapsed_registration_survives_a_change_of_leader() {
    let mut simulation = Simulation::new(configuration(&["a"]));
    simulation.add_hosts("a", 2);
    simulation.run_for(SECOND / 5);
    let id = simulation.submit("a", spec(vec![step(1, 1_000, 500)]));
    simulation.run_for(SECOND / 5);
    let endpoint_id = simulation
        .endpoints_running(&format!("{id}.0.0.0"))
        .remove(0);
    simulation.store_available = false;
    simulation.run_for(SECOND);
    let registration = simulation.endpoints[&endpoint_id].report.clone();
    simulation
        .scheduler
        .set_endpoint_unregistered(simulation.now, &endpoint_id);
    simulation
        .scheduler
        .set_endpoint(simulation.now, registration);
    simulation.run_for(SECOND);
    simulation.store_available = true;
    simulation.elect_new_leader(false);
    // The simulation fails the test if a task starts after it has completed.
    assert!(simulation.run_until_finished(&id, 3 * SECOND));
    assert_eq!(simulation.observed.starts.len(), 1);
}
