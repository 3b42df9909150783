//! The configuration revision that a process uses.
//!
//! Revisions and snapshots arrive from the store and from peers, and may be late,
//! repeated or out of order. In any case, the number of the active revision never
//! decreases, and the active document always has the digest with which its revision was
//! accepted.

use std::collections::VecDeque;
use std::fmt;

use rhubarbrill_core::fleet::Fleet;

use crate::document::Digest;
use crate::{Delta, Document, Error, Revision};

/// Maximum number of revisions that are kept for peers that lag behind.
const HISTORY_LEN: usize = 256;

/// Maximum number of sections changed by all kept revisions together.
const HISTORY_SECTIONS: usize = 4_096;

/// The active configuration of a process; its revision number never decreases.
///
/// # Example
///
/// ```
/// use rhubarbrill_config::{ActiveConfiguration, Document};
///
/// let mut active = ActiveConfiguration::default();
/// let empty = Document::default();
/// active.apply_document(5, &empty, empty.digest())?;
/// assert!(active.apply_document(4, &empty, empty.digest()).is_err());
/// assert_eq!(active.revision(), 5);
/// # Ok::<(), rhubarbrill_config::active::ApplyError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    document: Document,
    digest: Digest,
    fleet: Fleet,
    newest_known: u64,
    history: VecDeque<Revision>,
}

/// Why a revision or document was rejected; the active configuration is unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyError {
    /// It is not newer than the active revision.
    Stale,
    /// Revisions between the active one and it are missing.
    MissingRevisions,
    /// The resulting document doesn't have the stated digest.
    DigestMismatch,
    /// A section is invalid or refers to an undeclared name.
    Invalid(Error),
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale => f.write_str("not newer than the active revision"),
            Self::MissingRevisions => f.write_str("revisions before it are missing"),
            Self::DigestMismatch => f.write_str("content doesn't have the stated digest"),
            Self::Invalid(error) => write!(f, "invalid content: {error}"),
        }
    }
}

impl std::error::Error for ApplyError {}

impl ActiveConfiguration {
    /// Returns the number of the active revision; zero before the first one.
    pub fn revision(&self) -> u64 {
        self.fleet.revision
    }

    /// Returns the fleet as of the active revision, in typed form.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the document of the active revision.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the digest of the active document.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the newest revision number known to this process, active here or not.
    pub fn newest_known(&self) -> u64 {
        self.newest_known.max(self.revision())
    }

    /// Returns whether no revision newer than the active one is known.
    pub fn is_newest_known(&self) -> bool {
        self.revision() >= self.newest_known
    }

    /// Returns the revisions after `number`, oldest first.
    ///
    /// Returns `None` if some of them are no longer kept, or `number` is newer than the
    /// active revision.
    pub fn revisions_after(&self, number: u64) -> Option<Vec<&Revision>> {
        let missing = self.revision().checked_sub(number)?;
        let missing = usize::try_from(missing).ok()?;
        let first = self.history.len().checked_sub(missing)?;
        Some(self.history.iter().skip(first).collect())
    }

    /// Records that some process has, or had, this revision active.
    ///
    /// A process that restarts while the store is down learns from its peers which
    /// revision it had active before, and doesn't serve until it has that revision again.
    pub fn note_revision(&mut self, revision: u64) {
        self.newest_known = self.newest_known.max(revision);
    }

    /// Applies the revision that follows the active one.
    ///
    /// # Errors
    ///
    /// Fails if the revision isn't the next one, is invalid, or if the resulting document
    /// doesn't have its digest.
    pub fn apply_revision(&mut self, revision: &Revision) -> Result<(), ApplyError> {
        if revision.number <= self.revision() {
            return Err(ApplyError::Stale);
        }
        if revision.number > self.revision() + 1 {
            self.note_revision(revision.number);
            return Err(ApplyError::MissingRevisions);
        }
        self.apply_delta(&revision.delta, revision.number, revision.digest)?;
        self.push_history(revision);
        Ok(())
    }

    /// Replaces the active document, for example by a snapshot, and clears the history.
    ///
    /// # Errors
    ///
    /// Fails if the document isn't newer than the active revision, is invalid, or doesn't
    /// have the digest.
    pub fn apply_document(
        &mut self,
        number: u64,
        document: &Document,
        digest: Digest,
    ) -> Result<(), ApplyError> {
        if number <= self.revision() {
            return Err(ApplyError::Stale);
        }
        let delta = self.document.diff(document);
        self.apply_delta(&delta, number, digest)?;
        self.history.clear();
        Ok(())
    }

    /// Applies a delta to the document and the fleet, or leaves both unchanged.
    fn apply_delta(
        &mut self,
        delta: &Delta,
        number: u64,
        digest: Digest,
    ) -> Result<(), ApplyError> {
        let inverse = self.document.inverse(delta);
        self.document.apply(delta);
        let result = self.verify_and_commit(delta, number, digest);
        if result.is_err() {
            self.document.apply(&inverse);
        }
        result
    }

    /// Checks the digest of the changed document, then applies the delta to the fleet.
    fn verify_and_commit(
        &mut self,
        delta: &Delta,
        number: u64,
        digest: Digest,
    ) -> Result<(), ApplyError> {
        if self.document.digest() != digest {
            return Err(ApplyError::DigestMismatch);
        }
        self.document
            .apply_delta_to_fleet(delta, &mut self.fleet, number)
            .map_err(ApplyError::Invalid)?;
        self.digest = digest;
        Ok(())
    }

    /// Adds a revision to the history, and drops the oldest ones beyond its bounds.
    fn push_history(&mut self, revision: &Revision) {
        self.history.push_back(revision.clone());
        let sections = |history: &VecDeque<Revision>| -> usize {
            history.iter().map(|revision| revision.delta.len()).sum()
        };
        while self.history.len() > HISTORY_LEN
            || sections(&self.history) > HISTORY_SECTIONS
        {
            self.history.pop_front();
        }
    }
}
