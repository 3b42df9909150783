//! Scheduling of jobs in a simulation: step order, failures, lost replies and
//! changes of leader.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::Rejection;
use rhubarbrill_core::job::{Resource, State};
use rhubarbrill_core::time::Instant;
use rstest::rstest;

mod job_support;

use job_support::{
    CAPACITY, Link, Simulation, configuration, simulation, simulation_with_spare, spec,
    step,
};

const SECOND: Duration = Duration::from_secs(1);

fn starts_of<'a>(
    simulation: &'a Simulation,
    task: &str,
) -> Vec<&'a (Instant, String, u64, String)> {
    simulation
        .observed
        .starts
        .iter()
        .filter(|start| start.1 == task)
        .collect()
}

#[test]
fn step_starts_after_its_dependency_completes() {
    let mut simulation = simulation(2);
    let mut second = step(2, 1_000, 500);
    second.after = vec![0];
    let id = simulation.submit("a", spec(vec![step(3, 1_000, 1_000), second]));
    assert!(simulation.run_until_finished(&id, 3 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
    let first_starts: Vec<Instant> = (0..3)
        .map(|i| starts_of(&simulation, &format!("{id}.0.0.{i}"))[0].0)
        .collect();
    let second_start = starts_of(&simulation, &format!("{id}.0.1.0"))[0].0;
    assert!(first_starts.iter().all(|&at| at + SECOND <= second_start));
}

/// Fault injected into all endpoints, and the final state that the job must reach.
struct Fault {
    link: Link,
    fail_runs: bool,
    final_state: State,
}

#[rstest]
#[case::replies_lost(Fault { link: Link::RepliesLost, fail_runs: false, final_state: State::Completed })]
#[case::starts_delayed(Fault { link: Link::DelayedStarts(2_000), fail_runs: false, final_state: State::Completed })]
#[case::starts_delayed_past_the_lease(Fault { link: Link::DelayedStarts(12_000), fail_runs: false, final_state: State::Completed })]
#[case::runs_fail(Fault { link: Link::Healthy, fail_runs: true, final_state: State::Failed })]
fn job_ends_despite_order_faults_or_failed_runs(#[case] fault: Fault) {
    let mut simulation = simulation(2);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.link = fault.link;
        endpoint.fail_runs = fault.fail_runs;
    }
    let id = simulation.submit("a", spec(vec![step(4, 1_000, 800)]));
    simulation.run_for(3 * SECOND);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.link = Link::Healthy;
    }
    assert!(simulation.run_until_finished(&id, 20 * SECOND));
    assert_eq!(simulation.state(&id), fault.final_state);
    // Delayed starts that were stopped in the meantime must not start a run.
    simulation.run_for(15 * SECOND);
    assert_eq!(simulation.active_run_count(), 0);
}

#[test]
fn tasks_of_an_unreachable_endpoint_restart_after_its_lease_expires() {
    let mut simulation = simulation(2);
    let id = simulation.submit("a", spec(vec![step(1, 1_000, 60_000)]));
    simulation.run_for(SECOND);
    let task = format!("{id}.0.0.0");
    let endpoint_id = simulation.endpoints_running(&task).remove(0);
    simulation
        .endpoints
        .get_mut(&endpoint_id)
        .expect("the endpoint exists")
        .link = Link::Unreachable;
    let unreachable_since = simulation.now;
    simulation.run_for(4 * SECOND);
    assert_eq!(
        starts_of(&simulation, &task).len(),
        1,
        "the lease has not expired yet"
    );
    simulation.run_for(6 * SECOND);
    let starts = starts_of(&simulation, &task);
    assert_eq!(starts.len(), 2, "the lease has expired");
    assert!(starts[1].0 < unreachable_since + 8 * SECOND);
    assert!(starts[1].2 > starts[0].2, "run numbers increase");
}

#[rstest]
#[case::still_registered(false)]
#[case::registration_expired(true)]
fn new_leader_waits_for_the_leases_of_unreachable_endpoints(
    #[case] registration_expired: bool,
) {
    let mut simulation = simulation(2);
    let id = simulation.submit("a", spec(vec![step(1, 1_000, 60_000)]));
    simulation.run_for(SECOND);
    let task = format!("{id}.0.0.0");
    let endpoint_id = simulation.endpoints_running(&task).remove(0);
    simulation
        .endpoints
        .get_mut(&endpoint_id)
        .expect("the endpoint exists")
        .link = Link::Unreachable;
    simulation.elect_new_leader(registration_expired);
    simulation.run_for(SECOND);
    if !registration_expired {
        // The registration expires while the new leader tries to reach the endpoint.
        simulation
            .scheduler
            .set_endpoint_unregistered(simulation.now, &endpoint_id);
    }
    // The invariants of the simulation fail the test if a second run starts while the
    // first one is still active.
    simulation.run_for(5 * SECOND);
    simulation.run_for(15 * SECOND);
    assert_eq!(
        starts_of(&simulation, &task).len(),
        2,
        "the task starts again eventually"
    );
}

#[test]
fn new_leader_takes_over_active_runs() {
    let mut simulation = simulation(2);
    let id = simulation.submit("a", spec(vec![step(4, 1_000, 2_000)]));
    simulation.run_for(SECOND);
    simulation.elect_new_leader(false);
    assert!(simulation.run_until_finished(&id, 3 * SECOND));
    assert_eq!(simulation.observed.starts.len(), 4, "no task starts twice");
}

#[test]
fn restarted_endpoint_has_none_of_its_earlier_runs() {
    let mut simulation = simulation(1);
    let id = simulation.submit("a", spec(vec![step(1, 1_000, 1_000)]));
    simulation.run_for(SECOND / 2);
    let host = simulation
        .endpoints
        .values()
        .next()
        .expect("one endpoint")
        .host
        .clone();
    let old = simulation
        .endpoints
        .keys()
        .next()
        .expect("one endpoint")
        .clone();
    let mut crashed = simulation
        .endpoints
        .remove(&old)
        .expect("the endpoint exists");
    crashed.report.born += 100;
    let report = crashed.report.clone();
    let mut fresh = Simulation::new(configuration(&["a"]));
    fresh.add_hosts("a", 1);
    let mut endpoint = fresh
        .endpoints
        .values()
        .next()
        .expect("one endpoint")
        .clone();
    endpoint.report = report.clone();
    endpoint.host = host;
    simulation.endpoints.insert(old, endpoint);
    simulation.scheduler.set_endpoint(simulation.now, report);
    assert!(simulation.run_until_finished(&id, 3 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
}

#[test]
fn cancelling_a_job_stops_its_runs() {
    let mut simulation = simulation(1);
    let id = simulation.submit("a", spec(vec![step(4, 1_000, 60_000)]));
    simulation.run_for(SECOND);
    assert_eq!(simulation.active_run_count(), 4);
    simulation.scheduler.cancel_job(simulation.now, &id);
    simulation.run_for(SECOND);
    assert_eq!(simulation.active_run_count(), 0);
    assert_eq!(simulation.state(&id), State::Cancelled);
    // The runs ended after the job had been saved as cancelled.
    assert_eq!(simulation.observed.conflicts, 0);
}

#[test]
fn workspace_stays_within_its_limit() {
    let mut configuration = configuration(&["a"]);
    configuration.workspaces[0].limit = Resource {
        cpu: 5_000,
        memory_mb: 0,
        gpu: 0,
    };
    let mut simulation = Simulation::new(configuration);
    simulation.add_hosts("a", 3);
    simulation.run_for(SECOND / 5);
    for _ in 0..4 {
        simulation.submit("a", spec(vec![step(4, 1_000, 1_000)]));
    }
    for _ in 0..50 {
        simulation.run_for(SECOND / 10);
        assert!(simulation.active_run_count() <= 5);
    }
    assert_eq!(simulation.observed.starts.len(), 16);
}

#[test]
fn max_per_endpoint_spreads_tasks() {
    let mut simulation = simulation(4);
    let mut spread = step(4, 1_000, 2_000);
    spread.max_per_endpoint = 1;
    let id = simulation.submit("a", spec(vec![spread]));
    simulation.run_for(SECOND);
    let mut endpoint_ids: Vec<String> = (0..4)
        .flat_map(|i| simulation.endpoints_running(&format!("{id}.0.0.{i}")))
        .collect();
    endpoint_ids.sort();
    endpoint_ids.dedup();
    assert_eq!(endpoint_ids.len(), 4);
}

#[rstest]
#[case::fits(2, 8)]
#[case::does_not_fit(1, 0)]
fn gang_starts_all_of_its_tasks_or_none(
    #[case] hosts: usize,
    #[case] active_runs: usize,
) {
    let mut simulation = simulation(hosts);
    let mut gang = step(8, CAPACITY.cpu / 4, 2_000);
    gang.gang = true;
    simulation.submit("a", spec(vec![gang]));
    simulation.run_for(SECOND);
    assert_eq!(simulation.active_run_count(), active_runs);
}

#[test]
fn tasks_are_packed_onto_few_endpoints() {
    let mut simulation = simulation(6);
    simulation.submit("a", spec(vec![step(8, 3_000, 2_000)]));
    simulation.run_for(SECOND);
    let busy = simulation.endpoints.keys().filter(|id| {
        simulation
            .observed
            .starts
            .iter()
            .any(|start| &start.3 == *id)
    });
    assert_eq!(busy.count(), 1);
}

#[test]
fn ends_of_runs_survive_a_store_outage() {
    let mut simulation = simulation(1);
    let id = simulation.submit("a", spec(vec![step(2, 1_000, 500)]));
    simulation.run_for(SECOND / 5);
    simulation.store_available = false;
    simulation.run_for(2 * SECOND);
    simulation.store_available = true;
    simulation.elect_new_leader(false);
    assert!(simulation.run_until_finished(&id, 2 * SECOND));
    assert_eq!(
        simulation.observed.starts.len(),
        2,
        "the ends of the runs can still be read"
    );
}

#[test]
fn new_leader_ignores_endpoints_whose_hosts_left_the_pool() {
    let mut simulation = simulation_with_spare(3, 1);
    let id = simulation.submit("a", spec(vec![step(1, 1_000, 12_000)]));
    // The idle hosts leave the pool in the meantime.
    simulation.run_for(6 * SECOND);
    assert!(!simulation.observed.moves.is_empty());
    let mut second = step(1, 1_000, 500);
    second.after = vec![0];
    let two_step_job = simulation.submit("a", spec(vec![step(1, 1_000, 500), second]));
    simulation.run_for(SECOND / 4);
    simulation.elect_new_leader(false);
    assert!(
        simulation.run_until_finished(&two_step_job, 2 * SECOND),
        "the next step starts without waiting for a lease to expire"
    );
    assert!(simulation.run_until_finished(&id, 8 * SECOND));
}

#[test]
fn new_leader_starts_tasks_unrelated_to_unreachable_endpoints() {
    let mut simulation = simulation(2);
    let unreachable_job = simulation.submit("a", spec(vec![step(1, 20_000, 60_000)]));
    simulation.run_for(SECOND / 2);
    let endpoint_id = simulation
        .endpoints_running(&format!("{unreachable_job}.0.0.0"))
        .remove(0);
    let mut second = step(1, 20_000, 500);
    second.after = vec![0];
    let other_job = simulation.submit("a", spec(vec![step(1, 20_000, 500), second]));
    simulation.run_for(SECOND / 4);
    simulation
        .endpoints
        .get_mut(&endpoint_id)
        .expect("the endpoint exists")
        .link = Link::Unreachable;
    simulation.elect_new_leader(false);
    assert!(simulation.run_until_finished(&other_job, 2 * SECOND));
}

#[test]
fn idle_pool_keeps_one_host() {
    let mut simulation = simulation_with_spare(4, 0);
    simulation.run_for(10 * SECOND);
    let remaining = simulation
        .hosts
        .values()
        .filter(|host| host.pool == "a")
        .count();
    assert_eq!(remaining, 1);
}

#[test]
fn no_host_is_moved_from_an_unreachable_zone() {
    let mut simulation = simulation_with_spare(3, 6);
    let unreachable_zone = simulation.hosts["m0"].zone.clone();
    // Each endpoint has a run, so the leader contacts all of them and detects which are
    // unreachable.
    let mut one_each = step(3, 20_000, 60_000);
    one_each.max_per_endpoint = 1;
    simulation.submit("a", spec(vec![one_each]));
    simulation.run_for(SECOND);
    for endpoint in simulation.endpoints.values_mut() {
        if endpoint.report.zone == unreachable_zone {
            endpoint.link = Link::Unreachable;
        }
    }
    simulation.run_for(SECOND);
    simulation.observed.moves.clear();
    simulation.submit("a", spec(vec![step(12, 16_000, 1_000)]));
    simulation.run_for(SECOND);
    let moved_hosts: Vec<&String> = simulation
        .observed
        .moves
        .iter()
        .map(|moved| &moved.1)
        .collect();
    assert!(!moved_hosts.is_empty());
    assert!(
        moved_hosts
            .iter()
            .all(|host| simulation.hosts[*host].zone != unreachable_zone)
    );
}

#[test]
fn pool_growth_is_limited_for_jobs_that_are_already_late() {
    let mut simulation = simulation_with_spare(1, 12);
    let mut late_job = spec(vec![step(24, 16_000, 1_000)]);
    late_job.steps[0].estimate_ms = 1_000;
    let id = simulation.submit_at("a", late_job, 10_000);
    // For a job of an earlier term, the new leader uses the recorded submission time.
    simulation.elect_new_leader(false);
    simulation.run_for(SECOND / 2);
    assert!(
        simulation.observed.moves.len() <= 3,
        "at most a quarter of the demand, which would fill twelve hosts"
    );
    assert!(
        simulation.run_until_finished(&id, 20 * SECOND),
        "the job finishes eventually"
    );
}

#[test]
fn task_on_a_stalled_endpoint_restarts_elsewhere() {
    let mut simulation = simulation(3);
    let baseline = simulation.submit("a", spec(vec![step(8, 1_000, 1_000)]));
    assert!(simulation.run_until_finished(&baseline, 2 * SECOND));
    let endpoint_id = simulation.observed.starts[0].3.clone();
    simulation
        .endpoints
        .get_mut(&endpoint_id)
        .expect("the endpoint exists")
        .slowdown = 60;
    let id = simulation.submit("a", spec(vec![step(2, 1_000, 1_000)]));
    assert!(
        simulation.run_until_finished(&id, 5 * SECOND),
        "the job finishes without the slow run, which takes a minute"
    );
    assert_eq!(simulation.state(&id), State::Completed);
    // A run that takes twice as long as estimated is not restarted.
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.slowdown = 2;
    }
    let before = simulation.observed.starts.len();
    let slow = simulation.submit("a", spec(vec![step(4, 1_000, 1_000)]));
    assert!(simulation.run_until_finished(&slow, 4 * SECOND));
    assert_eq!(simulation.observed.starts.len(), before + 4);
}

#[test]
fn clock_skew_does_not_make_a_new_job_late() {
    let mut simulation = simulation_with_spare(1, 12);
    simulation.submit_at("a", spec(vec![step(24, 16_000, 1_000)]), 10_000);
    simulation.run_for(SECOND / 2);
    assert_eq!(
        simulation.observed.moves.len(),
        12,
        "the job can meet its deadline if it gets every host"
    );
}

#[test]
fn finished_jobs_are_removed_after_their_retention_time() {
    let mut simulation = simulation(1);
    let id = simulation.submit("a", spec(vec![step(1, 1_000, 100)]));
    assert!(simulation.run_until_finished(&id, 2 * SECOND));
    simulation.run_for(140 * SECOND);
    assert!(
        simulation.records.contains_key(&id),
        "the record is still available"
    );
    simulation.run_for(15 * SECOND);
    assert!(simulation.records.is_empty());
}

#[test]
fn inaccurate_estimate_restarts_no_task() {
    let mut simulation = simulation(3);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.slowdown = 8;
    }
    for _ in 0..4 {
        let id = simulation.submit("a", spec(vec![step(6, 1_000, 200)]));
        assert!(simulation.run_until_finished(&id, 3 * SECOND));
    }
    assert_eq!(simulation.observed.starts.len(), 24);
}

#[test]
fn new_leader_learns_no_run_times_from_inherited_runs() {
    let mut simulation = simulation(3);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.slowdown = 8;
    }
    let before = simulation.submit("a", spec(vec![step(10, 1_000, 200)]));
    simulation.run_for(3 * SECOND / 2);
    simulation.elect_new_leader(false);
    assert!(simulation.run_until_finished(&before, SECOND));
    let after = simulation.submit("a", spec(vec![step(10, 1_000, 200)]));
    assert!(simulation.run_until_finished(&after, 3 * SECOND));
    assert_eq!(simulation.observed.starts.len(), 20);
}

#[rstest]
#[case::no_permission(Rejection::NoPermission)]
#[case::malformed(Rejection::Malformed)]
fn rejected_starts_are_not_retried_without_backoff(#[case] rejection: Rejection) {
    let mut simulation = simulation(2);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.start_rejection = Some(rejection);
    }
    simulation.submit("a", spec(vec![step(2, 1_000, 500)]));
    simulation.run_for(5 * SECOND);
    assert!(
        simulation.observed.rejections <= 2 * 5,
        "{}",
        simulation.observed.rejections
    );
}

/// A burst of tasks arrives right after idle hosts left the pool, while their endpoints
/// are still registered.
#[test]
fn no_start_is_sent_to_endpoints_whose_hosts_left_the_pool() {
    let mut simulation = simulation_with_spare(6, 1);
    let move_count = |simulation: &Simulation| simulation.observed.moves.len();
    while move_count(&simulation) < 5 {
        simulation.run_for(SECOND / 10);
    }
    simulation.run_for(SECOND / 2);
    let id = simulation.submit("a", spec(vec![step(60, 2_000, 800)]));
    assert!(simulation.run_until_finished(&id, 8 * SECOND));
    assert_eq!(simulation.observed.starts_at_removed_endpoints, 0);
}

/// A burst of tasks reaches a new leader right after idle hosts left their pool.
#[test]
fn new_leader_adds_hosts_while_old_registrations_remain() {
    let mut simulation = simulation_with_spare(9, 3);
    while simulation.observed.moves.len() < 8 {
        simulation.run_for(SECOND / 20);
    }
    simulation.elect_new_leader(false);
    simulation.submit("a", spec(vec![step(64, 2_000, 1_500)]));
    let start = simulation.now;
    simulation.run_for(SECOND);
    let moves_to_pool = simulation
        .observed
        .moves
        .iter()
        .filter(|(_, _, pool)| pool == "a");
    assert!(
        moves_to_pool.count() >= 3,
        "within {:?}",
        simulation.now.saturating_since(start)
    );
}
