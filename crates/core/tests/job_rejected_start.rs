//! Jobs whose starts are rejected: they wait, and are shown as waiting.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::Rejection;
use rhubarbrill_core::job::{RunEnd, State};
use rstest::rstest;

mod job_support;

use job_support::{Link, Simulation, simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Number of jobs whose starts are rejected.
const JOBS: usize = 12;

/// What the endpoints do with start orders, and what happens to the leader.
#[derive(Clone, Copy, Debug)]
struct Case {
    rejection: Option<Rejection>,
    link: Link,
    leader_changes: bool,
    /// Whether the store holds records of a version that stored a planned job as running.
    is_stored_as_running: bool,
}

impl Case {
    const fn new(rejection: Rejection) -> Self {
        Self {
            rejection: Some(rejection),
            link: Link::Healthy,
            leader_changes: false,
            is_stored_as_running: false,
        }
    }
}

fn set_endpoints(simulation: &mut Simulation, rejection: Option<Rejection>, link: Link) {
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.start_rejection = rejection;
        endpoint.link = link;
    }
}

fn pending(simulation: &Simulation) -> usize {
    simulation
        .scheduler
        .pending()
        .get("a")
        .copied()
        .unwrap_or(0)
}

/// Guards against jobs that are shown as running, and not counted as waiting, although every
/// start was rejected (MIXED): the state followed the plan.
#[rstest]
#[case::unhealthy(Case::new(Rejection::Unhealthy))]
#[case::no_capacity(Case::new(Rejection::NoCapacity))]
#[case::malformed(Case::new(Rejection::Malformed))]
#[case::no_connection(Case { rejection: None, link: Link::Unreachable, ..Case::new(Rejection::Unhealthy) })]
#[case::leader_changes(Case { leader_changes: true, ..Case::new(Rejection::Unhealthy) })]
#[case::stored_as_running(Case { leader_changes: true, is_stored_as_running: true, ..Case::new(Rejection::Unhealthy) })]
fn jobs_whose_starts_are_rejected_count_as_waiting(#[case] case: Case) {
    let mut simulation = simulation(3);
    set_endpoints(&mut simulation, case.rejection, case.link);
    let submit = |_| simulation.submit("a", spec(vec![step(2, 1_000, 500)]));
    let jobs: Vec<String> = (0..JOBS).map(submit).collect();
    simulation.run_for(3 * SECOND);
    if case.is_stored_as_running {
        for progress in simulation.progress.values_mut() {
            progress.state = State::Running;
        }
    }
    if case.leader_changes {
        simulation.elect_new_leader(false);
        simulation.run_for(2 * SECOND);
    }
    assert_eq!(pending(&simulation), JOBS, "{case:?}");
    for job in &jobs {
        assert_eq!(simulation.state(job), State::Queued, "{case:?}");
    }
    set_endpoints(&mut simulation, None, Link::Healthy);
    for job in &jobs {
        assert!(simulation.run_until_finished(job, 20 * SECOND), "{case:?}");
        assert_eq!(simulation.state(job), State::Completed);
    }
}

/// Guards against jobs that are shown as waiting although a task has started.
#[rstest]
#[case::leader_stays(false)]
#[case::leader_changes(true)]
fn job_whose_start_was_accepted_counts_as_running(#[case] leader_changes: bool) {
    let mut simulation = simulation(2);
    let job = simulation.submit("a", spec(vec![step(2, 1_000, 60_000)]));
    simulation.run_for(2 * SECOND);
    if leader_changes {
        simulation.elect_new_leader(false);
        simulation.run_for(SECOND);
    }
    assert_eq!(pending(&simulation), 0);
    assert_eq!(simulation.state(&job), State::Running);
}

/// Guards against a job that counts as waiting again, as the only task that had started was
/// stopped or has failed before the leader changed.
#[rstest]
#[case::failed(RunEnd::Failed)]
#[case::lapsed(RunEnd::Lapsed)]
fn job_that_has_begun_stays_so(#[case] end: RunEnd) {
    let mut simulation = simulation(1);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.fail_runs = end == RunEnd::Failed;
    }
    let job = simulation.submit("a", spec(vec![step(1, 1_000, 1_000)]));
    simulation.run_for(SECOND * 4 / 5);
    set_endpoints(&mut simulation, Some(Rejection::Unhealthy), Link::Healthy);
    if end == RunEnd::Lapsed {
        set_endpoints(
            &mut simulation,
            Some(Rejection::Unhealthy),
            Link::Unreachable,
        );
        simulation.run_for(8 * SECOND);
    }
    simulation.run_for(SECOND);
    assert_eq!(simulation.state(&job), State::Running);
    simulation.elect_new_leader(false);
    simulation.run_for(SECOND);
    assert_eq!(simulation.state(&job), State::Running);
    assert_eq!(pending(&simulation), 0);
}
