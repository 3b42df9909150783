//! Content of one store record: the keys that were claimed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ClaimOptions, IdempotencyKey};
use crate::time::Timestamp;
use crate::verdict::Verdict;

/// Claims of the keys of one [`ShardId`](super::ShardId).
///
/// Every key issued at or after the horizon is either listed here or was never sent. The
/// horizon is derived from the issue times of the claimed keys, so the clocks of entry
/// hosts don't move it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shard {
    horizon: Timestamp,
    newest: Timestamp,
    claims: BTreeMap<IdempotencyKey, Claim>,
}

/// The arrival that may send the request of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The arrival that won the key.
    pub arrival: Arrival,
    /// Name of the workspace that the request belongs to.
    #[serde(rename = "team")]
    pub workspace: String,
    /// When the key was claimed, by the entry host's clock. For operators only; no
    /// decision depends on it.
    pub at: Timestamp,
}

/// Identifies one arrival of a request at one entry host.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Arrival {
    /// Name of the entry host that received the request.
    pub entry: String,
    /// Incarnation of the entry host's process.
    pub incarnation: u64,
    /// Sequence number, unique within that incarnation.
    pub number: u64,
}

/// A change to a record of claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Claims a key for an arrival.
    Take {
        /// The key to claim or release.
        key: IdempotencyKey,
        /// The claim to store if the key is free.
        claim: Claim,
    },
    /// Releases a key, because nothing of the arrival was sent or ever will be.
    Release {
        /// The key to claim or release.
        key: IdempotencyKey,
        /// The arrival whose claim is released; a claim of another arrival stays.
        arrival: Arrival,
    },
}

/// The answer to one [`Request::Take`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The arrival that claimed the key.
    pub arrival: Arrival,
    /// Whether it may be sent.
    pub answer: Answer,
}

/// Whether an arrival may be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The arrival won the key; it alone may be sent.
    Won,
    /// Another arrival holds the key and may have been sent.
    Lost {
        /// The arrival that holds the key.
        holder: Arrival,
    },
    /// The key is older than the horizon; it may have been claimed before and dropped.
    TooOld,
    /// The record lists the maximum number of claims; nothing was claimed.
    Full,
}

impl Answer {
    /// Returns the verdict of the refusal, or `None` if the arrival may be sent.
    pub const fn refusal(&self) -> Option<Verdict> {
        match self {
            Self::Won => None,
            Self::Lost { .. } | Self::TooOld => Some(Verdict::MayHaveRun),
            Self::Full => Some(Verdict::NotRun),
        }
    }
}

impl Shard {
    /// Returns the number of claims listed.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the record lists no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the issue time before which keys are refused as too old.
    pub const fn horizon(&self) -> Timestamp {
        self.horizon
    }

    /// Returns the claim of a key, if it is listed.
    pub fn claim(&self, key: IdempotencyKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Applies requests in order and returns a reply for each [`Request::Take`].
    ///
    /// Applying the same requests again, to this or a later content, is idempotent: an
    /// arrival that has won a key keeps it.
    pub fn apply(&mut self, requests: &[Request], options: &ClaimOptions) -> Vec<Reply> {
        let mut replies = Vec::new();
        for request in requests {
            match request {
                Request::Take { key, claim } => replies.push(Reply {
                    arrival: claim.arrival.clone(),
                    answer: self.take(*key, claim, options),
                }),
                Request::Release { key, arrival } => {
                    self.release(*key, arrival);
                }
            }
        }
        replies
    }

    fn take(
        &mut self,
        key: IdempotencyKey,
        claim: &Claim,
        options: &ClaimOptions,
    ) -> Answer {
        if let Some(held) = self.claims.get(&key) {
            return held.answer_to(&claim.arrival);
        }
        if key.issued() < self.horizon {
            return Answer::TooOld;
        }
        self.advance(key.issued(), options.retention);
        if self.claims.len() >= options.max_claims {
            return Answer::Full;
        }
        self.claims.insert(key, claim.clone());
        Answer::Won
    }

    fn release(&mut self, key: IdempotencyKey, arrival: &Arrival) {
        let held = self.claims.get(&key);
        if held.is_some_and(|claim| claim.arrival == *arrival) {
            self.claims.remove(&key);
        }
    }

    /// Advances the horizon and drops the claims issued before it.
    fn advance(&mut self, issued: Timestamp, retention: Duration) {
        self.newest = self.newest.max(issued);
        let kept = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        let horizon = self.newest.as_millis().saturating_sub(kept);
        self.horizon = self.horizon.max(Timestamp::from_millis(horizon));
        let horizon = self.horizon;
        self.claims.retain(|key, _| key.issued() >= horizon);
    }
}

impl Claim {
    fn answer_to(&self, arrival: &Arrival) -> Answer {
        if self.arrival == *arrival {
            Answer::Won
        } else {
            Answer::Lost {
                holder: self.arrival.clone(),
            }
        }
    }
}
