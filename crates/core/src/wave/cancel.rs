//! Calling drains off where failures have overdrawn a budget.

use crate::fleet::{Fleet, Host};
use crate::maintenance::{
    BudgetScope, BudgetViolation, Charge, Command, Ledger, Reason, Record, Step,
};

/// Returns the drains to call off, latest first, so that no budget stays overdrawn
/// longer than a planned step can help.
pub(super) fn cancels(ledger: &Ledger, fleet: &Fleet) -> Vec<Command> {
    let mut cancelled: Vec<&str> = Vec::new();
    for over in ledger.budget_usage(fleet).violations(fleet) {
        let out: Vec<_> = charged(ledger, fleet, over).collect();
        let relieved = out
            .iter()
            .filter(|(name, record)| is_back_soon(record) || cancelled.contains(name))
            .count();
        let excess = (over.out - over.max_out) as usize;
        let mut idle: Vec<_> = out
            .iter()
            .filter(|(name, record)| can_cancel(record) && !cancelled.contains(name))
            .collect();
        idle.sort_by_key(|(_, record)| std::cmp::Reverse(record.changed));
        let needed = excess.saturating_sub(relieved);
        cancelled.extend(idle.iter().take(needed).map(|(name, _)| *name));
    }
    cancelled
        .into_iter()
        .map(|host| Command::CancelDrain { host: host.into() })
        .collect()
}

/// Returns the hosts that count for an overdraft.
fn charged<'a>(
    ledger: &'a Ledger,
    fleet: &'a Fleet,
    over: BudgetViolation<'a>,
) -> impl Iterator<Item = (&'a str, &'a Record)> {
    ledger.records().filter(move |(name, record)| {
        let key = fleet.hosts.find(name);
        key.and_then(|key| fleet.hosts.get(key))
            .is_some_and(|host| {
                is_in(host, over.scope)
                    && Charge::of(fleet, host, record)
                        .pools()
                        .any(|pool| pool == over.pool)
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

fn is_back_soon(record: &Record) -> bool {
    record.step == Step::Returning
}
