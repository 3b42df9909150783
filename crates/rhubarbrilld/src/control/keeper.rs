//! The configuration and ledger in force, which only ever get newer.

use rhubarbrill_config::active::{ActiveConfiguration, ApplyError};
use rhubarbrill_config::document::Digest;
use rhubarbrill_config::{Document, Revision};
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::Ledger;
use rhubarbrill_core::placement::Placement;
use rhubarbrill_peer as peer;
use serde::{Deserialize, Serialize};

/// Why an offered record was not put in force.
#[derive(Debug, thiserror::Error)]
pub enum Stale {
    /// The configuration was refused.
    #[error("configuration: {0}")]
    Configuration(#[from] ApplyError),
    /// The ledger is not newer than the one in force.
    #[error("ledger {offered} is not newer than {held}")]
    Ledger {
        /// Version of the ledger.
        offered: u64,
        /// Version in force.
        held: u64,
    },
    /// The record can't be read.
    #[error("record can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Whole declarations as peers send them.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Whole {
    document: Document,
    digest: Digest,
}

/// The configuration and ledger in force.
#[derive(Debug, Default)]
pub struct Keeper {
    configuration: ActiveConfiguration,
    ledger: Ledger,
}

impl Keeper {
    /// Returns the configuration in typed form.
    pub fn fleet(&self) -> &Fleet {
        self.configuration.fleet()
    }

    /// Returns the maintenance ledger.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns where each host stands.
    pub fn placement(&self) -> Placement {
        self.ledger.placement(self.fleet())
    }

    /// Puts the next change in force.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] when the change is older, does not follow, or is damaged.
    pub fn change(&mut self, revision: &Revision) -> Result<(), Stale> {
        Ok(self.configuration.apply_revision(revision)?)
    }

    /// Puts whole declarations in force.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] when they are older or damaged.
    pub fn snapshot(
        &mut self,
        number: u64,
        document: &Document,
        digest: Digest,
    ) -> Result<(), Stale> {
        Ok(self
            .configuration
            .apply_document(number, document, digest)?)
    }

    /// Puts a newer ledger in force.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] when it is older.
    pub fn replace_ledger(&mut self, ledger: Ledger) -> Result<(), Stale> {
        let (offered, held) = (ledger.generation(), self.ledger.generation());
        if offered <= held {
            return Err(Stale::Ledger { offered, held });
        }
        self.ledger = ledger;
        Ok(())
    }

    /// Returns what a peer lacks.
    pub fn transfer(&self, want: peer::Want) -> peer::Transfer {
        let mut transfer = peer::Transfer::default();
        let revision = self.fleet().revision;
        if want.revision < revision {
            match self.configuration.revisions_after(want.revision) {
                Some(changes) => {
                    let encode = |change: &&Revision| encode(change.number, change);
                    transfer.changes = changes.iter().filter_map(encode).collect();
                }
                None => transfer.snapshot = encode(revision, &self.whole()),
            }
        }
        if want.ledger < self.ledger.generation() {
            transfer.ledger = encode(self.ledger.generation(), &self.ledger);
        }
        transfer
    }

    /// Puts what a peer sent in force.
    ///
    /// # Errors
    ///
    /// Returns [`Stale`] at the first record that can't be put in force.
    pub fn receive(&mut self, transfer: &peer::Transfer) -> Result<(), Stale> {
        if let Some(snapshot) = &transfer.snapshot {
            let whole: Whole = serde_json::from_str(&snapshot.body)?;
            let taken = self.snapshot(snapshot.number, &whole.document, whole.digest);
            pass_over_older(taken)?;
        }
        for change in &transfer.changes {
            let revision = serde_json::from_str(&change.body)?;
            pass_over_older(self.change(&revision))?;
        }
        if let Some(ledger) = &transfer.ledger {
            let ledger = serde_json::from_str(&ledger.body)?;
            pass_over_older(self.replace_ledger(ledger))?;
        }
        Ok(())
    }

    fn whole(&self) -> Whole {
        Whole {
            document: self.configuration.document().clone(),
            digest: self.configuration.digest(),
        }
    }
}

/// Passes over what another source has put in force meanwhile.
fn pass_over_older(taken: Result<(), Stale>) -> Result<(), Stale> {
    match taken {
        Err(Stale::Configuration(ApplyError::Stale) | Stale::Ledger { .. }) => Ok(()),
        other => other,
    }
}

fn encode<T: Serialize>(number: u64, value: &T) -> Option<peer::Revision> {
    let body = serde_json::to_string(value).ok()?;
    Some(peer::Revision { number, body })
}
