//! The state machine of one host: the effect of each command at each step.

use super::command::Command;
use super::record::{Reason, Record, Step};
use super::refusal::Refusal;

/// The effect of a command on a host's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Transition {
    /// The record stays as it is.
    Unchanged,
    /// The record is replaced by this one.
    Update(Record),
    /// The host returns to service from the step in this record.
    Serve(Record),
}

/// Returns the effect of a command on a host's record, without checking budgets and
/// evidence.
///
/// `declared` is the name of the host's declared pool, and `generation` the generation
/// that the ledger would have after the change.
pub(super) fn next(
    command: &Command,
    record: Option<&Record>,
    declared: &str,
    generation: u64,
) -> Result<Transition, Refusal> {
    let current = record.cloned().unwrap_or_else(|| default_record(declared));
    let at = record.map(|record| record.step);
    let leaving = Step::Leaving { since: generation };
    match (command, current.step) {
        (Command::BeginDrain { reason, .. }, step) => begin_drain(&current, step, reason)
            .map(|keep| {
                if keep {
                    return Transition::Unchanged;
                }
                let reason = reason.clone();
                with_step(Record { reason, ..current }, leaving)
            }),
        (Command::MarkLeaving { .. }, Step::Failed | Step::Serving) => {
            let reason = Reason::PlatformLeaving;
            Ok(with_step(Record { reason, ..current }, leaving))
        }
        (Command::MarkLeaving { .. }, Step::Returning) => Ok(with_step(current, leaving)),
        (Command::MarkLeaving { .. }, _) => Ok(Transition::Unchanged),

        (Command::CancelDrain { .. }, Step::Returning | Step::Serving) => {
            Ok(Transition::Unchanged)
        }
        (Command::CancelDrain { .. }, Step::Drained | Step::Leaving { .. }) => {
            let reason = match current.is_unplanned() {
                true => current.reason.clone(),
                false => Reason::Cancelled,
            };
            Ok(with_step(Record { reason, ..current }, Step::Returning))
        }

        (Command::ConfirmDrained { .. }, Step::Drained) => Ok(Transition::Unchanged),
        (Command::ConfirmDrained { .. }, Step::Leaving { .. }) => {
            Ok(with_step(current, Step::Drained))
        }

        (Command::BeginReboot { .. }, Step::Rebooting) => Ok(Transition::Unchanged),
        (Command::BeginReboot { .. }, Step::Drained) => {
            Ok(with_step(current, Step::Rebooting))
        }

        (Command::MoveHost { to, .. }, Step::Moving) if current.pool == *to => {
            Ok(Transition::Unchanged)
        }
        (Command::MoveHost { to, .. }, Step::Drained) if is_moving_to(&current, to) => {
            let pool = to.clone();
            let arriving = true;
            let moved = Record {
                arriving,
                pool,
                ..current
            };
            Ok(with_step(moved, Step::Moving))
        }

        (Command::Returned { .. }, Step::Returning) => Ok(Transition::Unchanged),
        (Command::Returned { .. }, Step::Moving | Step::Rebooting) => {
            Ok(with_step(current, Step::Returning))
        }

        (Command::ResumeService { .. }, Step::Serving) => Ok(Transition::Unchanged),
        (Command::ResumeService { .. }, Step::Returning) => {
            Ok(Transition::Serve(current))
        }

        (Command::MarkFailed { .. }, Step::Serving) => {
            let reason = Reason::Failure;
            Ok(with_step(Record { reason, ..current }, Step::Failed))
        }
        (
            Command::MarkFailed { .. },
            Step::Moving | Step::Rebooting | Step::Returning,
        ) => Ok(with_step(current, Step::Failed)),
        (Command::MarkFailed { .. }, _) => Ok(Transition::Unchanged),

        (Command::MarkRecovered { .. }, Step::Returning | Step::Serving) => {
            Ok(Transition::Unchanged)
        }
        (Command::MarkRecovered { .. }, Step::Failed) => {
            Ok(with_step(current, Step::Returning))
        }

        _ => Err(Refusal::WrongStep { at }),
    }
}

/// Returns whether a drain for the reason is already under way, or refuses it if the host
/// is out of service otherwise.
fn begin_drain(current: &Record, step: Step, reason: &Reason) -> Result<bool, Refusal> {
    match step {
        _ if current.may_drain() => Ok(false),
        Step::Leaving { .. } if current.reason == *reason => Ok(true),
        _ => Err(Refusal::AlreadyOutOfService),
    }
}

fn is_moving_to(record: &Record, pool: &str) -> bool {
    matches!(&record.reason, Reason::Move { to } if to == pool)
}

fn with_step(record: Record, step: Step) -> Transition {
    Transition::Update(Record { step, ..record })
}

/// Returns the record that is assumed for a host which isn't listed.
fn default_record(declared: &str) -> Record {
    Record {
        pool: declared.to_owned(),
        step: Step::Serving,
        reason: Reason::Move {
            to: declared.to_owned(),
        },
        arriving: false,
        changed: 0,
    }
}
