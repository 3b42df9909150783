//! Tests of the maintenance ledger: steps, budgets, drain evidence, stale senders and
//! waves.

mod maintenance_support;

use std::time::Duration;

use maintenance_support::{RUN_TIME, budget, command, fleet, key, member, run};
use rhubarbrill_core::maintenance::{
    Command, Decision, DrainBlocker, DrainReport, Evidence, Ledger, PROPAGATION_BOUND,
    Pause, Phase, Refusal, Selection, Step,
};
use rstest::rstest;

/// A script whose commands are all accepted, the command under test, and its result.
struct Case {
    given: &'static str,
    when: &'static str,
    then: Result<(), Refusal>,
}

fn pool(name: &str) -> String {
    name.to_owned()
}

#[rstest]
#[case::pool_budget(Case { given: "wave:w:p0 drain:p0-h0:w drain:p0-h1:w", when: "drain:p0-h2:w",
    then: Err(Refusal::BudgetPool(pool("p0"))) })]
#[case::zone_budget(Case { given: "wave:w:p0 drain:p0-h0:w", when: "drain:p0-h3:w",
    then: Err(Refusal::BudgetZone { pool: pool("p0"), zone: pool("z0") }) })]
#[case::failures_use_the_budget(Case { given: "wave:w:p0 failed:p0-h0 failed:p0-h1", when: "drain:p0-h2:w",
    then: Err(Refusal::BudgetPool(pool("p0"))) })]
#[case::failure_is_never_refused(Case { given: "failed:p0-h0 failed:p0-h1", when: "failed:p0-h2", then: Ok(()) })]
#[case::platform_is_never_refused(Case { given: "failed:p0-h0 failed:p0-h1", when: "leaving:p0-h2", then: Ok(()) })]
#[case::exceeded_zone_blocks_all_drains(Case { given: "wave:w:p0 failed:p0-h0 failed:p0-h3", when: "move:p0-h1:p1",
    then: Err(Refusal::BudgetExceeded(pool("p0"))) })]
#[case::lent_host_is_charged_to_declared_pool(Case {
    given: "move:p0-h0:p1 drained:p0-h0 to:p0-h0:p1 returned:p0-h0 serve:p0-h0 move:p0-h1:p1",
    when: "move:p0-h2:p1", then: Err(Refusal::BudgetPool(pool("p0"))) })]
#[case::spare_pool_is_not_charged_for_lent_host(Case {
    given: "move:s0:p0 drained:s0 to:s0:p0 failed:p0-h0", when: "returned:s0", then: Ok(()) })]
#[case::arriving_host_is_not_charged(Case {
    given: "failed:p0-h0 failed:p0-h1 failed:p0-h2 move:s0:p0 drained:s0", when: "to:s0:p0", then: Ok(()) })]
#[case::borrowed_host_drains_within_budget(Case {
    given: "move:s0:p0 drained:s0 to:s0:p0 returned:s0 serve:s0 failed:p0-h1 failed:p0-h2", when: "move:s0:spare",
    then: Err(Refusal::BudgetPool(pool("p0"))) })]
#[case::already_out_of_service(Case { given: "wave:w:p0 drain:p0-h0:w", when: "move:p0-h0:p1", then: Err(Refusal::AlreadyOutOfService) })]
#[case::failed_during_reboot(Case { given: "wave:w:p0 drain:p0-h0:w drained:p0-h0 reboot:p0-h0 failed:p0-h0", when: "drain:p0-h0:w", then: Err(Refusal::AlreadyOutOfService) })]
#[case::reboot_needs_drained(Case { given: "wave:w:p0 drain:p0-h0:w", when: "reboot:p0-h0",
    then: Err(Refusal::WrongStep { at: Some(Step::Leaving { since: 2 }) }) })]
#[case::move_needs_drained(Case { given: "move:p0-h0:p1", when: "to:p0-h0:p1",
    then: Err(Refusal::WrongStep { at: Some(Step::Leaving { since: 1 }) }) })]
#[case::move_only_to_pool_drained_for(Case { given: "move:p0-h0:p1 drained:p0-h0", when: "to:p0-h0:spare",
    then: Err(Refusal::WrongStep { at: Some(Step::Drained) }) })]
#[case::same_pool(Case { given: "", when: "move:p0-h0:p0", then: Err(Refusal::SamePool(pool("p0"))) })]
#[case::unknown_pool(Case { given: "", when: "move:p0-h0:p9", then: Err(Refusal::UnknownPool(pool("p9"))) })]
#[case::unknown_host(Case { given: "", when: "failed:x", then: Err(Refusal::UnknownHost(pool("x"))) })]
#[case::unknown_wave(Case { given: "", when: "drain:p0-h0:w", then: Err(Refusal::UnknownWave(pool("w"))) })]
#[case::not_in_wave(Case { given: "wave:w:p1", when: "drain:p0-h0:w", then: Err(Refusal::NotInWave(pool("w"))) })]
#[case::paused(Case { given: "wave:w:p0 pause:w", when: "drain:p0-h0:w", then: Err(Refusal::WaveNotRunning(pool("w"))) })]
#[case::host_is_done_once_per_wave(Case {
    given: "wave:w:p0 drain:p0-h0:w drained:p0-h0 reboot:p0-h0 returned:p0-h0 serve:p0-h0",
    when: "drain:p0-h0:w", then: Err(Refusal::NotInWave(pool("w"))) })]
#[case::cancelled_is_not_done(Case {
    given: "wave:w:p0 drain:p0-h0:w cancel:p0-h0 serve:p0-h0", when: "drain:p0-h0:w", then: Ok(()) })]
#[case::failed_host_drains_without_budget(Case { given: "wave:w:p0 drain:p0-h1:w failed:p0-h0", when: "drain:p0-h0:w", then: Ok(()) })]
#[case::no_drain_of_failed_host_when_exceeded(Case {
    given: "wave:w:p0 drain:p0-h1:w drain:p0-h2:w failed:p0-h0", when: "drain:p0-h0:w",
    then: Err(Refusal::BudgetExceeded(pool("p0"))) })]
fn decides_on_commands(#[case] case: Case) {
    let fleet = fleet(2, 6, 3, budget(2, 2, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, case.given);
    let before = ledger.clone();
    let seen = ledger.generation();
    let answer = ledger.apply(&fleet, seen, &command(case.when));
    assert_eq!(answer.clone().map(|_| ()), case.then);
    match answer {
        Err(_) => assert_eq!(ledger, before),
        Ok(_) => {
            let again = ledger.apply(&fleet, seen, &command(case.when));
            assert_eq!(again, Ok(Decision::Unchanged));
        }
    }
}

#[rstest]
#[case::leaving("move:p0-h0:p1", "p0", false)]
#[case::drained("move:p0-h0:p1 drained:p0-h0", "p0", false)]
#[case::moving("move:p0-h0:p1 drained:p0-h0 to:p0-h0:p1", "p1", false)]
#[case::serving(
    "move:p0-h0:p1 drained:p0-h0 to:p0-h0:p1 returned:p0-h0 serve:p0-h0",
    "p1",
    true
)]
#[case::failed("failed:p0-h0", "p0", false)]
#[case::recovered("failed:p0-h0 recovered:p0-h0", "p0", false)]
#[case::serving_declared_pool("failed:p0-h0 recovered:p0-h0 serve:p0-h0", "p0", true)]
fn reports_placement(#[case] script: &str, #[case] pool: &str, #[case] accepts: bool) {
    let fleet = fleet(2, 6, 3, budget(2, 2, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, script);
    let standing = ledger.placement(&fleet).get(key(&fleet, "p0-h0"));
    let standing = standing.expect("host is placed");
    assert_eq!(fleet.pools.name(standing.pool), Some(pool));
    assert_eq!(standing.accepts, accepts);
    let text = serde_json::to_string(&ledger).expect("ledger is written");
    assert_eq!(serde_json::from_str::<Ledger>(&text).ok(), Some(ledger));
}

/// Reports of entry hosts, how long the planner waited, and what blocks the confirmation.
#[rstest]
#[case::confirmed(&[("z0", DrainReport::Idle { generation: 1 }), ("z1", DrainReport::Idle { generation: 2 })], 0, None)]
#[case::old_generation(&[("z0", DrainReport::Idle { generation: 0 })], 0, Some(DrainBlocker::Unconfirmed("e0".into())))]
#[case::busy_after_grace_period(&[("z0", DrainReport::Busy)], 99, Some(DrainBlocker::Busy("e0".into())))]
#[case::no_answer_within_grace_period(&[("z0", DrainReport::Idle { generation: 1 }), ("z1", DrainReport::NoAnswer)], 33, Some(DrainBlocker::Unconfirmed("e1".into())))]
#[case::no_answer_after_grace_period(&[("z0", DrainReport::Idle { generation: 1 }), ("z1", DrainReport::NoAnswer)], 34, None)]
#[case::own_zone_unconfirmed(&[("z0", DrainReport::NoAnswer), ("z1", DrainReport::Idle { generation: 1 })], 99, Some(DrainBlocker::ZoneUnconfirmed("z0".into())))]
#[case::no_reports_within_grace_period(&[], 33, Some(DrainBlocker::NoReports))]
#[case::no_reports_after_grace_period(&[], 34, None)]
fn requires_drain_evidence(
    #[case] reports: &[(&str, DrainReport)],
    #[case] waited_secs: u64,
    #[case] expected_blocker: Option<DrainBlocker>,
) {
    let fleet = fleet(2, 6, 3, budget(2, 2, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, "move:p0-h0:p1");
    let drain_grace_period = ledger.drain_grace_period(&fleet, key(&fleet, "p0-h0"));
    assert_eq!(drain_grace_period, RUN_TIME + PROPAGATION_BOUND);
    let mut evidence = Evidence::after(Duration::from_secs(waited_secs));
    for (index, (zone, report)) in reports.iter().enumerate() {
        evidence = evidence.with(member(&format!("e{index}"), zone), *report);
    }
    let host = "p0-h0".into();
    let confirm = Command::ConfirmDrained { host, evidence };
    let answer = ledger.apply(&fleet, 1, &confirm);
    let expected = expected_blocker.map_or(Ok(Decision::Changed(2)), |blocker| {
        Err(Refusal::NotDrained(blocker))
    });
    assert_eq!(answer, expected);
}

/// A planner reads the ledger after the script `read`, and sends a command only after the
/// script `missed` has been applied as well.
#[rstest]
#[case::host_came_back(
    "wave:w:p0",
    "move:p0-h0:p1 cancel:p0-h0 serve:p0-h0",
    "move:p0-h0:p1"
)]
#[case::step_repeated(
    "move:p0-h0:p1 drained:p0-h0",
    "cancel:p0-h0 serve:p0-h0 move:p0-h0:p1 drained:p0-h0",
    "to:p0-h0:p1"
)]
#[case::recovered_meanwhile(
    "failed:p0-h0",
    "recovered:p0-h0 serve:p0-h0",
    "failed:p0-h0"
)]
fn refuses_stale_senders(#[case] read: &str, #[case] missed: &str, #[case] sent: &str) {
    let fleet = fleet(2, 6, 3, budget(2, 2, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, read);
    let seen = ledger.generation();
    run(&mut ledger, &fleet, missed);
    let answer = ledger.apply(&fleet, seen, &command(sent));
    assert!(
        matches!(answer, Err(Refusal::StaleGeneration { .. })),
        "{answer:?}"
    );
}

#[test]
fn refuses_older_declarations() {
    let mut newer = fleet(1, 6, 3, budget(2, 2, 1));
    let older = newer.clone();
    newer.revision = 2;
    let mut ledger = Ledger::default();
    run(&mut ledger, &newer, "wave:w:p0");
    let answer = ledger.apply(&older, 1, &command("drain:p0-h0:w"));
    assert_eq!(answer, Err(Refusal::StaleFleet { have: 1, need: 2 }));
}

#[test]
fn refuses_ledger_copy_older_than_sender() {
    let fleet = fleet(1, 6, 3, budget(2, 2, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, "failed:p0-h0");
    let answer = ledger.apply(&fleet, 2, &command("failed:p0-h0"));
    assert_eq!(answer, Err(Refusal::StaleLedger { seen: 2, have: 1 }));
}

/// A script and the phase of wave `w` over pool `p0` after it.
#[rstest]
#[case::runs("wave:w:p0", Phase::Running)]
#[case::budget_used_up(
    "wave:w:p0 failed:p0-h0 failed:p0-h1",
    Phase::Paused(Pause::Budget)
)]
#[case::budget_exceeded(
    "wave:w:p0 drain:p0-h0:w failed:p0-h3",
    Phase::Paused(Pause::Budget)
)]
#[case::resumes(
    "wave:w:p0 failed:p0-h0 failed:p0-h1 recovered:p0-h1 serve:p0-h1",
    Phase::Running
)]
#[case::operator_pause_stays(
    "wave:w:p0 pause:w failed:p0-h0 failed:p0-h1 recovered:p0-h1 serve:p0-h1",
    Phase::Paused(Pause::Operator)
)]
#[case::operator_resumes("wave:w:p0 pause:w resume:w", Phase::Running)]
#[case::resumed_while_budget_is_used_up(
    "wave:w:p0 pause:w failed:p0-h0 failed:p0-h1 resume:w",
    Phase::Paused(Pause::Budget)
)]
#[case::own_hosts_do_not_pause("wave:w:p0 drain:p0-h0:w drain:p0-h1:w", Phase::Running)]
fn pauses_and_resumes_waves(#[case] script: &str, #[case] phase: Phase) {
    let fleet = fleet(1, 6, 3, budget(2, 2, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, script);
    assert_eq!(ledger.wave("w").map(|wave| wave.phase), Some(phase));
}

#[test]
fn ends_the_wave_with_its_last_host() {
    let mut declared = fleet(1, 3, 3, budget(1, 1, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &declared, "wave:w:p0");
    for host in ["p0-h0", "p0-h1"] {
        let steps = [
            "drain:H:w",
            "drained:H",
            "reboot:H",
            "returned:H",
            "serve:H",
        ];
        let script = steps.join(" ").replace('H', host);
        run(&mut ledger, &declared, &script);
    }
    assert_eq!(ledger.wave("w").map(|wave| wave.finished), Some(2));
    declared.hosts.remove("p0-h2");
    run(&mut ledger, &declared, "prune");
    assert_eq!(ledger.wave("w").map(|wave| wave.phase), Some(Phase::Done));
    run(&mut ledger, &declared, "forget:w");
    assert_eq!(ledger.waves().count() + ledger.records().count(), 0);
}

#[test]
fn selects_only_declared_hosts() {
    let fleet = fleet(1, 3, 3, budget(1, 1, 1));
    let start = |selection| Command::StartWave {
        wave: "w".into(),
        selection,
        finish_by: None,
    };
    let cases = [
        (
            Selection::Pool("x".into()),
            Refusal::UnknownPool("x".into()),
        ),
        (
            Selection::Hosts(["x".into()].into()),
            Refusal::UnknownHost("x".into()),
        ),
        (Selection::Hosts([].into()), Refusal::EmptySelection),
    ];
    for (selection, refusal) in cases {
        let answer = Ledger::default().apply(&fleet, 0, &start(selection));
        assert_eq!(answer, Err(refusal));
    }
}

/// A script, and whether declaring host `p0-h0` for pool `p1` after it is found to be a
/// pool change without a drain.
#[rstest]
#[case::while_serving("", true)]
#[case::while_moving("move:p0-h0:p1 drained:p0-h0 to:p0-h0:p1", true)]
#[case::after_the_move(
    "move:p0-h0:p1 drained:p0-h0 to:p0-h0:p1 returned:p0-h0 serve:p0-h0",
    false
)]
fn finds_undrained_pool_changes(#[case] script: &str, #[case] found: bool) {
    let before = fleet(2, 6, 3, budget(2, 2, 1));
    let mut ledger = Ledger::default();
    run(&mut ledger, &before, script);
    let mut after = before.clone();
    let mut host = after
        .hosts
        .get(key(&after, "p0-h0"))
        .cloned()
        .expect("declared");
    host.pool = after.pools.find("p1").expect("declared");
    after.hosts.upsert("p0-h0", host);
    assert_eq!(
        !ledger.undrained_pool_changes(&before, &after).is_empty(),
        found
    );
    after.revision = 2;
    if !found {
        run(&mut ledger, &after, "prune");
        assert_eq!(ledger.records().count(), 0);
    }
}
