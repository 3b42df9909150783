//! Store records of claims, which decide which arrival of a request with a given
//! idempotency key may be sent to an endpoint.

use std::time::Duration;

use rhubarbrill_core::claim::{ClaimOptions, Reply, Request, Shard, ShardId};
use rhubarbrill_edge::Error;
use rhubarbrill_edge::record::{self, Backoff, Decision, Outcome, Record};
use rhubarbrill_edge::store::Store;

const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
const MAX_BACKOFF: Duration = Duration::from_millis(80);
const MAX_RETRIES: u32 = 6;

/// Returns the store key of the record of shard `place`.
pub fn key(place: ShardId) -> String {
    format!("claim/{place}")
}

/// Commits batches of requests to the record of one shard.
///
/// The last version seen of the record is cached, which saves a read per commit.
#[derive(Debug)]
pub struct Writer {
    shard_id: ShardId,
    options: ClaimOptions,
    cached: Option<Record<Shard>>,
}

impl Writer {
    /// Returns a writer that has not read the record yet.
    pub const fn new(shard_id: ShardId, options: ClaimOptions) -> Self {
        Self {
            shard_id,
            options,
            cached: None,
        }
    }

    /// Applies a batch of requests and returns the replies to its `Take` requests.
    ///
    /// A batch that changes nothing isn't written.
    ///
    /// # Errors
    ///
    /// Fails when the record wasn't written, or when it is unknown whether it was. No
    /// arrival of the batch may then be sent; the same batch may be committed again.
    pub fn commit<S>(
        &mut self,
        store: &S,
        requests: &[Request],
    ) -> Result<Vec<Reply>, Error>
    where
        S: Store + ?Sized,
    {
        let mut replies = Vec::new();
        let options = self.options;
        let decide = |stored: Option<Shard>| {
            let before = stored.unwrap_or_default();
            let mut after = before.clone();
            replies = after.apply(requests, &options);
            if after == before {
                Decision::Refuse(())
            } else {
                Decision::Write(after)
            }
        };
        let backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF, MAX_RETRIES);
        let key = key(self.shard_id);
        let outcome = match self.cached.clone() {
            Some(cached) => {
                record::update_from(store, &key, Some(cached), backoff, decide)
            }
            None => record::update(store, &key, backoff, decide),
        };
        let outcome = outcome.inspect_err(|_| self.cached = None)?;
        match outcome {
            Outcome::Applied(record) => self.cached = Some(record),
            Outcome::Refused(()) => {}
            Outcome::Unknown(error) => {
                self.cached = None;
                return Err(error);
            }
        }
        Ok(replies)
    }
}
