//! Commands by which entry hosts change a ledger.

use thiserror::Error;

use super::Evidence;

/// A change to a ledger, applied on behalf of one member by [`Ledger::apply`].
///
/// [`Ledger::apply`]: super::Ledger::apply
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Makes the member the owner of the floors recorded for its entry host.
    Adopt,
    /// Returns the member's loans and gives up the ownership of its floors, so that the
    /// next owner may use them at once.
    ///
    /// Only a member that no longer runs any work may send it.
    Release,
    /// Sets the limits of a newer configuration revision.
    Declare(Declaration),
    /// Raises the member's floor.
    RaiseFloor {
        /// Name of the workspace.
        workspace: String,
        /// Units added.
        units: u32,
    },
    /// Lowers the member's floor.
    LowerFloor {
        /// Name of the workspace.
        workspace: String,
        /// Units removed.
        units: u32,
    },
    /// Lends units to the member under its lease.
    Borrow {
        /// Name of the workspace.
        workspace: String,
        /// Units lent.
        units: u32,
    },
    /// Returns units that were lent to the member.
    ReturnLoan {
        /// Name of the workspace.
        workspace: String,
        /// Units returned.
        units: u32,
    },
    /// Confirms the member's loans, after a new lease or a long pause of the process.
    ConfirmLoans,
    /// Reclaims the loans of a member whose record has expired.
    Reclaim(Evidence),
}

/// The limits of all workspaces of one shard in one configuration revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Declaration {
    /// The configuration revision.
    pub revision: u64,
    /// The limits; the limit of a workspace that isn't listed becomes zero.
    pub limits: Vec<Limit>,
}

/// The upper limit of one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Name of the workspace.
    pub workspace: String,
    /// Maximum number of units that all entry hosts may hold at once.
    pub units: u32,
}

/// The reason why a ledger rejected a command.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Rejection {
    /// The units would add up to more than the limit.
    #[error("the units held would exceed the limit of the workspace")]
    AboveLimit,
    /// The member holds fewer units than the command removes.
    #[error("the member holds fewer units than it returns")]
    NotHeld,
    /// The member doesn't own the floors of its entry host.
    #[error("the member does not own the floors of its entry host")]
    NotOwner,
    /// The ledger already has the limits of this configuration revision or a newer one.
    #[error("the limits of this configuration revision or a newer one are in force")]
    Stale,
    /// The member's loans were confirmed or removed after the evidence was gathered.
    #[error("the loans were confirmed or removed after the evidence was gathered")]
    Confirmed,
    /// The ledger has no such workspace.
    #[error("the workspace is not declared")]
    UnknownWorkspace,
}
