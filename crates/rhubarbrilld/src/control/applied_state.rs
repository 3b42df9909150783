//! The configuration and ledger that this entry host has applied. Versions never
//! decrease.

use rhubarbrill_config::active::{self, ActiveConfiguration};
use rhubarbrill_config::document::Digest;
use rhubarbrill_config::{Document, Revision};
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::Ledger;
use rhubarbrill_core::placement::Placement;
use rhubarbrill_peer as peer;
use serde::{Deserialize, Serialize};

/// Reason why a record was not applied.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The configuration was rejected.
    #[error("configuration: {0}")]
    Configuration(#[from] active::ApplyError),
    /// The ledger is not newer than the applied one.
    #[error(
        "ledger generation {offered} is not newer than the applied generation {held}"
    )]
    Ledger {
        /// Generation of the rejected ledger.
        offered: u64,
        /// Generation of the applied ledger.
        held: u64,
    },
    /// The record can't be parsed.
    #[error("record can't be parsed: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// All declarations of a configuration revision, as sent between peers.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Snapshot {
    document: Document,
    digest: Digest,
}

/// The applied configuration and ledger.
#[derive(Debug, Default)]
pub struct AppliedState {
    configuration: ActiveConfiguration,
    ledger: Ledger,
}

impl AppliedState {
    /// Returns the applied configuration in typed form.
    pub fn fleet(&self) -> &Fleet {
        self.configuration.fleet()
    }

    /// Returns the applied maintenance ledger.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the placement of each host: the configuration combined with the ledger.
    pub fn placement(&self) -> Placement {
        self.ledger.placement(self.fleet())
    }

    /// Applies the configuration revision that follows the applied one.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] if the revision is older, doesn't follow the applied one,
    /// or is corrupt.
    pub fn apply_revision(&mut self, revision: &Revision) -> Result<(), ApplyError> {
        Ok(self.configuration.apply_revision(revision)?)
    }

    /// Applies all declarations of revision `number`.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] if they are older than the applied ones or corrupt.
    pub fn apply_snapshot(
        &mut self,
        number: u64,
        document: &Document,
        digest: Digest,
    ) -> Result<(), ApplyError> {
        Ok(self
            .configuration
            .apply_document(number, document, digest)?)
    }

    /// Applies a newer ledger.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] if the ledger is not newer than the applied one.
    pub fn replace_ledger(&mut self, ledger: Ledger) -> Result<(), ApplyError> {
        let (offered, held) = (ledger.generation(), self.ledger.generation());
        if offered <= held {
            return Err(ApplyError::Ledger { offered, held });
        }
        self.ledger = ledger;
        Ok(())
    }

    /// Returns the records that a peer with the versions in `want` lacks.
    pub fn transfer(&self, want: peer::TransferRequest) -> peer::Transfer {
        let mut transfer = peer::Transfer::default();
        let revision = self.fleet().revision;
        if want.revision < revision {
            match self.configuration.revisions_after(want.revision) {
                Some(changes) => {
                    let encode = |change: &&Revision| encode(change.number, change);
                    transfer.changes = changes.iter().filter_map(encode).collect();
                }
                None => transfer.snapshot = encode(revision, &self.to_snapshot()),
            }
        }
        if want.ledger < self.ledger.generation() {
            transfer.ledger = encode(self.ledger.generation(), &self.ledger);
        }
        transfer
    }

    /// Applies the records that a peer sent. Records that are no longer newer are
    /// skipped.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] for the first record that can't be applied.
    pub fn apply_transfer(
        &mut self,
        transfer: &peer::Transfer,
    ) -> Result<(), ApplyError> {
        if let Some(snapshot) = &transfer.snapshot {
            let decoded: Snapshot = serde_json::from_str(&snapshot.body)?;
            let applied =
                self.apply_snapshot(snapshot.number, &decoded.document, decoded.digest);
            ignore_stale(applied)?;
        }
        for change in &transfer.changes {
            let revision = serde_json::from_str(&change.body)?;
            ignore_stale(self.apply_revision(&revision))?;
        }
        if let Some(ledger) = &transfer.ledger {
            let ledger = serde_json::from_str(&ledger.body)?;
            ignore_stale(self.replace_ledger(ledger))?;
        }
        Ok(())
    }

    fn to_snapshot(&self) -> Snapshot {
        Snapshot {
            document: self.configuration.document().clone(),
            digest: self.configuration.digest(),
        }
    }
}

/// Ignores records that are no longer newer because another source was faster.
fn ignore_stale(applied: Result<(), ApplyError>) -> Result<(), ApplyError> {
    match applied {
        Err(
            ApplyError::Configuration(active::ApplyError::Stale)
            | ApplyError::Ledger { .. },
        ) => Ok(()),
        other => other,
    }
}

fn encode<T: Serialize>(number: u64, value: &T) -> Option<peer::Revision> {
    let body = serde_json::to_string(value).ok()?;
    Some(peer::Revision { number, body })
}
