//! Configuration revisions in the store.
//!
//! A change is decided by the write of `config/revision/N`, which succeeds only if that
//! key is absent. `config/head` is then advanced from N-1 to N. Any client that finds a
//! revision beyond the head advances the head, so an operator who crashes between the two
//! writes blocks nobody. A change counts as accepted once the head has reached it.
//!
//! After a lost response the same swap is sent again. The nonce of the revision record
//! that is then found, or the number in the head, tells whether the first swap took
//! effect.

mod accept;
mod content;
mod error;
mod load;
mod record;
mod retry;
mod snapshot;

use std::time::Duration;

use rhubarbrill_config::document::Digest;
use rhubarbrill_config::{Delta, Document};
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::store::Store;
use uuid::Uuid;

pub use error::Error;
pub use load::{ConfigurationUpdate, LoadedConfiguration};
pub use record::{HEAD_KEY, Head};

const ATTEMPTS: u32 = 8;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const SNAPSHOT_INTERVAL: u64 = 256;

/// Reads and appends the configuration revisions of a store.
#[derive(Debug)]
pub struct Configuration<'a, S: Store> {
    store: &'a S,
    attempts: u32,
    initial_backoff: Duration,
    snapshot_interval: u64,
}

/// A change that an operator proposes, validated so that it can be put in force once
/// accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    base: u64,
    delta: Delta,
    digest: Digest,
    author: String,
    proposed_at: Timestamp,
    nonce: Uuid,
}

/// Outcome of a proposal.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The change is accepted as the revision with this number.
    Accepted(u64),
    /// Another change was accepted first; no part of this one will be in force.
    Conflict(ConflictingRevision),
    /// The change may have been accepted, or may still be.
    Unknown(Error),
}

/// The revision that was accepted in place of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConflictingRevision {
    /// Number of the revision.
    pub revision: u64,
    /// Operator who proposed the revision.
    pub author: String,
}

impl Proposal {
    /// Returns a proposal that changes the loaded configuration to `document`.
    ///
    /// # Errors
    ///
    /// Fails when `document` can't be put in force: if it were accepted, every process
    /// would remain at the previous revision.
    pub fn try_new(
        loaded: &LoadedConfiguration,
        document: &Document,
        author: &str,
        proposed_at: Timestamp,
    ) -> Result<Self, rhubarbrill_config::Error> {
        document.update_fleet(&mut Fleet::default(), loaded.revision)?;
        Ok(Self {
            base: loaded.revision,
            delta: loaded.document.diff(document),
            digest: document.digest(),
            author: author.to_owned(),
            proposed_at,
            nonce: Uuid::new_v4(),
        })
    }

    /// Returns the difference between the loaded configuration and the proposed document.
    pub fn delta(&self) -> &Delta {
        &self.delta
    }
}

impl<'a, S: Store> Configuration<'a, S> {
    /// Returns the revisions in `store`, with 8 attempts per call, an initial backoff of
    /// 50 ms and a snapshot every 256 revisions.
    pub fn new(store: &'a S) -> Self {
        Self {
            store,
            attempts: ATTEMPTS,
            initial_backoff: INITIAL_BACKOFF,
            snapshot_interval: SNAPSHOT_INTERVAL,
        }
    }

    /// Sets the maximum number of attempts of a call to the store; zero counts as one.
    #[must_use]
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts.max(1);
        self
    }

    /// Sets the backoff before the second attempt; it doubles with each further attempt,
    /// up to one second.
    #[must_use]
    pub fn initial_backoff(mut self, wait: Duration) -> Self {
        self.initial_backoff = wait;
        self
    }

    /// Sets the number of revisions after which a snapshot is written; zero counts as
    /// one.
    #[must_use]
    pub fn snapshot_interval(mut self, revisions: u64) -> Self {
        self.snapshot_interval = revisions.max(1);
        self
    }
}
