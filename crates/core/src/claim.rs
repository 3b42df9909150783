//! At-most-once claims: decides which arrival of a request may be sent to an endpoint.
//!
//! A request that isn't repeatable carries an [`IdempotencyKey`]. Before the request is
//! sent, its arrival claims the key in a store record. The claims of one record are
//! committed in groups. A key that was issued before the record's horizon is refused,
//! because the record may have listed it once and dropped it since.

mod batch;
mod idempotency_key;
mod shard;

pub use batch::Batch;
pub use idempotency_key::{
    ClaimOptions, IdempotencyKey, Malformed, SHARDS, ShardId, Skewed,
};
pub use shard::{Answer, Arrival, Claim, Reply, Request, Shard};
