//! Tests that running work never exceeds a workspace's limit, for random interleavings of
//! entry hosts, swaps, pauses and lost messages.

#[path = "allowance_interleavings/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, FileFailurePersistence, TestRng, TestRunner};
use rstest::rstest;
use world::{Action, Delivery, LONGEST_RUN_MS, Variant, WORKSPACES, World, action};

const STEPS: usize = 200;
const VARIANT_TRIALS: u32 = 400;

fn run(variant: Variant, actions: &[Action]) -> Result<World, String> {
    let mut world = World::new(variant);
    for &action in actions {
        world.apply(action)?;
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
        run(Variant::Complete, &actions).map_err(TestCaseError::fail)?;
    }

    #[test]
    fn undisturbed_fleet_regains_the_whole_limit(
        actions in prop::collection::vec(action(), STEPS)
    ) {
        let mut world = run(Variant::Complete, &actions).map_err(TestCaseError::fail)?;
        world.run_undisturbed(20).map_err(TestCaseError::fail)?;
        for (workspace, name) in WORKSPACES.into_iter().enumerate() {
            let (usable, limit) = world.usable(workspace);
            prop_assert_eq!(usable, limit, "some units of {} are not usable", name);
        }
    }
}

/// Guards against work sent on loans that others may already have reclaimed.
///
/// A process is paused, replaced in the meantime, and resumes before its lease has
/// expired. Other processes treat its loans as expired from the replacement on.
#[test]
fn replaced_process_sends_no_loaned_work_after_resuming() {
    let mut script = vec![Action::Tick(0, 1, Delivery::Answered); 12];
    script.extend([
        Action::Send(0, 1),
        Action::Advance(10),
        Action::Start(0, 0, 5),
        Action::Pause(0, 5_000),
        Action::Advance(600),
        Action::Replace,
        Action::Tick(1, 1, Delivery::Answered),
        Action::Advance(3_500),
        Action::SendFromReplaced(0, LONGEST_RUN_MS),
    ]);
    for _ in 0..8 {
        script.push(Action::Tick(1, 1_500, Delivery::Answered));
        script.extend([1, 2, 3].map(|host| Action::Send(host, 900)));
    }
    let world = run(Variant::Complete, &script).unwrap();
    assert!(world.started_runs > 0);
}

/// Returns the number of seeded trials in which a variant exceeds a limit, and the number
/// of runs started in the other trials.
fn count_violations(variant: Variant) -> (u32, u32) {
    let rng = TestRng::deterministic_rng(proptest::test_runner::RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = prop::collection::vec(action(), STEPS);
    let mut violations = 0;
    let mut started_runs = 0;
    for _ in 0..VARIANT_TRIALS {
        let actions = strategy
            .new_tree(&mut runner)
            .expect("the strategy generates a value")
            .current();
        match run(variant, &actions) {
            Ok(world) => started_runs += world.started_runs,
            Err(_) => violations += 1,
        }
    }
    (violations, started_runs)
}

#[rstest]
#[case::complete(Variant::Complete, false)]
#[case::no_check_before_send(Variant::NoCheckBeforeSend, true)]
#[case::reclaim_at_expiry(Variant::ReclaimAtExpiry, true)]
#[case::assume_lost_swaps_applied(Variant::AssumeLostSwapsApplied, true)]
#[case::free_unit_on_abandon(Variant::FreeUnitOnAbandon, true)]
#[case::skip_member_check(Variant::SkipMemberCheck, true)]
#[case::static_split(Variant::StaticSplit, true)]
fn variants_without_a_safeguard_exceed_the_limit(
    #[case] variant: Variant,
    #[case] expect_violations: bool,
) {
    let (violations, started_runs) = count_violations(variant);
    println!(
        "{variant:?}: {violations} of {VARIANT_TRIALS} trials exceeded a limit; \
         {started_runs} runs in the others"
    );
    assert_eq!(
        violations > 0,
        expect_violations,
        "{variant:?}: {violations} of {VARIANT_TRIALS}"
    );
}
