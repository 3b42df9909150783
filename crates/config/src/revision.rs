//! Revisions: accepted changes of the configuration.

use rhubarbrill_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::Delta;
use crate::document::Digest;

/// An accepted change of the configuration; immutable.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revision {
    /// Revision number, one more than that of the revision the change is based on.
    pub number: u64,
    /// Digest of the document after the change.
    pub digest: Digest,
    /// Name of the operator who made the change.
    pub author: String,
    /// Time at which the change was proposed, on the author's clock.
    pub proposed_at: Timestamp,
    /// Difference from the previous revision.
    pub delta: Delta,
}
