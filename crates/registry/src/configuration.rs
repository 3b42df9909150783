//! Configuration revisions in the store.
//!
//! A change is decided by the write of `config/revision/N`, which succeeds only where no
//! record is. `config/head` then follows from N-1 to N; whoever finds a revision that the
//! head hasn't reached moves it on, so an operator's crash between the two writes leaves
//! nothing in the way. A change counts as accepted once the head has reached it.
//!
//! A lost answer is settled by sending the same swap again: the record that is then found
//! tells by its nonce, or the head by its number, whether the first one took effect.

mod accept;
mod certain;
mod content;
mod error;
mod load;
mod record;
mod snapshot;

use std::time::Duration;

use rhubarbrill_config::document::Digest;
use rhubarbrill_config::{Delta, Document};
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::store::Store;
use uuid::Uuid;

pub use error::Error;
pub use load::{Loaded, News};
pub use record::{HEAD_KEY, Head};

const ATTEMPTS: u32 = 8;
const FIRST_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_secs(1);
const SNAPSHOT_INTERVAL: u64 = 256;

/// The configuration revisions in a store.
#[derive(Debug)]
pub struct Configuration<'a, S: Store> {
    store: &'a S,
    attempts: u32,
    first_wait: Duration,
    snapshot_interval: u64,
}

/// A change that an operator proposes, sure to be usable once accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    base: u64,
    delta: Delta,
    digest: Digest,
    author: String,
    proposed_at: Timestamp,
    nonce: Uuid,
}

/// What became of a proposal.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The change is accepted under this number.
    Accepted(u64),
    /// Another change came first; nothing of this one will be in force.
    Conflict(Rival),
    /// The change may be accepted, or may yet be.
    Unknown(Error),
}

/// The change that came first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rival {
    /// Its number.
    pub revision: u64,
    /// Who made it.
    pub author: String,
}

impl Proposal {
    /// Returns the change from what is in force to `document`.
    ///
    /// # Errors
    ///
    /// Fails when `document` can't be put in force: were it accepted, every process would
    /// stop at the revision before.
    pub fn try_new(
        loaded: &Loaded,
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

    /// Returns the change.
    pub fn delta(&self) -> &Delta {
        &self.delta
    }
}

impl<'a, S: Store> Configuration<'a, S> {
    /// Returns the revisions in `store`.
    pub fn new(store: &'a S) -> Self {
        Self {
            store,
            attempts: ATTEMPTS,
            first_wait: FIRST_WAIT,
            snapshot_interval: SNAPSHOT_INTERVAL,
        }
    }

    /// Sets how often a call of the store is tried, at least once.
    #[must_use]
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts.max(1);
        self
    }

    /// Sets the wait before the second try; it doubles from then on, up to a second.
    #[must_use]
    pub fn first_wait(mut self, wait: Duration) -> Self {
        self.first_wait = wait;
        self
    }

    /// Sets after how many revisions a snapshot is written.
    #[must_use]
    pub fn snapshot_interval(mut self, revisions: u64) -> Self {
        self.snapshot_interval = revisions.max(1);
        self
    }
}
