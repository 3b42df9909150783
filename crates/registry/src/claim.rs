//! The records of claims: which arrival of an identity may be sent.

use std::time::Duration;

use rhubarbrill_core::claim::{ClaimOptions, Reply, Request, Shard, ShardId};
use rhubarbrill_edge::Error;
use rhubarbrill_edge::record::{self, Backoff, Decision, Outcome, Record};
use rhubarbrill_edge::store::Store;

const FIRST_WAIT: Duration = Duration::from_millis(5);
const LONGEST_WAIT: Duration = Duration::from_millis(80);
const MAX_WAITS: u32 = 6;

/// Returns the store's key of a place's record.
pub fn key(place: ShardId) -> String {
    format!("claim/{place}")
}

/// Commits groups of requests to the record of one place.
#[derive(Debug)]
pub struct Writer {
    place: ShardId,
    terms: ClaimOptions,
    known: Option<Record<Shard>>,
}

impl Writer {
    /// Returns a writer that has read nothing yet.
    pub const fn new(place: ShardId, terms: ClaimOptions) -> Self {
        Self {
            place,
            terms,
            known: None,
        }
    }

    /// Carries out a group of requests and returns the replies to those that take.
    ///
    /// A group that changes nothing isn't written.
    ///
    /// # Errors
    ///
    /// Fails when the record couldn't be written, or may have been. No arrival of the
    /// group may be sent then; the same group may be committed again.
    pub fn commit<S>(
        &mut self,
        store: &S,
        requests: &[Request],
    ) -> Result<Vec<Reply>, Error>
    where
        S: Store + ?Sized,
    {
        let mut replies = Vec::new();
        let terms = self.terms;
        let decide = |found: Option<Shard>| {
            let before = found.unwrap_or_default();
            let mut after = before.clone();
            replies = after.apply(requests, &terms);
            if after == before {
                Decision::Refuse(())
            } else {
                Decision::Write(after)
            }
        };
        let waits = Backoff::new(FIRST_WAIT, LONGEST_WAIT, MAX_WAITS);
        let key = key(self.place);
        let outcome = match self.known.clone() {
            Some(known) => record::update_from(store, &key, Some(known), waits, decide),
            None => record::update(store, &key, waits, decide),
        };
        let outcome = outcome.inspect_err(|_| self.known = None)?;
        match outcome {
            Outcome::Applied(record) => self.known = Some(record),
            Outcome::Refused(()) => {}
            Outcome::Unknown(error) => {
                self.known = None;
                return Err(error);
            }
        }
        Ok(replies)
    }
}
