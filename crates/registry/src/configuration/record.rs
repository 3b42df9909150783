//! Records of the configuration and their keys.

use rhubarbrill_config::document::Digest;
use rhubarbrill_config::{Delta, Revision};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::store::Entry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{Error, Proposal};

/// Key of the head record; a watch on it sees every accepted change.
pub const HEAD_KEY: &str = "config/head";

pub(super) const REVISIONS: &str = "config/revision/";

/// The record that names the newest accepted revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the newest accepted revision.
    pub number: u64,
    /// Digest of the document at that revision.
    pub digest: Digest,
    /// Who made the change.
    pub author: String,
    /// Newest revision with a whole snapshot; zero before the first one.
    pub snapshot: u64,
    /// Revisions up to this one are no longer kept.
    pub floor: u64,
}

/// An accepted change as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Stored {
    pub(super) number: u64,
    pub(super) digest: Digest,
    pub(super) author: String,
    pub(super) proposed_at: Timestamp,
    pub(super) nonce: Uuid,
    pub(super) content: Content,
}

/// A change, in the record itself or in parts beside it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Content {
    Inline(Delta),
    Parts(usize),
}

impl Head {
    /// Reads the head from an entry of the store or a watch.
    ///
    /// # Errors
    ///
    /// Fails when the value is no head record.
    pub fn parse(entry: &Entry) -> Result<Self, Error> {
        parse(entry)
    }

    /// Returns the head once it has reached a revision.
    pub(super) fn reached(&self, stored: &Stored) -> Self {
        Self {
            number: stored.number,
            digest: stored.digest,
            author: stored.author.clone(),
            ..self.clone()
        }
    }
}

impl Stored {
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
    format!("{REVISIONS}{number:020}")
}

/// Returns the prefix of the parts of a large change.
pub(super) fn part_prefix(number: u64, nonce: Uuid) -> String {
    format!("config/part/{number:020}-{nonce}/")
}

/// Returns the prefix of the parts of a snapshot.
pub(super) fn snapshot_prefix(number: u64) -> String {
    format!("config/snapshot/{number:020}/")
}

pub(super) fn parse<T: DeserializeOwned>(entry: &Entry) -> Result<T, Error> {
    serde_json::from_slice(&entry.value)
        .map_err(|error| Error::malformed(&entry.key, error))
}

pub(super) fn write<T: Serialize>(key: &str, value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| Error::malformed(key, error))
}
