//! Property tests of the ledger with random interleavings of commands, some of which were
//! decided on an old generation.

mod maintenance_support;

use maintenance_support::{budget, command, fleet};
use proptest::prelude::*;
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{
    BudgetScope, Decision, Ledger, Reason, Record, Step,
};

const HOST_VERBS: [&str; 17] = [
    "drain:H:w0",
    "drain:H:w1",
    "move:H:p0",
    "move:H:p1",
    "move:H:spare",
    "to:H:p0",
    "to:H:p1",
    "to:H:spare",
    "cancel:H",
    "drained:H",
    "reboot:H",
    "returned:H",
    "serve:H",
    "failed:H",
    "recovered:H",
    "leaving:H",
    "pause:w0",
];
const WAVE_VERBS: [&str; 4] = ["wave:w0:p0", "wave:w1:p0", "resume:w0", "prune"];
const HOSTS: [&str; 9] = [
    "p0-h0", "p0-h1", "p0-h2", "p0-h3", "p1-h0", "p1-h1", "p1-h2", "p1-h3", "s0",
];

/// A command as text, and how many generations ago its sender read the ledger.
fn message() -> impl Strategy<Value = (String, u64)> {
    let on_host = (0..HOST_VERBS.len(), 0..HOSTS.len())
        .prop_map(|(verb, host)| HOST_VERBS[verb].replace('H', HOSTS[host]));
    let on_wave = (0..WAVE_VERBS.len()).prop_map(|verb| WAVE_VERBS[verb].to_owned());
    let age = prop_oneof![4 => Just(0_u64), 1 => 1_u64..20];
    (prop_oneof![9 => on_host, 1 => on_wave], age)
}

fn pool<'a>(fleet: &'a Fleet, ledger: &Ledger, host: &str) -> Option<&'a str> {
    let key = fleet.hosts.find(host)?;
    fleet.pools.name(ledger.pool(fleet, key)?)
}

fn step(ledger: &Ledger, host: &str) -> Option<Step> {
    ledger.record(host).map(|record| record.step)
}

/// Checks that no budget is exceeded by more hosts than are out of service unplanned.
fn check_budgets(fleet: &Fleet, ledger: &Ledger) -> Result<(), TestCaseError> {
    for violation in ledger.budget_usage(fleet).violations(fleet) {
        prop_assert!(
            violation.out <= violation.max_out + violation.unplanned,
            "{violation:?}"
        );
    }
    Ok(())
}

/// Checks that a host changes its pool only when it is drained, becomes drained only
/// after it was leaving, is rebooted or moved only when drained, and loses its record
/// only when it was returning or serving.
fn check_host(
    fleet: &Fleet,
    before: &Ledger,
    after: &Ledger,
    host: &str,
) -> Result<(), TestCaseError> {
    let (old, new) = (step(before, host), step(after, host));
    if pool(fleet, before, host) != pool(fleet, after, host) {
        prop_assert_eq!((old, new), (Some(Step::Drained), Some(Step::Moving)));
    }
    match new {
        Some(Step::Drained) if old != new => {
            let was_leaving = matches!(old, Some(Step::Leaving { .. }));
            prop_assert!(was_leaving);
        }
        Some(Step::Moving | Step::Rebooting) if old != new => {
            prop_assert_eq!(old, Some(Step::Drained));
        }
        None if old.is_some() => {
            prop_assert!(matches!(old, Some(Step::Returning | Step::Serving)));
        }
        _ => {}
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn budgets_and_ownership_hold(
        messages in prop::collection::vec(message(), 1..250),
        limits in (1_u32..3, 1_u32..3, 1_u32..3),
    ) {
        let fleet = fleet(2, 4, 2, budget(limits.0, limits.1, limits.2));
        let mut ledger = Ledger::default();
        for (text, age) in messages {
            let command = command(&text);
            let seen = ledger.generation().saturating_sub(age);
            let before = ledger.clone();
            let answer = ledger.apply(&fleet, seen, &command);
            match answer {
                Ok(Decision::Changed(generation)) => {
                    prop_assert_eq!(generation, before.generation() + 1);
                    let changed = ledger.clone();
                    let again = ledger.apply(&fleet, seen, &command);
                    prop_assert_ne!(again, Ok(Decision::Changed(generation + 1)));
                    prop_assert_eq!(&ledger, &changed);
                }
                Ok(Decision::Unchanged) | Err(_) => prop_assert_eq!(&ledger, &before),
            }
            check_budgets(&fleet, &ledger)?;
            for host in HOSTS {
                check_host(&fleet, &before, &ledger, host)?;
            }
            prop_assert_eq!(ledger.placement(&fleet).iter().count(), HOSTS.len());
        }
    }

    #[test]
    fn planned_steps_never_exceed_a_budget(
        messages in prop::collection::vec(message(), 1..250),
    ) {
        let fleet = fleet(2, 4, 2, budget(1, 1, 1));
        let mut ledger = Ledger::default();
        for (text, age) in messages {
            let seen = ledger.generation().saturating_sub(age);
            let _ = ledger.apply(&fleet, seen, &command(&text));
            let p0 = fleet.pools.find("p0").expect("declared");
            let out = ledger.budget_usage(&fleet).out(p0, BudgetScope::Pool);
            let is_planned = |record: &Record| {
                record.pool == "p0" && !record.is_unplanned() && !record.arriving
                    && !record.step.accepts()
                    && !matches!(record.reason, Reason::Failure)
            };
            let planned =
                ledger.records().filter(|(_, record)| is_planned(record)).count();
            prop_assert!(planned <= 1, "{planned} planned of {out} out");
        }
    }
}
