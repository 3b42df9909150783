//! Tests of the wave planner: order of hosts, budgets, cancelled drains and forecasts.

mod maintenance_support;

use std::time::Duration;

use maintenance_support::{budget, command, fleet, key, run};
use proptest::prelude::*;
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Decision, Ledger, Phase, Step};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_core::wave::{Bottleneck, DeadlineStatus, Estimate, Planner};
use rstest::rstest;

/// Formats the commands of a plan as in a script, without the wave or pool.
fn format_plan(commands: &[Command]) -> String {
    let verb = |command: &Command| match command {
        Command::BeginDrain { .. } => "drain",
        Command::BeginReboot { .. } => "reboot",
        Command::CancelDrain { .. } => "cancel",
        Command::MoveHost { .. } => "to",
        _ => "other",
    };
    let text = |c: &Command| format!("{}:{}", verb(c), c.host().unwrap_or_default());
    commands.iter().map(text).collect::<Vec<_>>().join(" ")
}

/// The ten hosts of a pool are spread over three zones (4, 3, 3), so that `z0` finishes
/// last with a budget of one host per zone.
#[rstest]
#[case::fullest_zone_first("wave:w:p0", (1, 1, 1), "drain:p0-h3")]
#[case::one_in_each_zone("wave:w:p0", (3, 1, 1), "drain:p0-h3 drain:p0-h1 drain:p0-h2")]
#[case::no_more_than_the_pool_allows("wave:w:p0 drain:p0-h1:w", (2, 1, 1), "drain:p0-h3")]
#[case::only_failed_while_budget_is_used_up("wave:w:p0 failed:p0-h1 failed:p0-h2", (2, 1, 1), "drain:p0-h2 drain:p0-h1")]
#[case::nothing_while_paused("wave:w:p0 pause:w", (2, 1, 1), "")]
#[case::reboots_the_drained("wave:w:p0 drain:p0-h0:w drained:p0-h0", (1, 1, 1), "reboot:p0-h0")]
#[case::waits_for_a_stuck_reboot("wave:w:p0 drain:p0-h0:w drained:p0-h0 reboot:p0-h0 failed:p0-h0", (1, 1, 1), "")]
#[case::moves_the_drained("move:p0-h0:p1 drained:p0-h0", (1, 1, 1), "to:p0-h0")]
#[case::cancels_the_latest("wave:w:p0 drain:p0-h0:w drain:p0-h1:w failed:p0-h2", (2, 1, 1), "cancel:p0-h1")]
#[case::cancels_in_the_zone("wave:w:p0 drain:p0-h0:w drain:p0-h1:w failed:p0-h3", (3, 1, 1), "cancel:p0-h0")]
#[case::cancels_once("wave:w:p0 drain:p0-h0:w drain:p0-h1:w failed:p0-h2 cancel:p0-h1", (2, 1, 1), "")]
#[case::no_reboot_of_cancelled("wave:w:p0 drain:p0-h0:w drained:p0-h0 failed:p0-h1", (1, 1, 1), "cancel:p0-h0")]
fn plans_next_commands(
    #[case] script: &str,
    #[case] limits: (u32, u32, u32),
    #[case] expected: &str,
) {
    let fleet = fleet(2, 10, 3, budget(limits.0, limits.1, limits.2));
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, script);
    let mut estimate = Estimate::default();
    estimate.set_drain(key(&fleet, "p0-h3"), Duration::from_secs(600));
    let plan = Planner.next(&ledger, &fleet, &estimate);
    let expected: Vec<_> = expected
        .split_whitespace()
        .take(plan.len().max(1))
        .collect();
    assert_eq!(format_plan(&plan), expected.join(" "));
    for command in plan {
        let seen = ledger.generation();
        let answer = ledger.apply(&fleet, seen, &command);
        assert!(
            matches!(answer, Ok(Decision::Changed(_))),
            "{command:?} {answer:?}"
        );
    }
}

/// Each host takes 120 s: 60 s to drain, 60 s to reboot and no probe. `p0-h3` may take
/// longer.
#[rstest]
#[case::by_zone("", (3, 2, 1), 120, Some(480), Some(480), "zone z0")]
#[case::by_rack("", (9, 1, 9), 120, Some(480), Some(480), "rack rack0")]
#[case::by_pool("", (1, 1, 1), 120, Some(1200), Some(1200), "pool")]
#[case::by_host("", (9, 9, 9), 900, Some(900), Some(900), "host p0-h3")]
#[case::waits_for_repair("failed:p0-h1", (1, 1, 1), 120, Some(1080), Some(2160), "pool")]
#[case::never("", (1, 0, 1), 120, None, None, "rack rack0")]
#[case::blocked_by_lent_host("move:p0-h0:p1 drained:p0-h0 to:p0-h0:p1 returned:p0-h0 serve:p0-h0", (1, 1, 1), 120, Some(1080), None, "pool")]
fn forecasts(
    #[case] script: &str,
    #[case] limits: (u32, u32, u32),
    #[case] longest_secs: u64,
    #[case] earliest_secs: Option<u64>,
    #[case] finish_secs: Option<u64>,
    #[case] bottleneck: &str,
) {
    let fleet = fleet(2, 10, 3, budget(limits.0, limits.1, limits.2));
    let minute = Duration::from_secs(60);
    let mut estimate = Estimate::default()
        .with_drain(minute)
        .with_reboot(minute)
        .with_probe(Duration::ZERO)
        .with_repair(18 * minute);
    let drain = Duration::from_secs(longest_secs) - minute;
    estimate.set_drain(key(&fleet, "p0-h3"), drain);
    let mut ledger = Ledger::default();
    run(&mut ledger, &fleet, script);
    run(&mut ledger, &fleet, "wave:w:p0");
    let now = Timestamp::from_millis(1_000);
    let forecast = Planner.forecast(&ledger, &fleet, &estimate, now).remove(0);
    let at =
        |secs: Option<u64>| secs.map(|secs| Timestamp::from_millis((secs + 1) * 1_000));
    assert_eq!(forecast.finish, at(finish_secs), "{forecast:?}");
    assert_eq!(forecast.earliest, at(earliest_secs));
    let bottleneck_name = match forecast.bottleneck {
        Bottleneck::Pool(_) => "pool".to_owned(),
        Bottleneck::Zone { zone, .. } => format!("zone {zone}"),
        Bottleneck::Rack { rack, .. } => format!("rack {rack}"),
        Bottleneck::Host(host) => format!("host {host}"),
        other => format!("{other:?}"),
    };
    assert_eq!(bottleneck_name, bottleneck);
}

/// The wave takes at least 300 s. Each case has a deadline and the status expected for it.
#[rstest]
#[case::none(None, DeadlineStatus::OnTime)]
#[case::enough(Some(300), DeadlineStatus::OnTime)]
#[case::too_early(Some(200), DeadlineStatus::Infeasible(Duration::from_secs(100)))]
fn reports_deadline_status(
    #[case] finish_by_secs: Option<u64>,
    #[case] deadline_status: DeadlineStatus,
) {
    let fleet = fleet(1, 3, 3, budget(1, 1, 1));
    let estimate = Estimate::default()
        .with_drain(Duration::from_secs(40))
        .with_reboot(Duration::from_secs(60))
        .with_probe(Duration::ZERO);
    let mut ledger = Ledger::default();
    let start = Command::StartWave {
        wave: "w".into(),
        selection: rhubarbrill_core::maintenance::Selection::Pool("p0".into()),
        finish_by: finish_by_secs.map(|secs| Timestamp::from_millis(secs * 1_000)),
    };
    ledger.apply(&fleet, 0, &start).expect("wave starts");
    let now = Timestamp::from_millis(0);
    let forecast = Planner.forecast(&ledger, &fleet, &estimate, now).remove(0);
    assert_eq!(forecast.deadline_status, deadline_status);
}

/// Advances each host by one step, as the platform and the entry hosts would.
fn advance(ledger: &mut Ledger, fleet: &Fleet) {
    let out: Vec<_> = ledger
        .records()
        .map(|(host, record)| (host.to_owned(), record.step))
        .collect();
    for (host, step) in out {
        let verb = match step {
            Step::Leaving { .. } => "drained",
            Step::Rebooting | Step::Moving => "returned",
            Step::Returning => "serve",
            Step::Failed => "recovered",
            Step::Drained | Step::Serving => continue,
        };
        let seen = ledger.generation();
        let _ = ledger.apply(fleet, seen, &command(&format!("{verb}:{host}")));
    }
}

proptest! {
    #[test]
    fn waves_end_and_no_command_is_refused(
        limits in (1_u32..4, 1_u32..3, 1_u32..4),
        failures in prop::collection::vec((0_usize..60, 0_usize..12), 0..12),
    ) {
        let fleet = fleet(2, 12, 3, budget(limits.0, limits.1, limits.2));
        let mut ledger = Ledger::default();
        run(&mut ledger, &fleet, "wave:v:p1 wave:w:p0");
        for round in 0..400 {
            for (_, host) in failures.iter().filter(|(at, _)| *at == round) {
                run(&mut ledger, &fleet, &format!("failed:p0-h{host}"));
            }
            let seen = ledger.generation();
            for command in Planner.next(&ledger, &fleet, &Estimate::default()) {
                let answer = ledger.apply(&fleet, seen, &command);
                prop_assert!(answer.is_ok(), "{command:?} {answer:?}");
            }
            advance(&mut ledger, &fleet);
        }
        prop_assert!(ledger.waves().all(|(_, wave)| wave.phase == Phase::Done));
        prop_assert_eq!(ledger.records().count(), 0);
    }
}
