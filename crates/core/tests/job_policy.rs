//! Queues with a placement policy, which must allow each step on each endpoint.

use std::time::Duration;

use rhubarbrill_core::job::configuration::PlacementPolicy;
use rhubarbrill_core::job::{State, Step};
use rstest::rstest;

mod job_support;

use job_support::{Policy, Simulation, configuration, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Time that the policy takes for each answer.
const ANSWER_DELAY: Duration = Duration::from_millis(100);

/// Returns a simulation whose only queue has a policy that allows all endpoints but those
/// in `denied`, with tickets that are valid for `valid`.
fn simulation(hosts: usize, denied: &[&str], valid: Duration) -> Simulation {
    let mut configuration = configuration(&["a"]);
    configuration.queues[0].placement_policy = Some(PlacementPolicy {
        decide: ANSWER_DELAY,
        per_endpoint: Duration::ZERO,
        valid,
    });
    let mut simulation = Simulation::new(configuration);
    let mut policy = Policy::default();
    policy.denied.extend(denied.iter().map(|&id| id.to_owned()));
    policy.answer_delay = ANSWER_DELAY;
    policy.ticket_validity = valid;
    simulation.policy = Some(policy);
    simulation.add_hosts("a", hosts);
    simulation.run_for(SECOND / 5);
    simulation
}

fn two_steps() -> Vec<Step> {
    let mut second = step(4, 1_000, 1_000);
    second.after = vec![0];
    vec![step(4, 1_000, 1_000), second]
}

#[test]
fn tasks_run_only_where_the_policy_allows() {
    let mut simulation = simulation(6, &["e1", "e2", "e5"], 3 * SECOND);
    let id = simulation.submit("a", spec(vec![step(80, 2_000, 500)]));
    assert!(simulation.run_until_finished(&id, 6 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
    let mut endpoint_ids: Vec<&str> = simulation
        .observed
        .starts
        .iter()
        .map(|start| start.3.as_str())
        .collect();
    endpoint_ids.sort_unstable();
    endpoint_ids.dedup();
    assert_eq!(endpoint_ids, ["e3", "e4", "e6"]);
    assert_eq!(simulation.observed.rejections, 0);
}

#[test]
fn policy_is_asked_about_the_next_step_while_the_previous_one_runs() {
    let mut simulation = simulation(4, &[], 3 * SECOND);
    let started_at = simulation.now;
    let id = simulation.submit("a", spec(two_steps()));
    assert!(simulation.run_until_finished(&id, 5 * SECOND));
    // Only the first step waits for an answer of the policy.
    let max_duration = 2 * SECOND + ANSWER_DELAY + Duration::from_millis(250);
    assert!(simulation.now.saturating_since(started_at) <= max_duration);
    assert_eq!(simulation.observed.rejections, 0);
}

/// Validity of tickets, and the number of questions that a job of two steps may need.
struct ValidityCase {
    ticket_validity: Duration,
    max_questions: usize,
}

#[rstest]
#[case::long(ValidityCase { ticket_validity: 3 * SECOND, max_questions: 2 })]
#[case::shorter_than_a_step(ValidityCase { ticket_validity: Duration::from_millis(600), max_questions: 8 })]
fn expired_tickets_are_requested_again(#[case] validity: ValidityCase) {
    let mut simulation = simulation(4, &[], validity.ticket_validity);
    let id = simulation.submit("a", spec(two_steps()));
    assert!(simulation.run_until_finished(&id, 5 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
    assert_eq!(simulation.observed.rejections, 0);
    let questions = simulation.policy.map_or(0, |policy| policy.question_count);
    assert!(questions <= validity.max_questions, "{questions} questions");
}

#[test]
fn unanswered_questions_are_repeated_and_nothing_starts() {
    let mut simulation = simulation(4, &[], 3 * SECOND);
    if let Some(policy) = &mut simulation.policy {
        policy.is_unavailable = true;
    }
    let id = simulation.submit("a", spec(two_steps()));
    simulation.run_for(3 * SECOND);
    assert!(simulation.observed.starts.is_empty());
    let questions = simulation
        .policy
        .as_ref()
        .map_or(0, |policy| policy.question_count);
    assert!((2..=12).contains(&questions), "{questions} questions");
    if let Some(policy) = &mut simulation.policy {
        policy.is_unavailable = false;
    }
    assert!(simulation.run_until_finished(&id, 5 * SECOND));
    assert_eq!(simulation.observed.rejections, 0);
}

#[test]
fn new_leader_asks_the_policy_again() {
    let mut simulation = simulation(4, &["e1"], 3 * SECOND);
    let id = simulation.submit("a", spec(two_steps()));
    simulation.run_for(SECOND / 2);
    simulation.elect_new_leader(false);
    assert!(simulation.run_until_finished(&id, 5 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
    assert_eq!(simulation.observed.rejections, 0);
    assert!(
        simulation
            .observed
            .starts
            .iter()
            .all(|start| start.3 != "e1")
    );
}
