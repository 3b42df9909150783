//! Reading the configuration.

use rhubarbrill_config::document::Digest;
use rhubarbrill_config::{Document, Revision};
use rhubarbrill_edge::store::{Entry, Store};

use super::record::{
    Content, HEAD_KEY, Head, REVISIONS, Stored, parse, part_prefix, revision_key,
    snapshot_prefix,
};
use super::{Configuration, Error};

/// Revisions that are read one by one; more are read in one listing.
const SINGLE_READS: u64 = 8;

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Loaded {
    /// The number of the revision; zero before the first one.
    pub revision: u64,
    /// The document.
    pub document: Document,
    /// The digest that the revision was accepted with.
    pub digest: Digest,
    /// Who made the last change.
    pub author: String,
}

/// What is newer than a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigurationUpdate {
    /// These revisions, in order; none when nothing is newer.
    Revisions(Vec<Revision>),
    /// So much that the whole is sent.
    Full(Loaded),
}

impl<S: Store> Configuration<'_, S> {
    /// Reads the head; `None` before the first revision.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer, or the record can't be read.
    pub fn head(&self) -> Result<Option<Head>, Error> {
        self.get(HEAD_KEY)?.as_ref().map(Head::parse).transpose()
    }

    /// Reads the whole configuration.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer, a record is missing or can't be read, or the
    /// content doesn't have the digest of its revision.
    pub fn load(&self) -> Result<Loaded, Error> {
        let mut left = self.attempts;
        loop {
            left -= 1;
            match self.load_once() {
                Err(error) if error.is_behind() && left > 0 => {
                    std::thread::sleep(self.first_wait);
                }
                done => return done,
            }
        }
    }

    /// Reads the records one after the other; what they show may not fit together while
    /// another process deletes old ones, or when an answer lags.
    fn load_once(&self) -> Result<Loaded, Error> {
        let Some(head) = self.head()? else {
            return Ok(Loaded::default());
        };
        let mut document = self.snapshot(head.snapshot)?;
        for revision in self.revisions(head.snapshot, head.number)? {
            document.apply(&revision.delta);
        }
        if document.digest() != head.digest {
            return Err(Error::behind("records don't lead to the head's digest"));
        }
        Ok(Loaded {
            revision: head.number,
            document,
            digest: head.digest,
            author: head.author,
        })
    }

    /// Reads what is newer than revision `have`.
    ///
    /// A store whose answers lag may not show the newest yet.
    ///
    /// # Errors
    ///
    /// Fails as [`load`](Self::load) does.
    pub fn fetch_since(&self, have: u64) -> Result<ConfigurationUpdate, Error> {
        match self.head()? {
            Some(head) if head.number > have => self.fetch(have, &head),
            _ => Ok(ConfigurationUpdate::Revisions(Vec::new())),
        }
    }

    /// Reads what leads from revision `have` to `head`, which a watch has shown.
    ///
    /// # Errors
    ///
    /// Fails as [`load`](Self::load) does.
    pub fn fetch(&self, have: u64, head: &Head) -> Result<ConfigurationUpdate, Error> {
        if have < head.floor {
            return self.load().map(ConfigurationUpdate::Full);
        }
        self.revisions(have, head.number)
            .map(ConfigurationUpdate::Revisions)
    }

    fn revisions(&self, after: u64, to: u64) -> Result<Vec<Revision>, Error> {
        let entries = if to.saturating_sub(after) <= SINGLE_READS {
            self.read_each(after, to)?
        } else {
            self.list(REVISIONS)?.entries
        };
        let mut revisions = Vec::new();
        for entry in &entries {
            let stored: Stored = parse(entry)?;
            if stored.number > after && stored.number <= to {
                revisions.push(self.revision(stored)?);
            }
        }
        let found = revisions.len() as u64;
        if found != to.saturating_sub(after) {
            return Err(Error::behind(format!(
                "{found} of the revisions after {after} up to {to} are there"
            )));
        }
        Ok(revisions)
    }

    fn read_each(&self, after: u64, to: u64) -> Result<Vec<Entry>, Error> {
        let mut entries = Vec::new();
        for number in after + 1..=to {
            entries.extend(self.get(&revision_key(number))?);
        }
        Ok(entries)
    }

    /// Returns a stored revision with its change.
    fn revision(&self, mut stored: Stored) -> Result<Revision, Error> {
        let content = std::mem::replace(&mut stored.content, Content::Parts(0));
        let delta = match content {
            Content::Inline(delta) => delta,
            Content::Parts(count) => {
                let prefix = part_prefix(stored.number, stored.nonce);
                self.read_parts(&prefix, count)?.ok_or_else(|| {
                    Error::behind(format!("parts of {prefix} are missing"))
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
