//! Identities of requests that must run at most once.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use crate::hash::{fnv1a, mix};
use crate::member::Member;
use crate::time::Timestamp;

/// Number of records that the identities are spread over.
///
/// Every process must agree on it, so it is no setting.
pub const SHARDS: u16 = 8;

const UUID_VERSION: usize = 7;
const MILLIS_SHIFT: u32 = 80;

/// Names a request across all its arrivals: a UUID of version 7.
///
/// # Example
///
/// ```
/// use rhubarbrill_core::claim::IdempotencyKey;
///
/// let uuid = "01890a5d-ac96-774b-bcce-b302099a8057".parse().unwrap();
/// assert_eq!(IdempotencyKey::try_new(uuid).unwrap().issued().as_millis(), 1_688_096_058_518);
/// assert!(IdempotencyKey::try_new(uuid::Uuid::nil()).is_err());
/// ```
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct IdempotencyKey(Uuid);

/// A UUID that carries no issue time.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("identity isn't a UUID of version 7")]
pub struct Malformed;

/// An identity that was issued in the future by this process's clock.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("identity was issued in the future")]
pub struct Skewed;

impl IdempotencyKey {
    /// Returns the identity that a UUID stands for.
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

    /// Returns when the caller made the identity, by the caller's clock.
    pub fn issued(self) -> Timestamp {
        let millis = self.0.as_u128() >> MILLIS_SHIFT;
        Timestamp::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Returns the record that the identity is claimed in.
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

/// Names one record of claims.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ShardId(u16);

impl ShardId {
    /// Returns every place.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// Returns the position of the place, below [`SHARDS`].
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the member that gathers claims of this place, by rendezvous hashing.
    ///
    /// Two members that both think so lose speed and no safety.
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

/// Settings of the claims, shared by every entry host of a fleet.
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
    /// Sets the least time between two groups of one record.
    pub fn interval(mut self, span: Duration) -> Self {
        self.interval = span;
        self
    }

    /// Sets how far a caller's clock may run ahead.
    pub fn max_ahead(mut self, span: Duration) -> Self {
        self.max_ahead = span;
        self
    }

    /// Sets the most claims that one record lists.
    pub fn max_claims(mut self, count: usize) -> Self {
        self.max_claims = count;
        self
    }

    /// Sets how long after its issue an identity is told apart from a forgotten one.
    pub fn retention(mut self, span: Duration) -> Self {
        self.retention = span;
        self
    }

    /// Checks an identity's issue time against the clock of this process.
    ///
    /// # Errors
    ///
    /// Returns [`Skewed`] when it lies too far ahead. Nothing was sent or claimed then.
    pub fn check(&self, key: IdempotencyKey, now: Timestamp) -> Result<(), Skewed> {
        if key.issued().saturating_since(now) > self.max_ahead {
            Err(Skewed)
        } else {
            Ok(())
        }
    }
}
