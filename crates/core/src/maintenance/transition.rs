//! The step that each command leads to from each step.

use super::command::Command;
use super::record::{Reason, Record, Step};
use super::refusal::Refusal;

/// What becomes of a host's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Next {
    /// Nothing changes.
    Keep,
    /// The host has this record.
    Put(Record),
    /// The host serves again.
    Serve(Record),
}

/// Returns what a command makes of a host's record, budgets and evidence aside.
///
/// `generation` is the one that the change would write.
pub(super) fn next(
    command: &Command,
    record: Option<&Record>,
    declared: &str,
    generation: u64,
) -> Result<Next, Refusal> {
    let current = record.cloned().unwrap_or_else(|| serving(declared));
    let at = record.map(|record| record.step);
    let leaving = Step::Leaving { since: generation };
    match (command, current.step) {
        (Command::BeginDrain { reason, .. }, step) => begin_drain(&current, step, reason)
            .map(|keep| {
                if keep {
                    return Next::Keep;
                }
                let reason = reason.clone();
                put(Record { reason, ..current }, leaving)
            }),
        (Command::MarkLeaving { .. }, Step::Failed | Step::Serving) => {
            let reason = Reason::PlatformLeaving;
            Ok(put(Record { reason, ..current }, leaving))
        }
        (Command::MarkLeaving { .. }, Step::Returning) => Ok(put(current, leaving)),
        (Command::MarkLeaving { .. }, _) => Ok(Next::Keep),

        (Command::CancelDrain { .. }, Step::Returning | Step::Serving) => Ok(Next::Keep),
        (Command::CancelDrain { .. }, Step::Drained | Step::Leaving { .. }) => {
            let reason = match current.is_unplanned() {
                true => current.reason.clone(),
                false => Reason::Cancelled,
            };
            Ok(put(Record { reason, ..current }, Step::Returning))
        }

        (Command::ConfirmDrained { .. }, Step::Drained) => Ok(Next::Keep),
        (Command::ConfirmDrained { .. }, Step::Leaving { .. }) => {
            Ok(put(current, Step::Drained))
        }

        (Command::BeginReboot { .. }, Step::Rebooting) => Ok(Next::Keep),
        (Command::BeginReboot { .. }, Step::Drained) => Ok(put(current, Step::Rebooting)),

        (Command::MoveHost { to, .. }, Step::Moving) if current.pool == *to => {
            Ok(Next::Keep)
        }
        (Command::MoveHost { to, .. }, Step::Drained) if goes_to(&current, to) => {
            let pool = to.clone();
            let arriving = true;
            let moved = Record {
                arriving,
                pool,
                ..current
            };
            Ok(put(moved, Step::Moving))
        }

        (Command::Returned { .. }, Step::Returning) => Ok(Next::Keep),
        (Command::Returned { .. }, Step::Moving | Step::Rebooting) => {
            Ok(put(current, Step::Returning))
        }

        (Command::ResumeService { .. }, Step::Serving) => Ok(Next::Keep),
        (Command::ResumeService { .. }, Step::Returning) => Ok(Next::Serve(current)),

        (Command::MarkFailed { .. }, Step::Serving) => {
            let reason = Reason::Failure;
            Ok(put(Record { reason, ..current }, Step::Failed))
        }
        (
            Command::MarkFailed { .. },
            Step::Moving | Step::Rebooting | Step::Returning,
        ) => Ok(put(current, Step::Failed)),
        (Command::MarkFailed { .. }, _) => Ok(Next::Keep),

        (Command::MarkRecovered { .. }, Step::Returning | Step::Serving) => {
            Ok(Next::Keep)
        }
        (Command::MarkRecovered { .. }, Step::Failed) => {
            Ok(put(current, Step::Returning))
        }

        _ => Err(Refusal::WrongStep { at }),
    }
}

/// Returns whether the host already leaves for the reason.
fn begin_drain(current: &Record, step: Step, reason: &Reason) -> Result<bool, Refusal> {
    match step {
        _ if current.may_drain() => Ok(false),
        Step::Leaving { .. } if current.reason == *reason => Ok(true),
        _ => Err(Refusal::AlreadyOut),
    }
}

fn goes_to(record: &Record, pool: &str) -> bool {
    matches!(&record.reason, Reason::Move { to } if to == pool)
}

fn put(record: Record, step: Step) -> Next {
    Next::Put(Record { step, ..record })
}

/// Stands for a host that isn't listed.
fn serving(declared: &str) -> Record {
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
