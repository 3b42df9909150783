//! The reasons for which the ledger refuses a command.

use thiserror::Error;

use super::evidence::DrainBlocker;
use super::record::Step;

/// Why a command was refused and left the ledger unchanged.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[non_exhaustive]
pub enum Refusal {
    /// The pool already has `max_out` hosts out of service. Holds the pool's name.
    #[error("pool {0} has its maximum number of hosts out of service")]
    BudgetPool(String),
    /// The pool already has `max_out_per_rack` hosts out of service in a rack.
    #[error("pool {pool} has its maximum number of hosts out of service in rack {rack}")]
    BudgetRack {
        /// Name of the pool.
        pool: String,
        /// Name of the rack.
        rack: String,
    },
    /// The pool already has `max_out_per_zone` hosts out of service in an availability
    /// zone.
    #[error("pool {pool} has its maximum number of hosts out of service in zone {zone}")]
    BudgetZone {
        /// Name of the pool.
        pool: String,
        /// Name of the availability zone.
        zone: String,
    },
    /// A budget of the pool is exceeded because of failures. Planned steps wait until no
    /// budget of the pool is exceeded. Holds the pool's name.
    #[error("an availability budget of pool {0} is exceeded because of failures")]
    BudgetExceeded(String),
    /// The command doesn't apply to a host at its current step.
    #[error("command does not apply to a host at step {at:?}")]
    WrongStep {
        /// The host's step; `None` while it serves its declared pool.
        at: Option<Step>,
    },
    /// No drain may begin, since the host is already out of service or the reason given
    /// isn't one for a drain.
    #[error("host is already out of service")]
    AlreadyOutOfService,
    /// The host changed after the sender read the ledger.
    #[error("host changed at generation {changed}, but the sender read {seen}")]
    StaleGeneration {
        /// Generation that the sender read.
        seen: u64,
        /// Generation in which the host last changed.
        changed: u64,
    },
    /// The copy of the ledger is older than the one that the sender read.
    #[error("ledger copy has generation {have}, but the sender read {seen}")]
    StaleLedger {
        /// Generation that the sender read.
        seen: u64,
        /// Generation of the copy.
        have: u64,
    },
    /// The declarations are older than those that the last change was checked against.
    #[error("declarations have revision {have}, but revision {need} is needed")]
    StaleFleet {
        /// Revision of the declarations at hand.
        have: u64,
        /// Revision of the declarations used for the last change of the ledger.
        need: u64,
    },
    /// The evidence doesn't rule out that work still runs on the host.
    #[error("host may still run work: {0}")]
    NotDrained(DrainBlocker),
    /// No host of this name is declared.
    #[error("no host {0} is declared")]
    UnknownHost(String),
    /// No pool of this name is declared.
    #[error("no pool {0} is declared")]
    UnknownPool(String),
    /// The ledger has no wave of this name.
    #[error("no wave {0}")]
    UnknownWave(String),
    /// A wave of this name exists, which keeps it from being started or forgotten. A wave
    /// can't be started if one of its name has another selection or deadline or is done,
    /// and can't be forgotten before it is done.
    #[error("wave {0} already exists")]
    WaveExists(String),
    /// The wave is done, or an operator paused it.
    #[error("wave {0} is paused or done")]
    WaveNotRunning(String),
    /// The wave doesn't cover the host, or the host has already returned. Holds the
    /// wave's name.
    #[error("host is not pending in wave {0}")]
    NotInWave(String),
    /// The selection of a new wave contains no declared host.
    #[error("selection contains no declared host")]
    EmptySelection,
    /// The host already belongs to the pool that it should move to.
    #[error("host already belongs to pool {0}")]
    SamePool(String),
}
