//! Outcome of a change, and the entry hosts that have put it in force.

use std::fmt;

use rhubarbrill_registry::configuration::Outcome;
use serde::Serialize;

use crate::entry_hosts::{self, PollResult};
use crate::exit::Exit;
use crate::output::Output;
use crate::settings::EntryHostSettings;

/// Outcome of a change, with the entry hosts that have and haven't confirmed it.
#[derive(Clone, Debug, Serialize)]
pub struct Confirmation {
    outcome: OutcomeKind,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    confirmed: Vec<String>,
    unconfirmed: Vec<Unconfirmed>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum OutcomeKind {
    Accepted,
    Conflict,
    Unchanged,
    Unknown,
}

/// An entry host that hasn't confirmed a revision.
#[derive(Clone, Debug, Serialize)]
struct Unconfirmed {
    entry: String,
    reason: String,
}

impl Confirmation {
    /// Returns the outcome of a change that is already in force as `revision`.
    pub fn unchanged(revision: u64) -> Self {
        Self::new(OutcomeKind::Unchanged, Some(revision), None)
    }

    /// Returns the outcome of a change that lost to `revision`, made by `author`.
    pub fn conflict(revision: u64, author: &str) -> Self {
        let reason = format!("revision {revision} by {author} came first");
        Self::new(OutcomeKind::Conflict, Some(revision), Some(reason))
    }

    /// Converts the outcome of a proposal.
    pub fn from_outcome(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Accepted(revision) => {
                Self::new(OutcomeKind::Accepted, Some(*revision), None)
            }
            Outcome::Conflict(winner) => Self::conflict(winner.revision, &winner.author),
            Outcome::Unknown(error) => {
                Self::new(OutcomeKind::Unknown, None, Some(error.to_string()))
            }
        }
    }

    fn new(outcome: OutcomeKind, revision: Option<u64>, reason: Option<String>) -> Self {
        Self {
            outcome,
            revision,
            reason,
            confirmed: Vec::new(),
            unconfirmed: Vec::new(),
        }
    }

    /// Waits for the entry hosts to confirm the revision, unless the change was not
    /// accepted or its outcome is unknown.
    #[must_use]
    pub fn wait_for_entries(mut self, entries: &EntryHostSettings) -> Self {
        let (OutcomeKind::Accepted | OutcomeKind::Unchanged, Some(revision)) =
            (self.outcome, self.revision)
        else {
            return self;
        };
        for result in entry_hosts::wait_for_revision(entries, revision) {
            if result.confirms(revision) {
                self.confirmed.push(result.name());
            } else {
                self.unconfirmed.push(Unconfirmed::new(&result));
            }
        }
        self
    }

    /// Returns the output of the command, with the exit code that fits the outcome.
    pub fn output(&self) -> Output {
        let exit = match self.outcome {
            OutcomeKind::Conflict => Exit::Conflict,
            OutcomeKind::Unknown => Exit::Unknown,
            OutcomeKind::Accepted | OutcomeKind::Unchanged
                if self.unconfirmed.is_empty() =>
            {
                Exit::Done
            }
            OutcomeKind::Accepted | OutcomeKind::Unchanged => Exit::Unconfirmed,
        };
        Output::new(exit, self)
    }
}

impl Unconfirmed {
    fn new(result: &PollResult) -> Self {
        let reason = match (&result.status, &result.error) {
            (Some(status), _) => format!("has revision {}", status.revision),
            (None, Some(error)) => format!("gave no answer: {error}"),
            (None, None) => "gave no answer".to_owned(),
        };
        Self {
            entry: result.name(),
            reason,
        }
    }
}

impl fmt::Display for Confirmation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let revision = self.revision.unwrap_or_default();
        let reason = self.reason.as_deref().unwrap_or_default();
        let line = match self.outcome {
            OutcomeKind::Accepted => format!("accepted as revision {revision}"),
            OutcomeKind::Unchanged => {
                format!("revision {revision} is in force, nothing to change")
            }
            OutcomeKind::Conflict => {
                format!("conflict: {reason}; nothing was changed, plan again")
            }
            OutcomeKind::Unknown => {
                format!("outcome unknown: {reason}; plan again once the store answers")
            }
        };
        writeln!(f, "{line}")?;
        if !self.confirmed.is_empty() {
            writeln!(f, "in force at: {}", self.confirmed.join(", "))?;
        }
        for entry in &self.unconfirmed {
            writeln!(f, "not confirmed by {}: {}", entry.entry, entry.reason)?;
        }
        Ok(())
    }
}
