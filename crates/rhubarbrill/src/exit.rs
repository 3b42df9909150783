//! Exit codes of the command line.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded, or there was nothing to do.
    Done = 0,
    /// The request was refused: a file has mistakes, or names something that doesn't
    /// exist.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another operator's change was accepted first; nothing was changed.
    Conflict = 3,
    /// The store didn't respond: nothing was read, or the outcome of a change is unknown.
    Unknown = 4,
    /// The command succeeded, but not every entry host has confirmed it.
    Unconfirmed = 5,
    /// The command failed for any other reason.
    Failed = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
