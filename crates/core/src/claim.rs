//! Claims: which arrival of a request that must run at most once may be sent.
//!
//! A request that may not be repeated carries an [`IdempotencyKey`]. Before it is sent, its
//! arrival claims the identity in a store record. Claims of one record are committed in
//! groups. An identity that is older than everything the record still lists is refused,
//! since it may have been claimed and forgotten.

mod batch;
mod idempotency_key;
mod shard;

pub use batch::Batch;
pub use idempotency_key::{
    ClaimOptions, IdempotencyKey, Malformed, SHARDS, ShardId, Skewed,
};
pub use shard::{Answer, Arrival, Claim, Reply, Request, Shard};
