//! Reads of the whole configuration and of its revisions.

use rhubarbrill_config::document::Digest;
use rhubarbrill_config::{Document, Revision};
use rhubarbrill_edge::store::{Entry, Store};

use super::record::{
    Content, HEAD_KEY, Head, REVISION_PREFIX, StoredRevision, parse, part_prefix,
    revision_key, snapshot_prefix,
};
use super::{Configuration, Error};

/// Largest number of revisions that are read one by one; more are read with one listing.
const MAX_SINGLE_READS: u64 = 8;

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadedConfiguration {
    /// Number of the revision; zero before the first one.
    pub revision: u64,
    /// All sections that are in force at this revision.
    pub document: Document,
    /// Digest of the document that was recorded when the revision was accepted.
    pub digest: Digest,
    /// Operator who made the last change; empty before the first revision.
    pub author: String,
}

/// Changes that are newer than a given revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigurationUpdate {
    /// The newer revisions in ascending order; empty if there are none.
    Revisions(Vec<Revision>),
    /// The whole configuration, because some of the newer revisions are no longer kept.
    Full(LoadedConfiguration),
}

impl<S: Store> Configuration<'_, S> {
    /// Reads the head; `None` before the first revision.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't respond, or when the record is malformed.
    pub fn head(&self) -> Result<Option<Head>, Error> {
        self.get(HEAD_KEY)?.as_ref().map(Head::parse).transpose()
    }

    /// Reads the whole configuration, and retries if the reads were stale.
    ///
    /// # Errors
    ///
    /// Fails when the store doesn't respond, when a record is missing or malformed, or
    /// when the content doesn't match the digest of its revision.
    pub fn load(&self) -> Result<LoadedConfiguration, Error> {
        let mut attempts_left = self.attempts;
        loop {
            attempts_left -= 1;
            match self.load_once() {
                Err(error) if error.is_stale() && attempts_left > 0 => {
                    std::thread::sleep(self.initial_backoff);
                }
                done => return done,
            }
        }
    }

    /// Reads the head, the snapshot and the revisions one after the other.
    ///
    /// The records may be inconsistent while another process deletes old ones, or when a
    /// read is stale; that is reported as a stale read.
    fn load_once(&self) -> Result<LoadedConfiguration, Error> {
        let Some(head) = self.head()? else {
            return Ok(LoadedConfiguration::default());
        };
        let mut document = self.snapshot(head.snapshot)?;
        for revision in self.revisions(head.snapshot, head.number)? {
            document.apply(&revision.delta);
        }
        if document.digest() != head.digest {
            return Err(Error::stale(
                "document doesn't match the digest of the head",
            ));
        }
        Ok(LoadedConfiguration {
            revision: head.number,
            document,
            digest: head.digest,
            author: head.author,
        })
    }

    /// Reads the changes after revision `since`.
    ///
    /// A stale read may miss the newest revisions.
    ///
    /// # Errors
    ///
    /// Fails as [`load`](Self::load) does.
    pub fn fetch_since(&self, since: u64) -> Result<ConfigurationUpdate, Error> {
        match self.head()? {
            Some(head) if head.number > since => self.fetch(since, &head),
            _ => Ok(ConfigurationUpdate::Revisions(Vec::new())),
        }
    }

    /// Reads the changes after revision `since` up to `head`, which the caller has
    /// received from a watch.
    ///
    /// # Errors
    ///
    /// Fails as [`load`](Self::load) does.
    pub fn fetch(&self, since: u64, head: &Head) -> Result<ConfigurationUpdate, Error> {
        if since < head.floor {
            return self.load().map(ConfigurationUpdate::Full);
        }
        self.revisions(since, head.number)
            .map(ConfigurationUpdate::Revisions)
    }

    fn revisions(&self, after: u64, to: u64) -> Result<Vec<Revision>, Error> {
        let entries = if to.saturating_sub(after) <= MAX_SINGLE_READS {
            self.read_individually(after, to)?
        } else {
            self.list(REVISION_PREFIX)?.entries
        };
        let mut revisions = Vec::new();
        for entry in &entries {
            let stored: StoredRevision = parse(entry)?;
            if stored.number > after && stored.number <= to {
                revisions.push(self.revision(stored)?);
            }
        }
        let found = revisions.len() as u64;
        if found != to.saturating_sub(after) {
            return Err(Error::stale(format!(
                "found {found} of the revisions after {after} up to {to}"
            )));
        }
        Ok(revisions)
    }

    fn read_individually(&self, after: u64, to: u64) -> Result<Vec<Entry>, Error> {
        let mut entries = Vec::new();
        for number in after + 1..=to {
            entries.extend(self.get(&revision_key(number))?);
        }
        Ok(entries)
    }

    /// Returns a stored revision with its change, read from its parts if it was split.
    fn revision(&self, mut stored: StoredRevision) -> Result<Revision, Error> {
        let content = std::mem::replace(&mut stored.content, Content::Parts(0));
        let delta = match content {
            Content::Inline(delta) => delta,
            Content::Parts(count) => {
                let prefix = part_prefix(stored.number, stored.nonce);
                self.read_parts(&prefix, count)?.ok_or_else(|| {
                    Error::stale(format!("parts of {prefix} are missing"))
                })?
            }
        };
        Ok(stored.revision(delta))
    }

    fn snapshot(&self, number: u64) -> Result<Document, Error> {
        let mut document = Document::default();
        if number > 0 {
            for entry in self.list(&snapshot_prefix(number))?.entries {
                document.apply(&parse(&entry)?);
            }
        }
        Ok(document)
    }
}
