//! Selects drains to cancel where failures have caused a budget to be exceeded.

use crate::fleet::{Fleet, Host};
use crate::maintenance::{
    BudgetScope, BudgetViolation, Charge, Command, Ledger, Reason, Record, Step,
};

/// Returns the commands that cancel planned drains until every exceeded budget is met, as
/// far as cancelling can achieve that.
///
/// For each exceeded budget, the drains whose records changed last are cancelled first.
/// Hosts that are already returning to service are counted as freed.
pub(super) fn drains_to_cancel(ledger: &Ledger, fleet: &Fleet) -> Vec<Command> {
    let mut cancelled: Vec<&str> = Vec::new();
    for violation in ledger.budget_usage(fleet).violations(fleet) {
        let out: Vec<_> = charged_records(ledger, fleet, violation).collect();
        let freed = out
            .iter()
            .filter(|(name, record)| is_returning(record) || cancelled.contains(name))
            .count();
        let excess = (violation.out - violation.max_out) as usize;
        let mut cancellable: Vec<_> = out
            .iter()
            .filter(|(name, record)| can_cancel(record) && !cancelled.contains(name))
            .collect();
        cancellable.sort_by_key(|(_, record)| std::cmp::Reverse(record.changed));
        let needed = excess.saturating_sub(freed);
        cancelled.extend(cancellable.iter().take(needed).map(|(name, _)| *name));
    }
    cancelled
        .into_iter()
        .map(|host| Command::CancelDrain { host: host.into() })
        .collect()
}

/// Returns the hosts that are counted in a budget violation, with their records.
fn charged_records<'a>(
    ledger: &'a Ledger,
    fleet: &'a Fleet,
    violation: BudgetViolation<'a>,
) -> impl Iterator<Item = (&'a str, &'a Record)> {
    ledger.records().filter(move |(name, record)| {
        let key = fleet.hosts.find(name);
        key.and_then(|key| fleet.hosts.get(key))
            .is_some_and(|host| {
                is_in(host, violation.scope)
                    && Charge::of(fleet, host, record)
                        .pools()
                        .any(|pool| pool == violation.pool)
            })
    })
}

fn is_in(host: &Host, scope: BudgetScope<'_>) -> bool {
    match scope {
        BudgetScope::Pool => true,
        BudgetScope::Zone(zone) => host.zone == zone,
        BudgetScope::Rack(zone, rack) => host.zone == zone && host.rack == rack,
    }
}

fn can_cancel(record: &Record) -> bool {
    let is_planned = matches!(record.reason, Reason::Move { .. } | Reason::Wave { .. });
    is_planned && matches!(record.step, Step::Drained | Step::Leaving { .. })
}

fn is_returning(record: &Record) -> bool {
    record.step == Step::Returning
}
