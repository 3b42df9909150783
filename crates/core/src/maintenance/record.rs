//! The ledger's record of one host: its pool, its step and the reason for it.

use serde::{Deserialize, Serialize};

/// The record of a host that is moved or out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Name of the pool that the host currently belongs to.
    pub pool: String,
    /// The host's current step between leaving service and returning to it.
    pub step: Step,
    /// Why the host left service in its declared pool.
    pub reason: Reason,
    /// Whether the host was moved to `pool` and hasn't served there yet.
    pub arriving: bool,
    /// Generation of the ledger in which this record last changed.
    pub changed: u64,
}

/// The steps of a host on its way out of service and back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// The host takes no new work, but requests may still run on it.
    Leaving {
        /// Generation at which the host began to leave. An entry host must use the ledger
        /// of this generation or a later one to confirm that it sends no more.
        since: u64,
    },
    /// No work runs on the host.
    Drained,
    /// The host is being rebooted.
    Rebooting,
    /// The host is being prepared for its new pool.
    Moving,
    /// The host is up again and is being probed.
    Returning,
    /// The host serves a pool other than its declared one.
    Serving,
    /// The host failed and doesn't serve.
    Failed,
}

/// Why a host left service in its declared pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The host is drained and rebooted for a wave.
    Wave {
        /// Name of the wave.
        wave: String,
    },
    /// The host is moved to another pool.
    Move {
        /// Name of the pool it moves to.
        to: String,
    },
    /// The host failed.
    Failure,
    /// The platform lists the host as leaving.
    PlatformLeaving,
    /// The drain of the host was cancelled.
    Cancelled,
}

impl Record {
    /// Returns whether the host is out of service because of a failure or the platform
    /// rather than a planned drain.
    pub fn is_unplanned(&self) -> bool {
        match self.reason {
            Reason::Failure | Reason::PlatformLeaving => self.step != Step::Serving,
            Reason::Cancelled | Reason::Move { .. } | Reason::Wave { .. } => {
                self.step == Step::Failed
            }
        }
    }

    /// Returns whether a drain of the host may begin.
    ///
    /// A failed host may be drained unless it failed while it was out of service for a
    /// wave: such a host returns when it is repaired, not by another reboot.
    pub fn may_drain(&self) -> bool {
        match self.step {
            Step::Serving => true,
            Step::Failed => self.wave().is_none(),
            Step::Drained
            | Step::Leaving { .. }
            | Step::Moving
            | Step::Rebooting
            | Step::Returning => false,
        }
    }

    /// Returns the name of the wave for which the host is out of service, if any.
    pub fn wave(&self) -> Option<&str> {
        match &self.reason {
            Reason::Wave { wave } => Some(wave),
            Reason::Cancelled
            | Reason::Failure
            | Reason::Move { .. }
            | Reason::PlatformLeaving => None,
        }
    }
}

impl Step {
    /// Returns whether a host at this step takes new work.
    pub const fn accepts(self) -> bool {
        matches!(self, Self::Serving)
    }
}
