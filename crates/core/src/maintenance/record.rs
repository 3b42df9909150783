//! One host's record: its pool, its step and the reason.

use serde::{Deserialize, Serialize};

/// A host that is moved or out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Name of the one pool the host belongs to.
    pub pool: String,
    /// Where the host stands.
    pub step: Step,
    /// Why the host left its ordinary service.
    pub reason: Reason,
    /// Whether the host was moved to `pool` and hasn't served there yet.
    pub arriving: bool,
    /// Generation of the ledger that wrote this record.
    pub changed: u64,
}

/// A host's place on its way out of service and back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Takes no new work; requests may still run.
    Leaving {
        /// Generation that an entry host must have seen to confirm that it sends no more.
        since: u64,
    },
    /// Nothing runs at the host.
    Drained,
    /// The host is being rebooted.
    Rebooting,
    /// The host is being prepared for its new pool.
    Moving,
    /// The host is up again and is being probed.
    Returning,
    /// The host serves a pool other than its declared one.
    Serving,
    /// The host stopped serving by itself.
    Failed,
}

/// Why a host left its ordinary service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// A wave reached the host.
    Wave {
        /// Name of the wave.
        wave: String,
    },
    /// The host moves to another pool.
    Move {
        /// Name of the pool it moves to.
        to: String,
    },
    /// The host failed.
    Failure,
    /// The platform's list says that the host is leaving.
    PlatformLeaving,
    /// A drain was called off.
    Cancelled,
}

impl Record {
    /// Returns whether nobody chose that the host is out of service.
    pub fn is_unplanned(&self) -> bool {
        match self.reason {
            Reason::Failure | Reason::PlatformLeaving => self.step != Step::Serving,
            Reason::Cancelled | Reason::Move { .. } | Reason::Wave { .. } => {
                self.step == Step::Failed
            }
        }
    }

    /// Returns whether the host may begin to leave.
    ///
    /// A failed host may, unless it failed in the reboot of its wave: it comes back by
    /// being repaired, not by another reboot.
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

    /// Returns the name of the wave that the host is out of service for.
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
    /// Returns whether the host takes new work.
    pub const fn accepts(self) -> bool {
        matches!(self, Self::Serving)
    }
}
