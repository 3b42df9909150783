//! Changes that entry hosts make to a ledger.

use thiserror::Error;

use super::Evidence;

/// A change of a ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Makes the member the owner of the floors kept under its entry host's name.
    Adopt,
    /// Returns the member's loans and leaves its floors to the next owner at once.
    ///
    /// Only a member that runs no work any more may send it.
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
    /// Returns loaned units.
    GiveBack {
        /// Name of the workspace.
        workspace: String,
        /// Units returned.
        units: u32,
    },
    /// Confirms the member's loans under a new lease.
    Reassert,
    /// Takes back the loans of a member that is gone.
    TakeBack(Evidence),
}

/// The limits of all workspaces of one shard, at one configuration revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Declaration {
    /// The configuration revision.
    pub revision: u64,
    /// The limits; a workspace that is missing is removed.
    pub limits: Vec<Limit>,
}

/// The upper limit of one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Name of the workspace.
    pub workspace: String,
    /// Most units that may be held at once.
    pub units: u32,
}

/// Why a ledger refused a command.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum Rejection {
    /// The units would add up to more than the limit.
    #[error("units would exceed the limit")]
    AboveLimit,
    /// The member holds fewer units than it returns.
    #[error("fewer units are held than returned")]
    NotHeld,
    /// Another incarnation owns the floors.
    #[error("another incarnation owns the floors")]
    NotOwner,
    /// The declaration isn't newer than the one in force.
    #[error("a revision as new is in force")]
    Stale,
    /// The member has confirmed its loans since the evidence was gathered.
    #[error("the loans were confirmed since")]
    Confirmed,
    /// The workspace isn't declared.
    #[error("workspace isn't declared")]
    UnknownWorkspace,
}
