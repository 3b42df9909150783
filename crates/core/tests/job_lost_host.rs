//! Hosts that fail: their tasks start elsewhere as soon as the platform lists the hosts
//! without their endpoints, and not while an endpoint is only cut off from the leader.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::HostState;
use rstest::rstest;

mod job_support;

use job_support::{Link, Simulation, simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Makes an endpoint unreachable for the leader. The platform goes on listing it.
fn cut_off(simulation: &mut Simulation, endpoint: &str) {
    let endpoint = simulation.endpoints.get_mut(endpoint);
    endpoint.expect("the endpoint exists").link = Link::Unreachable;
}

/// Ends everything that an endpoint executes, and lists its host without it.
fn crash(simulation: &mut Simulation, endpoint: &str) {
    cut_off(simulation, endpoint);
    let endpoint = simulation.endpoints.get_mut(endpoint);
    let endpoint = endpoint.expect("the endpoint exists");
    endpoint.active_runs.clear();
    let host = simulation.hosts.get_mut(&endpoint.host);
    let host = host.expect("the host of an endpoint exists");
    host.state = HostState::Down;
    host.endpoint = None;
}

/// Returns how often a task was started.
fn start_count(simulation: &Simulation, task: &str) -> usize {
    let starts = simulation.observed.starts.iter();
    starts.filter(|(_, started, _, _)| started == task).count()
}

/// Submits a job of one task and returns the task's name and endpoint once it runs.
fn run_task(simulation: &mut Simulation) -> (String, String) {
    let id = simulation.submit("a", spec(vec![step(1, 1_000, 60_000)]));
    simulation.run_for(SECOND);
    let task = format!("{id}.0.0.0");
    let endpoint = simulation.endpoints_running(&task).remove(0);
    (task, endpoint)
}

/// What happens to the leader after a host has failed.
#[derive(Clone, Copy, Debug)]
enum Leader {
    /// It stays.
    Stays,
    /// Another one takes over, which hasn't seen the endpoint on its host.
    Changes,
}

/// Load pattern: a rack loses power in a burst, and the leader is lost right afterwards.
/// Jobs with a single task there would wait for the longest lease that any earlier leader
/// could have granted, which exceeds most deadlines.
#[rstest]
#[case::leader_stays(Leader::Stays)]
#[case::leader_changes(Leader::Changes)]
fn tasks_of_a_failed_host_restart_once_it_is_listed(#[case] leader: Leader) {
    let mut simulation = simulation(2);
    let (task, endpoint) = run_task(&mut simulation);
    crash(&mut simulation, &endpoint);
    if let Leader::Changes = leader {
        simulation.elect_new_leader(true);
    }
    simulation.run_for(SECOND);
    assert_eq!(start_count(&simulation, &task), 2);
}

#[rstest]
#[case::leader_stays(Leader::Stays)]
#[case::leader_changes(Leader::Changes)]
fn tasks_of_an_endpoint_that_is_cut_off_wait_for_its_lease(#[case] leader: Leader) {
    let mut simulation = simulation(2);
    let (task, endpoint) = run_task(&mut simulation);
    cut_off(&mut simulation, &endpoint);
    if let Leader::Changes = leader {
        simulation.elect_new_leader(true);
    }
    simulation.run_for(4 * SECOND);
    assert_eq!(start_count(&simulation, &task), 1);
}

/// A single listing without an endpoint that replies to orders is no proof that it is
/// gone.
#[test]
fn an_endpoint_that_replies_keeps_its_runs() {
    let mut simulation = simulation(2);
    let (task, endpoint) = run_task(&mut simulation);
    let host = simulation.endpoints[&endpoint].host.clone();
    let listed = simulation.hosts[&host].clone();
    simulation.hosts.get_mut(&host).expect("it exists").endpoint = None;
    simulation.list_hosts();
    simulation.hosts.insert(host, listed);
    simulation.run_for(3 * SECOND);
    assert_eq!(start_count(&simulation, &task), 1);
    assert_eq!(simulation.endpoints_running(&task), [endpoint]);
}
