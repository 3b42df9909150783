//! Endpoints that restart under the identity that they had, while the store doesn't show it.

use std::time::Duration;

use rstest::rstest;

mod job_support;

use job_support::{Link, Simulation, simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Run time of the tasks that start on a restarted endpoint, in milliseconds.
const TASK_MS: u64 = 2_000;

/// How the leader, or the next one, learns of the restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Notice {
    /// By the endpoint's next report.
    Report,
    /// By the endpoint's registration, before its next report.
    Registration,
    /// By a report to the next leader, which lists the registration from before the restart.
    NextLeaderReport,
    /// By the registration that the next leader lists.
    NextLeaderRegistration,
}

/// Restarts of endpoints between two jobs, and what happens once the second job has started.
#[derive(Clone, Copy, Debug)]
struct Case {
    notice: Notice,
    /// Number of restarts of each endpoint.
    restarts: [usize; 2],
    /// Link to the endpoints while the tasks start.
    link: Link,
    /// Run time of the tasks, in milliseconds.
    task_ms: u64,
}

impl Case {
    const fn new(notice: Notice) -> Self {
        Self {
            notice,
            restarts: [1, 1],
            link: Link::Healthy,
            task_ms: TASK_MS,
        }
    }
}

/// Returns a simulation of six endpoints that have all completed tasks and are idle.
fn simulation_with_history() -> Simulation {
    let mut simulation = simulation(6);
    simulation.holds_wait = true;
    let job = simulation.submit("a", spec(vec![step(6, 20_000, 300)]));
    assert!(simulation.run_until_finished(&job, 5 * SECOND));
    simulation.run_for(SECOND);
    simulation
}

fn ids(simulation: &Simulation) -> Vec<String> {
    simulation.endpoints.keys().cloned().collect()
}

/// Guards against tasks that run twice after their endpoint has restarted (TWICE): what an
/// endpoint has accepted after a restart that the leader didn't know of counted as ended with
/// the incarnation before.
#[rstest]
#[case::report(Case::new(Notice::Report))]
#[case::registration(Case::new(Notice::Registration))]
#[case::next_leader_report(Case::new(Notice::NextLeaderReport))]
#[case::next_leader_registration(Case::new(Notice::NextLeaderRegistration))]
#[case::twice(Case { restarts: [1, 2], ..Case::new(Notice::Report) })]
#[case::one_of_two(Case { restarts: [1, 0], ..Case::new(Notice::Registration) })]
#[case::lost_replies(Case { link: Link::RepliesLost, ..Case::new(Notice::Registration) })]
#[case::late_starts(Case { link: Link::DelayedStarts(400), ..Case::new(Notice::Registration) })]
#[case::late_starts_next_leader(Case { link: Link::DelayedStarts(400), ..Case::new(Notice::NextLeaderRegistration) })]
#[case::short_tasks(Case { task_ms: 20, ..Case::new(Notice::Report) })]
fn tasks_run_once_on_endpoints_that_restarted_unnoticed(#[case] case: Case) {
    let mut simulation = simulation_with_history();
    let ids = ids(&simulation);
    for (id, &restarts) in ids.iter().zip(&case.restarts) {
        for _ in 0..restarts {
            simulation.restart_behind_cut(id);
        }
        simulation
            .endpoints
            .get_mut(id)
            .expect("the endpoint exists")
            .link = case.link;
    }
    let job = simulation.submit("a", spec(vec![step(3, 20_000, case.task_ms)]));
    simulation.run_for(Duration::from_millis(30));
    let is_new_leader = matches!(
        case.notice,
        Notice::NextLeaderReport | Notice::NextLeaderRegistration
    );
    let is_registered = matches!(
        case.notice,
        Notice::Registration | Notice::NextLeaderRegistration
    );
    if is_registered {
        ids.iter().for_each(|id| simulation.publish(id));
    }
    if is_new_leader {
        simulation.elect_new_leader(false);
    }
    simulation.run_for(Duration::from_millis(600));
    for id in &ids {
        let endpoint = simulation.endpoints.get_mut(id);
        endpoint.expect("the endpoint exists").link = Link::Healthy;
    }
    assert!(simulation.run_until_finished(&job, 20 * SECOND), "{case:?}");
    let starts = simulation.observed.starts.iter();
    let starts = starts.filter(|(_, task, _, _)| task.starts_with(&job));
    if case.link == Link::Healthy {
        assert_eq!(starts.count(), 3, "{case:?}");
    }
}

/// Guards against tasks that wait for the end of a lease although the incarnation that ran
/// them has ended.
#[rstest]
#[case::report(Notice::Report)]
#[case::registration(Notice::Registration)]
#[case::next_leader_report(Notice::NextLeaderReport)]
#[case::next_leader_registration(Notice::NextLeaderRegistration)]
fn tasks_of_the_incarnation_before_start_again(#[case] notice: Notice) {
    let mut simulation = simulation(4);
    simulation.holds_wait = true;
    let job = simulation.submit("a", spec(vec![step(3, 20_000, 3_000)]));
    simulation.run_for(SECOND);
    let restarted = ids(&simulation).remove(0);
    simulation.restart_behind_cut(&restarted);
    if matches!(
        notice,
        Notice::Registration | Notice::NextLeaderRegistration
    ) {
        simulation.publish(&restarted);
    }
    if matches!(
        notice,
        Notice::NextLeaderReport | Notice::NextLeaderRegistration
    ) {
        simulation.elect_new_leader(false);
    }
    simulation.run_for(SECOND);
    assert_eq!(simulation.active_run_count(), 3, "{notice:?}");
    assert!(simulation.run_until_finished(&job, 10 * SECOND));
}
