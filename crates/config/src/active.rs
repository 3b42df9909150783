//! The configuration that one process has in force.
//!
//! Offers come from the store, from peers and from snapshots, late, repeated or out of
//! order. Whatever comes, the revision in force only rises, and the document always has
//! the digest that its revision was accepted with.

use std::collections::VecDeque;
use std::fmt;

use rhubarbrill_core::fleet::Fleet;

use crate::document::Digest;
use crate::{Delta, Document, Error, Revision};

/// Revisions kept to be passed on to peers.
const HISTORY_LEN: usize = 256;

/// Most sections that all kept revisions change together.
const HISTORY_SECTIONS: usize = 4_096;

/// The configuration in force; its revision only rises.
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

/// Why an offer was refused; the configuration in force is unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyError {
    /// The offer is not newer than the revision in force.
    Stale,
    /// Revisions between the one in force and the offer are missing.
    MissingRevisions,
    /// The offer doesn't lead to the digest that it states.
    DigestMismatch,
    /// The offer can't be used.
    Invalid(Error),
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale => f.write_str("not newer than the revision in force"),
            Self::MissingRevisions => f.write_str("revisions before it are missing"),
            Self::DigestMismatch => f.write_str("content doesn't have the stated digest"),
            Self::Invalid(error) => write!(f, "unusable content: {error}"),
        }
    }
}

impl std::error::Error for ApplyError {}

impl ActiveConfiguration {
    /// Returns the number of the revision in force; zero before the first one.
    pub fn revision(&self) -> u64 {
        self.fleet.revision
    }

    /// Returns the typed fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the digest of the document.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the newest revision that this process knows of, in force here or not.
    pub fn newest_known(&self) -> u64 {
        self.newest_known.max(self.revision())
    }

    /// Returns whether no newer revision is known of.
    pub fn is_newest_known(&self) -> bool {
        self.revision() >= self.newest_known
    }

    /// Returns the revisions after `number`, if all of them are still kept.
    pub fn revisions_after(&self, number: u64) -> Option<Vec<&Revision>> {
        let missing = self.revision().checked_sub(number)?;
        let missing = usize::try_from(missing).ok()?;
        let first = self.history.len().checked_sub(missing)?;
        Some(self.history.iter().skip(first).collect())
    }

    /// Notes that some process has, or had, this revision.
    ///
    /// A process that starts again while the store is down learns from its peers what it
    /// had in force before, and holds back until it has that again.
    pub fn note_revision(&mut self, revision: u64) {
        self.newest_known = self.newest_known.max(revision);
    }

    /// Takes the next revision.
    ///
    /// # Errors
    ///
    /// Refuses a revision that isn't the next one, or doesn't lead to its digest.
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

    /// Takes a whole document.
    ///
    /// # Errors
    ///
    /// Refuses a document that isn't newer, or doesn't have the digest.
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

    fn push_history(&mut self, revision: &Revision) {
        self.history.push_back(revision.clone());
        let sections = |history: &VecDeque<Revision>| -> usize {
            history.iter().map(|kept| kept.delta.len()).sum()
        };
        while self.history.len() > HISTORY_LEN
            || sections(&self.history) > HISTORY_SECTIONS
        {
            self.history.pop_front();
        }
    }
}
