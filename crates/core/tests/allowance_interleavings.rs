//! No interleaving of entry hosts, swaps, pauses and losses passes a workspace's limit.

#[path = "allowance_interleavings/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, FileFailurePersistence, TestRng, TestRunner};
use rstest::rstest;
use world::{Action, Fate, LONGEST_RUN_MS, Variant, WORKSPACES, World, action};

const STEPS: usize = 200;
const NAIVE_TRIALS: u32 = 400;

fn run(variant: Variant, actions: &[Action]) -> Result<World, String> {
    let mut world = World::new(variant);
    for &action in actions {
        world.act(action)?;
    }
    Ok(world)
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource(
            "regressions",
        ))),
        ..Config::default()
    })]

    #[test]
    fn running_work_stays_within_the_limit(
        actions in prop::collection::vec(action(), STEPS)
    ) {
        run(Variant::Whole, &actions).map_err(TestCaseError::fail)?;
    }

    #[test]
    fn a_calm_fleet_gets_the_whole_limit_back(
        actions in prop::collection::vec(action(), STEPS)
    ) {
        let mut world = run(Variant::Whole, &actions).map_err(TestCaseError::fail)?;
        world.calm(20).map_err(TestCaseError::fail)?;
        for (workspace, name) in WORKSPACES.into_iter().enumerate() {
            let (usable, limit) = world.usable(workspace);
            prop_assert_eq!(usable, limit, "units of {} are stranded", name);
        }
    }
}

/// A process is frozen within its lease, replaced meanwhile, and wakes before the lease
/// ends: others count its loans as lapsed since the replacement.
#[test]
fn a_replaced_process_sends_nothing_on_its_loans_when_it_wakes() {
    let mut script = vec![Action::Tick(0, 1, Fate::Answered); 12];
    script.extend([
        Action::Send(0, 1),
        Action::Advance(10),
        Action::Start(0, 0, 5),
        Action::Pause(0, 5_000),
        Action::Advance(600),
        Action::Replace,
        Action::Tick(1, 1, Fate::Answered),
        Action::Advance(3_500),
        Action::SendStale(0, LONGEST_RUN_MS),
    ]);
    for _ in 0..8 {
        script.push(Action::Tick(1, 1_500, Fate::Answered));
        script.extend([1, 2, 3].map(|seat| Action::Send(seat, 900)));
    }
    let world = run(Variant::Whole, &script).unwrap();
    assert!(world.started > 0);
}

/// Counts the seeded trials in which a variant passes a limit.
fn broken_trials(variant: Variant) -> (u32, u32) {
    let rng = TestRng::deterministic_rng(proptest::test_runner::RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = prop::collection::vec(action(), STEPS);
    let mut broken = 0;
    let mut started = 0;
    for _ in 0..NAIVE_TRIALS {
        let actions = strategy.new_tree(&mut runner).expect("a tree").current();
        match run(variant, &actions) {
            Ok(world) => started += world.started,
            Err(_) => broken += 1,
        }
    }
    (broken, started)
}

#[rstest]
#[case::whole(Variant::Whole, false)]
#[case::no_check_before_send(Variant::NoCheckBeforeSend, true)]
#[case::take_back_at_lapse(Variant::TakeBackAtLapse, true)]
#[case::trust_lost_answers(Variant::TrustLostAnswers, true)]
#[case::free_at_give_up(Variant::FreeAtGiveUp, true)]
#[case::renewal_suffices(Variant::RenewalSuffices, true)]
#[case::static_counts(Variant::StaticCounts, true)]
fn naive_versions_pass_the_limit(#[case] variant: Variant, #[case] breaks: bool) {
    let (broken, started) = broken_trials(variant);
    println!(
        "{variant:?}: {broken} of {NAIVE_TRIALS} trials broke; {started} runs in the rest"
    );
    assert_eq!(
        broken > 0,
        breaks,
        "{variant:?}: {broken} of {NAIVE_TRIALS}"
    );
}
