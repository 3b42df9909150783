//! Queues whose placement policy must allow each step on each endpoint.

use std::time::Duration;

use rhubarbrill_core::job::configuration::PlacementPolicy;
use rhubarbrill_core::job::{State, Step};
use rstest::rstest;

mod job_support;

use job_support::{Policy, World, configuration, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Time that the policy takes for an answer.
const DECIDE: Duration = Duration::from_millis(100);

/// Returns a world whose only queue has a policy that allows all but `denied` endpoints.
fn world(hosts: usize, denied: &[&str], valid: Duration) -> World {
    let mut configuration = configuration(&["a"]);
    configuration.queues[0].placement_policy = Some(PlacementPolicy {
        decide: DECIDE,
        per_endpoint: Duration::ZERO,
        valid,
    });
    let mut world = World::new(configuration);
    let mut policy = Policy::default();
    policy.denied.extend(denied.iter().map(|&id| id.to_owned()));
    policy.decide = DECIDE;
    policy.valid = valid;
    world.policy = Some(policy);
    world.add_hosts("a", hosts);
    world.pass(SECOND / 5);
    world
}

fn two_steps() -> Vec<Step> {
    let mut second = step(4, 1_000, 1_000);
    second.after = vec![0];
    vec![step(4, 1_000, 1_000), second]
}

#[test]
fn tasks_run_only_where_the_policy_allows() {
    let mut world = world(6, &["e1", "e2", "e5"], 3 * SECOND);
    let id = world.submit("a", spec(vec![step(80, 2_000, 500)]));
    assert!(world.pass_until_over(&id, 6 * SECOND));
    assert_eq!(world.state(&id), State::Completed);
    let mut places: Vec<&str> = world
        .seen
        .starts
        .iter()
        .map(|start| start.3.as_str())
        .collect();
    places.sort_unstable();
    places.dedup();
    assert_eq!(places, ["e3", "e4", "e6"]);
    assert_eq!(world.seen.rejections, 0);
}

#[test]
fn the_next_step_is_asked_about_while_the_one_before_runs() {
    let mut world = world(4, &[], 3 * SECOND);
    let began = world.now;
    let id = world.submit("a", spec(two_steps()));
    assert!(world.pass_until_over(&id, 5 * SECOND));
    // One answer before the first step; none is waited for between the two.
    let most = 2 * SECOND + DECIDE + Duration::from_millis(250);
    assert!(world.now.saturating_since(began) <= most);
    assert_eq!(world.seen.rejections, 0);
}

/// How long tickets are valid, and how many questions a job of two steps may take.
struct Validity {
    valid: Duration,
    most_questions: usize,
}

#[rstest]
#[case::long(Validity { valid: 3 * SECOND, most_questions: 2 })]
#[case::shorter_than_a_step(Validity { valid: Duration::from_millis(600), most_questions: 8 })]
fn tickets_that_run_out_are_asked_for_again(#[case] validity: Validity) {
    let mut world = world(4, &[], validity.valid);
    let id = world.submit("a", spec(two_steps()));
    assert!(world.pass_until_over(&id, 5 * SECOND));
    assert_eq!(world.state(&id), State::Completed);
    assert_eq!(world.seen.rejections, 0);
    let questions = world.policy.map_or(0, |policy| policy.questions);
    assert!(
        questions <= validity.most_questions,
        "{questions} questions"
    );
}

#[test]
fn without_an_answer_nothing_starts_and_the_question_is_asked_again() {
    let mut world = world(4, &[], 3 * SECOND);
    if let Some(policy) = &mut world.policy {
        policy.is_silent = true;
    }
    let id = world.submit("a", spec(two_steps()));
    world.pass(3 * SECOND);
    assert!(world.seen.starts.is_empty());
    let questions = world.policy.as_ref().map_or(0, |policy| policy.questions);
    assert!((2..=12).contains(&questions), "{questions} questions");
    if let Some(policy) = &mut world.policy {
        policy.is_silent = false;
    }
    assert!(world.pass_until_over(&id, 5 * SECOND));
    assert_eq!(world.seen.rejections, 0);
}

#[test]
fn a_new_leader_asks_for_itself() {
    let mut world = world(4, &["e1"], 3 * SECOND);
    let id = world.submit("a", spec(two_steps()));
    world.pass(SECOND / 2);
    world.elect(false);
    assert!(world.pass_until_over(&id, 5 * SECOND));
    assert_eq!(world.state(&id), State::Completed);
    assert_eq!(world.seen.rejections, 0);
    assert!(world.seen.starts.iter().all(|start| start.3 != "e1"));
}
