//! Idempotency keys of requests that must run at most once.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use crate::hash::{fnv1a, mix};
use crate::member::Member;
use crate::time::Timestamp;

/// Number of store records over which the keys are sharded.
///
/// A constant rather than a setting, because every process must use the same number.
pub const SHARDS: u16 = 8;

const UUID_VERSION: usize = 7;
const MILLIS_SHIFT: u32 = 80;

/// Identifies a request across all its arrivals; a UUID of version 7, which carries the
/// time of issue.
///
/// # Example
///
/// ```
/// use rhubarbrill_core::claim::IdempotencyKey;
///
/// let uuid = "01890a5d-ac96-774b-bcce-b302099a8057".parse().unwrap();
/// let key = IdempotencyKey::try_new(uuid).unwrap();
/// assert_eq!(key.issued().as_millis(), 1_688_096_058_518);
/// assert!(IdempotencyKey::try_new(uuid::Uuid::nil()).is_err());
/// ```
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct IdempotencyKey(Uuid);

/// Error for a UUID of another version than 7, which carries no issue time.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("idempotency key isn't a UUID of version 7")]
pub struct Malformed;

/// Error for a key whose issue time is too far ahead of this process's clock.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("idempotency key was issued in the future")]
pub struct Skewed;

impl IdempotencyKey {
    /// Returns the key with the given UUID.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] for a UUID of another version.
    pub fn try_new(uuid: Uuid) -> Result<Self, Malformed> {
        if uuid.get_version_num() == UUID_VERSION {
            Ok(Self(uuid))
        } else {
            Err(Malformed)
        }
    }

    /// Returns the time at which the caller issued the key, by the caller's clock, in
    /// milliseconds.
    pub fn issued(self) -> Timestamp {
        let millis = self.0.as_u128() >> MILLIS_SHIFT;
        Timestamp::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Returns the record in which the key is claimed.
    pub fn shard_id(self) -> ShardId {
        let index = mix(fnv1a(self.0.as_bytes())) % u64::from(SHARDS);
        ShardId(u16::try_from(index).unwrap_or_default())
    }
}

impl TryFrom<Uuid> for IdempotencyKey {
    type Error = Malformed;

    fn try_from(uuid: Uuid) -> Result<Self, Malformed> {
        Self::try_new(uuid)
    }
}

impl From<IdempotencyKey> for Uuid {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}

/// Index of one store record of claims.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShardId(u16);

impl ShardId {
    /// Returns the indexes of all records.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// Returns the index as a number below [`SHARDS`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the member that coordinates the group commits of this record, chosen by
    /// rendezvous hashing; `None` without members.
    ///
    /// If members disagree on the coordinator, their writes conflict. This costs
    /// throughput but isn't unsafe, as each write is a compare-and-swap.
    pub fn coordinator<'a>(
        self,
        members: impl IntoIterator<Item = &'a Member>,
    ) -> Option<&'a Member> {
        let weight = |member: &&Member| {
            mix(fnv1a(member.entry.as_bytes()) ^ mix(u64::from(self.0)))
        };
        members.into_iter().max_by_key(weight)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Options of claims. Every entry host of a fleet must use the same ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimOptions {
    pub(super) interval: Duration,
    pub(super) max_ahead: Duration,
    pub(super) max_claims: usize,
    pub(super) retention: Duration,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(50),
            max_ahead: Duration::from_secs(5),
            max_claims: 4_000,
            retention: Duration::from_secs(300),
        }
    }
}

impl ClaimOptions {
    /// Sets the minimum time between two flushes of one record.
    pub fn interval(mut self, span: Duration) -> Self {
        self.interval = span;
        self
    }

    /// Sets how far ahead of this process's clock a key's issue time may be.
    pub fn max_ahead(mut self, span: Duration) -> Self {
        self.max_ahead = span;
        self
    }

    /// Sets the maximum number of claims that one record lists.
    pub fn max_claims(mut self, count: usize) -> Self {
        self.max_claims = count;
        self
    }

    /// Sets how long after its issue a key stays listed; the horizon trails the newest
    /// issue time by this span.
    pub fn retention(mut self, span: Duration) -> Self {
        self.retention = span;
        self
    }

    /// Checks a key's issue time against the clock of this process.
    ///
    /// # Errors
    ///
    /// Returns [`Skewed`] if the key was issued too far in the future. Nothing was sent
    /// or claimed in that case.
    pub fn check(&self, key: IdempotencyKey, now: Timestamp) -> Result<(), Skewed> {
        if key.issued().saturating_since(now) > self.max_ahead {
            Err(Skewed)
        } else {
            Ok(())
        }
    }
}
