//! Configuration records in the store, and their keys.

use rhubarbrill_config::document::Digest;
use rhubarbrill_config::{Delta, Revision};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::store::Entry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{Error, Proposal};

/// Key of the head record; a watch on it is notified of every accepted change.
pub const HEAD_KEY: &str = "config/head";

pub(super) const REVISION_PREFIX: &str = "config/revision/";

/// The record that identifies the newest accepted revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the newest accepted revision.
    pub number: u64,
    /// Digest of the document at that revision.
    pub digest: Digest,
    /// Operator who proposed that revision.
    pub author: String,
    /// Newest revision of which a snapshot is stored; zero before the first snapshot.
    pub snapshot: u64,
    /// Revisions up to and including this one may have been deleted.
    pub floor: u64,
}

/// A revision as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct StoredRevision {
    pub(super) number: u64,
    pub(super) digest: Digest,
    pub(super) author: String,
    pub(super) proposed_at: Timestamp,
    pub(super) nonce: Uuid,
    pub(super) content: Content,
}

/// A change, stored in the revision record or in a number of separate part records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Content {
    Inline(Delta),
    Parts(usize),
}

impl Head {
    /// Parses the head from a store entry that was read or received from a watch.
    ///
    /// # Errors
    ///
    /// Fails when the value isn't a head record.
    pub fn parse(entry: &Entry) -> Result<Self, Error> {
        parse(entry)
    }

    /// Returns this head advanced to `stored`.
    pub(super) fn advanced_to(&self, stored: &StoredRevision) -> Self {
        Self {
            number: stored.number,
            digest: stored.digest,
            author: stored.author.clone(),
            ..self.clone()
        }
    }
}

impl StoredRevision {
    pub(super) fn new(proposal: &Proposal, content: Content) -> Self {
        Self {
            number: proposal.base + 1,
            digest: proposal.digest,
            author: proposal.author.clone(),
            proposed_at: proposal.proposed_at,
            nonce: proposal.nonce,
            content,
        }
    }

    pub(super) fn revision(self, delta: Delta) -> Revision {
        Revision {
            number: self.number,
            digest: self.digest,
            author: self.author,
            proposed_at: self.proposed_at,
            delta,
        }
    }
}

pub(super) fn revision_key(number: u64) -> String {
    format!("{REVISION_PREFIX}{number:020}")
}

/// Returns the key prefix of the parts of a large change.
pub(super) fn part_prefix(number: u64, nonce: Uuid) -> String {
    format!("config/part/{number:020}-{nonce}/")
}

/// Returns the key prefix of the parts of a snapshot.
pub(super) fn snapshot_prefix(number: u64) -> String {
    format!("config/snapshot/{number:020}/")
}

pub(super) fn parse<T: DeserializeOwned>(entry: &Entry) -> Result<T, Error> {
    serde_json::from_slice(&entry.value)
        .map_err(|error| Error::malformed(&entry.key, error))
}

pub(super) fn serialize<T: Serialize>(key: &str, value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| Error::malformed(key, error))
}
