//! Order in which tasks and pools get scarce capacity: workspace shares, priorities,
//! duplicates, recurring jobs and the distribution of hosts.

use std::time::Duration;

use rhubarbrill_core::job::configuration::{Configuration, Workspace};
use rhubarbrill_core::job::spec::Recurrence;
use rhubarbrill_core::job::{Resource, State, Step};
use rhubarbrill_core::time::{Instant, Timestamp};

mod job_support;

use job_support::{Simulation, configuration, queue, spec, step};

const SECOND: Duration = Duration::from_secs(1);

fn new_simulation(configuration: Configuration, hosts: usize) -> Simulation {
    let mut simulation = Simulation::new(configuration);
    simulation.add_hosts("a", hosts);
    simulation.run_for(SECOND / 5);
    simulation
}

fn first_start(simulation: &Simulation, job: &str) -> Option<Instant> {
    let mut starts = simulation.observed.starts.iter();
    starts
        .find(|start| start.1.starts_with(job))
        .map(|start| start.0)
}

/// One workspace submits many times its usual load, before the jobs of the other one.
#[test]
fn workspace_that_exceeds_its_share_yields_to_others() {
    let mut configuration = configuration(&["a"]);
    configuration.queues[0].target_latency = 20 * SECOND;
    configuration.workspaces[0].weight = Some(2_000);
    configuration.workspaces.push(Workspace {
        name: "v".to_owned(),
        keys: vec!["l".to_owned()],
        weight: Some(2_000),
        limit: Resource::default(),
    });
    let mut simulation = new_simulation(configuration, 1);
    let job = || spec(vec![step(16, 2_000, 1_000)]);
    let excess_jobs: Vec<String> =
        (0..12).map(|_| simulation.submit("a", job())).collect();
    simulation.run_for(SECOND / 10);
    let other = simulation.submit_for("v", "a", job());
    assert!(simulation.run_until_finished(&other, 6 * SECOND));
    let finished = excess_jobs
        .iter()
        .filter(|id| simulation.state(id).is_final());
    // Four jobs are within the workspace's share, and each fills the endpoint for one
    // second.
    assert!(finished.count() <= 5);
    for id in &excess_jobs {
        assert!(simulation.run_until_finished(id, 20 * SECOND));
        assert_eq!(simulation.state(id), State::Completed);
    }
}

fn two_priorities() -> Configuration {
    let mut configuration = configuration(&["a"]);
    let mut batch = queue("batch");
    batch.pool = "a".to_owned();
    batch.priority = 1;
    batch.target_latency = 30 * SECOND;
    configuration.queues.push(batch);
    configuration
}

/// A short urgent job arrives while the pool is full of long batch work.
#[test]
fn higher_priority_preempts_lower_priority_work() {
    let mut simulation = new_simulation(two_priorities(), 1);
    let batch = simulation.submit("batch", spec(vec![step(16, 2_000, 10_000)]));
    simulation.run_for(2 * SECOND);
    let started_at = simulation.now;
    let urgent = simulation.submit("a", spec(vec![step(4, 2_000, 1_000)]));
    assert!(simulation.run_until_finished(&urgent, 3 * SECOND));
    let deadline = Duration::from_millis(1_600 + 600);
    assert!(simulation.now.saturating_since(started_at) <= deadline);
    assert_eq!(
        simulation.active_run_count(),
        12,
        "no more tasks were preempted than necessary"
    );
    assert!(simulation.run_until_finished(&batch, 30 * SECOND));
    assert_eq!(simulation.state(&batch), State::Completed);
}

#[test]
fn equal_or_lower_priority_preempts_nothing() {
    let mut simulation = new_simulation(two_priorities(), 1);
    let first = simulation.submit("a", spec(vec![step(16, 2_000, 4_000)]));
    simulation.run_for(SECOND);
    let same = simulation.submit("a", spec(vec![step(4, 2_000, 1_000)]));
    let lower = simulation.submit("batch", spec(vec![step(4, 2_000, 1_000)]));
    for id in [&first, &same, &lower] {
        assert!(simulation.run_until_finished(id, 5 * SECOND));
    }
    assert!(first_start(&simulation, &same) > first_start(&simulation, &first));
    assert_eq!(simulation.observed.starts.len(), 24);
}

/// A task whose step allows duplicates starts on an endpoint that has become slow.
#[test]
fn duplicate_of_a_slow_run_starts_and_the_first_to_finish_counts() {
    let mut simulation = new_simulation(configuration(&["a"]), 2);
    for _ in 0..3 {
        let id = simulation.submit("a", spec(vec![step(4, 2_000, 500)]));
        assert!(simulation.run_until_finished(&id, 3 * SECOND));
    }
    let last_used = simulation
        .observed
        .starts
        .last()
        .map(|start| start.3.clone());
    let slow = last_used.expect("a task has started");
    if let Some(endpoint) = simulation.endpoints.get_mut(&slow) {
        endpoint.slowdown = 20;
    }
    let duplicated = Step {
        allow_duplicates: true,
        ..step(1, 2_000, 1_000)
    };
    let id = simulation.submit("a", spec(vec![duplicated]));
    let task = format!("{id}.0.0.0");
    let started_at = simulation.now;
    while simulation.endpoints_running(&task).len() < 2
        && simulation.now < started_at + 4 * SECOND
    {
        simulation.run_for(SECOND / 100);
    }
    assert_eq!(
        simulation.endpoints_running(&task).len(),
        2,
        "the duplicate runs in parallel with the slow run"
    );
    assert!(simulation.run_until_finished(&id, 2 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
    simulation.run_for(SECOND);
    assert!(
        simulation.endpoints_running(&task).is_empty(),
        "the slow run is stopped"
    );
}

#[test]
fn occurrences_start_when_due_and_the_job_completes_after_the_last() {
    let mut simulation = new_simulation(configuration(&["a"]), 1);
    let start = simulation.wall_time().as_millis() + 1_000;
    let mut recurring = spec(vec![step(2, 1_000, 1_500)]);
    recurring.recurrence = Some(Recurrence {
        first: Timestamp::from_millis(start),
        interval_ms: 1_000,
        count: 3,
    });
    let id = simulation.submit("a", recurring);
    assert!(simulation.run_until_finished(&id, 8 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
    for occurrence in 0..3_u64 {
        let started_at = first_start(&simulation, &format!("{id}.{occurrence}."));
        let started_at_ms = started_at.map_or(0, |at| at.as_micros() / 1_000);
        let due = start + occurrence * 1_000;
        assert!(
            (due..due + 200).contains(&started_at_ms),
            "{started_at_ms}, due {due}"
        );
    }
}

/// An occurrence of a job that was submitted long ago is due while newer jobs wait.
#[test]
fn occurrence_is_ordered_by_its_due_time() {
    let mut simulation = new_simulation(configuration(&["a"]), 1);
    let start = simulation.wall_time().as_millis() + 10_000;
    let mut recurring = spec(vec![step(1, 2_000, 1_000)]);
    recurring.recurrence = Some(Recurrence {
        first: Timestamp::from_millis(start),
        interval_ms: 1_000,
        count: 1,
    });
    let id = simulation.submit("a", recurring);
    let full_endpoint = || spec(vec![step(16, 2_000, 1_000)]);
    simulation.run_for(Duration::from_millis(9_900));
    simulation.submit("a", full_endpoint());
    simulation.run_for(Duration::from_millis(200));
    for _ in 0..20 {
        simulation.submit("a", full_endpoint());
    }
    simulation.run_for(3 * SECOND);
    let started_at = first_start(&simulation, &id).map_or(0, |at| at.as_micros() / 1_000);
    assert!(
        started_at >= start && started_at <= start + 1_200,
        "{started_at}, due {start}"
    );
}

/// Two pools need hosts at the same time, one of them far more than the other, and only a
/// few standby hosts are left.
#[test]
fn next_host_goes_to_the_pool_with_the_least_of_its_demand_met() {
    let mut simulation =
        Simulation::new(job_support::configuration_with_spare(&["a", "b"]));
    simulation.add_hosts("a", 1);
    simulation.add_hosts("b", 1);
    simulation.add_hosts("spare", 12);
    simulation.run_for(SECOND / 5);
    // The first job would fill twenty hosts, the second one two.
    simulation.submit("a", spec(vec![step(320, 2_000, 4_000)]));
    simulation.submit("b", spec(vec![step(32, 2_000, 4_000)]));
    simulation.run_for(SECOND / 2);
    let to_b = simulation
        .observed
        .moves
        .iter()
        .filter(|(_, _, pool)| pool == "b");
    assert_eq!(to_b.count(), 1);
    assert_eq!(simulation.observed.moves.len(), 12);
}
