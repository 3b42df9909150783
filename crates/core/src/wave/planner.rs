//! The planner of maintenance waves.

use super::cancel;
use super::estimate::Estimate;
use super::forecast::{self, Forecast};
use super::snapshot::Snapshot;
use crate::fleet::Fleet;
use crate::maintenance::{Command, Ledger, Reason, Step};
use crate::time::Timestamp;

/// Plans and forecasts waves from the current ledger; keeps no state of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planner;

impl Planner {
    /// Returns the commands that are due, to be applied in this order and with the
    /// generation of `ledger`.
    ///
    /// The first commands cancel drains where failures caused a budget to be exceeded,
    /// the next reboot or move drained hosts, and the last drain further hosts within
    /// every budget.
    pub fn next(
        &self,
        ledger: &Ledger,
        fleet: &Fleet,
        estimate: &Estimate,
    ) -> Vec<Command> {
        let mut commands = cancel::drains_to_cancel(ledger, fleet);
        let cancelled: Vec<String> = commands
            .iter()
            .filter_map(|command| command.host().map(str::to_owned))
            .collect();
        let is_cancelled = |host: &str| cancelled.iter().any(|name| name == host);
        commands.extend(
            next_steps(ledger)
                .filter(|command| command.host().is_none_or(|host| !is_cancelled(host))),
        );
        commands.extend(new_drains(ledger, fleet, estimate));
        commands
    }

    /// Returns the forecast of every wave that isn't done, as of `now`.
    pub fn forecast(
        &self,
        ledger: &Ledger,
        fleet: &Fleet,
        estimate: &Estimate,
        now: Timestamp,
    ) -> Vec<Forecast> {
        forecast::all(ledger, fleet, estimate, now)
    }
}

/// Returns the commands that reboot or move drained hosts.
fn next_steps(ledger: &Ledger) -> impl Iterator<Item = Command> {
    ledger
        .records()
        .filter(|(_, record)| record.step == Step::Drained)
        .filter_map(|(host, record)| {
            let host = host.to_owned();
            match &record.reason {
                Reason::Wave { .. } => Some(Command::BeginReboot { host }),
                Reason::Move { to } => {
                    let to = to.clone();
                    Some(Command::MoveHost { host, to })
                }
                Reason::Cancelled | Reason::Failure | Reason::PlatformLeaving => None,
            }
        })
}

/// Returns the commands that begin to drain further hosts.
fn new_drains(ledger: &Ledger, fleet: &Fleet, estimate: &Estimate) -> Vec<Command> {
    let mut snapshot = Snapshot::new(ledger, fleet, estimate);
    let mut commands = Vec::new();
    for schedule in snapshot.schedules.values_mut() {
        while let Some(task) = schedule.pick() {
            let wave = snapshot.waves[task.wave].0.to_owned();
            commands.push(Command::BeginDrain {
                host: task.host.to_owned(),
                reason: Reason::Wave { wave },
            });
        }
    }
    commands
}
