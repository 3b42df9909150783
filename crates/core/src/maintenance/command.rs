//! Commands that change the ledger.

use super::evidence::Evidence;
use super::record::Reason;
use super::wave::Selection;
use crate::time::Timestamp;

/// A change to the ledger, which is checked when it is applied.
///
/// Commands are idempotent: applying one again after it took effect changes nothing, so
/// a sender that didn't receive the answer may send the command again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Stops sending new work to a host, within the budgets, for a wave or a move.
    BeginDrain {
        /// Name of the host to drain.
        host: String,
        /// Why it is drained: [`Reason::Wave`] or [`Reason::Move`].
        reason: Reason,
    },
    /// Cancels a drain: the host returns to service in its pool once it has been probed.
    CancelDrain {
        /// Name of the leaving or drained host.
        host: String,
    },
    /// Records that nothing runs on a leaving host any more.
    ConfirmDrained {
        /// Name of the leaving host.
        host: String,
        /// What the entry hosts reported about their work on the host.
        evidence: Evidence,
    },
    /// Records that a drained host is being rebooted.
    BeginReboot {
        /// Name of the drained host.
        host: String,
    },
    /// Assigns a drained host to the pool that it was drained for.
    MoveHost {
        /// Name of the drained host.
        host: String,
        /// Name of the pool that the host now belongs to.
        to: String,
    },
    /// Records that a rebooted or moved host is up.
    Returned {
        /// Name of the rebooting or moving host.
        host: String,
    },
    /// Lets a returning host take new work again.
    ResumeService {
        /// Name of the returning host.
        host: String,
    },
    /// Records that a host failed; never refused by a budget.
    MarkFailed {
        /// Name of the failed host.
        host: String,
    },
    /// Records that a failed host is up again.
    MarkRecovered {
        /// Name of the recovered host.
        host: String,
    },
    /// Stops sending new work to a host that the platform lists as leaving; never refused
    /// by a budget.
    MarkLeaving {
        /// Name of the host that is leaving.
        host: String,
    },
    /// Starts a maintenance wave.
    StartWave {
        /// Name of the wave.
        wave: String,
        /// The hosts that it covers.
        selection: Selection,
        /// Deadline for the return of the last host, if there is one.
        finish_by: Option<Timestamp>,
    },
    /// Pauses a wave for an operator: no further host of it is drained.
    PauseWave {
        /// Name of the wave.
        wave: String,
    },
    /// Resumes a wave that an operator paused.
    ResumeWave {
        /// Name of the wave.
        wave: String,
    },
    /// Removes the record of a wave that is done.
    ForgetWave {
        /// Name of the wave.
        wave: String,
    },
    /// Removes the records of hosts that are no longer declared, and of hosts that serve
    /// the pool that they are now declared for.
    Prune,
}

/// The effect of a command that was applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The ledger changed and now has this generation.
    Changed(u64),
    /// The ledger already was in the state that the command asks for.
    Unchanged,
}

impl Command {
    /// Returns the host that the command concerns; `None` for commands on waves and for
    /// [`Command::Prune`].
    pub fn host(&self) -> Option<&str> {
        match self {
            Self::BeginDrain { host, .. }
            | Self::BeginReboot { host }
            | Self::CancelDrain { host }
            | Self::ConfirmDrained { host, .. }
            | Self::MarkFailed { host }
            | Self::MarkLeaving { host }
            | Self::MarkRecovered { host }
            | Self::MoveHost { host, .. }
            | Self::ResumeService { host }
            | Self::Returned { host } => Some(host),
            Self::ForgetWave { .. }
            | Self::PauseWave { .. }
            | Self::Prune
            | Self::ResumeWave { .. }
            | Self::StartWave { .. } => None,
        }
    }
}
