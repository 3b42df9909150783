//! The content of one store record: identities that were claimed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ClaimOptions, IdempotencyKey};
use crate::time::Timestamp;
use crate::verdict::Verdict;

/// Claims of the identities of one place.
///
/// Every identity that isn't older than the horizon is either listed here or was never
/// sent. The horizon follows the issue times of the identities claimed, so no clock of
/// an entry host moves it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shard {
    horizon: Timestamp,
    newest: Timestamp,
    claims: BTreeMap<IdempotencyKey, Claim>,
}

/// Who may send the request of an identity.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The arrival that won the identity.
    pub arrival: Arrival,
    /// Name of the workspace.
    #[serde(rename = "team")]
    pub workspace: String,
    /// When it was claimed, by the entry host's clock; for operators only.
    pub at: Timestamp,
}

/// Names one arrival of a request at one entry host.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Arrival {
    /// Name of the entry host.
    pub entry: String,
    /// The run of its process.
    pub incarnation: u64,
    /// Differs for each arrival in that run.
    pub number: u64,
}

/// A change of a record of claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Request {
    /// Claims an identity for an arrival.
    Take {
        /// The identity.
        key: IdempotencyKey,
        /// The claim.
        claim: Claim,
    },
    /// Gives an identity up, as nothing of the arrival was sent or ever will be.
    Release {
        /// The identity.
        key: IdempotencyKey,
        /// The arrival.
        arrival: Arrival,
    },
}

/// The answer to one arrival.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The arrival that asked.
    pub arrival: Arrival,
    /// What it was told.
    pub answer: Answer,
}

/// Whether an arrival may be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It alone may be sent.
    Won,
    /// Another arrival may be sent, or was.
    Lost {
        /// That other arrival.
        holder: Arrival,
    },
    /// The identity may have been claimed and forgotten.
    TooOld,
    /// The record lists as many claims as it may; nothing was claimed.
    Full,
}

impl Answer {
    /// Returns the verdict of the refusal, or `None` for the arrival that may be sent.
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

    /// Returns whether no claim is listed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the issue time before which identities are refused.
    pub const fn horizon(&self) -> Timestamp {
        self.horizon
    }

    /// Returns the claim of an identity.
    pub fn claim(&self, key: IdempotencyKey) -> Option<&Claim> {
        self.claims.get(&key)
    }

    /// Carries out requests in their order, and answers those that take.
    ///
    /// The same requests may be carried out again, on this or a later content: an arrival
    /// that has won keeps its identity.
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

    /// Moves the horizon up and forgets the claims that fall behind it.
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
