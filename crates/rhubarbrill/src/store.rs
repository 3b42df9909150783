//! Access of the command line to the configuration and the maintenance ledger in the
//! platform's store.

use std::time::Duration;

use eyre::{Result, eyre};
use rhubarbrill_config::Document;
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::Command;
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::record::Backoff;
use rhubarbrill_edge::store::{Gateway, Prefixed};
use rhubarbrill_registry::configuration::{
    Configuration, ConflictingRevision, Head, LoadedConfiguration, Outcome, Proposal,
};
use rhubarbrill_registry::maintenance;

use crate::settings::Settings;

/// Maximum number of attempts of an edit that conflicts with changes of other operators.
const MAX_EDIT_ATTEMPTS: u32 = 5;

/// Retries and backoff of a change to the maintenance ledger.
const MAX_RETRIES: u32 = 8;
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The store, and the operator on whose behalf it is changed.
#[derive(Debug)]
pub struct Registry {
    store: Prefixed<Gateway>,
    operator: String,
}

impl Registry {
    /// Returns the store named in the settings; no request is sent yet.
    pub fn open(settings: &Settings) -> Result<Self> {
        let urls = settings.store.urls.iter().cloned();
        let gateway = Gateway::try_new(urls)?.with_timeout(settings.store.timeout);
        Ok(Self {
            store: Prefixed::new(gateway, &settings.store.prefix),
            operator: settings.operator.clone(),
        })
    }

    /// Reads the configuration in force.
    pub fn load(&self) -> Result<LoadedConfiguration> {
        Ok(self.configuration().load()?)
    }

    /// Reads the number of the newest accepted revision.
    pub fn newest_revision(&self) -> Result<u64> {
        let head = self.configuration().head()?;
        Ok(head.map_or(0, |head| head.number))
    }

    /// Proposes `document` as the revision after the loaded one.
    pub fn accept(
        &self,
        loaded: &LoadedConfiguration,
        document: &Document,
    ) -> Result<Outcome> {
        let proposal = Proposal::try_new(loaded, document, &self.operator, now())?;
        Ok(self.configuration().accept(&proposal)?)
    }

    /// Returns the newest revision by a linearizable read, even if plain reads are stale.
    pub fn confirm_head(&self) -> Result<Head> {
        Ok(self.configuration().confirm_head()?)
    }

    /// Applies an edit to the configuration in force, without overwriting changes that
    /// other operators make in between.
    ///
    /// A conflicting edit is tried again. An edit that fails is also tried again if it
    /// was made on a stale revision.
    pub fn edit(&self, edit: impl Fn(&mut Document) -> Result<()>) -> Result<Outcome> {
        let mut last_conflict = None;
        for _ in 0..MAX_EDIT_ATTEMPTS {
            let loaded = self.load()?;
            let mut document = loaded.document.clone();
            let outcome = match edit(&mut document) {
                Ok(()) => self.accept(&loaded, &document)?,
                Err(error) => {
                    let head = self.confirm_head()?;
                    if head.number == loaded.revision {
                        return Err(error);
                    }
                    Outcome::Conflict(ConflictingRevision::from(&head))
                }
            };
            if !matches!(outcome, Outcome::Conflict(_)) {
                return Ok(outcome);
            }
            last_conflict = Some(outcome);
        }
        last_conflict.ok_or_else(|| eyre!("no attempt was made"))
    }

    /// Applies a command to the maintenance ledger, checked against the configuration in
    /// force.
    pub fn apply_maintenance(
        &self,
        command: &Command,
    ) -> Result<maintenance::ChangeOutcome> {
        let mut fleet = Fleet::default();
        let loaded = self.load()?;
        loaded.document.update_fleet(&mut fleet, loaded.revision)?;
        let seen = maintenance::read(&self.store)?.generation();
        let backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF, MAX_RETRIES);
        let commands = std::slice::from_ref(command);
        Ok(maintenance::change(
            &self.store,
            backoff,
            &fleet,
            seen,
            commands,
        )?)
    }

    fn configuration(&self) -> Configuration<'_, Prefixed<Gateway>> {
        Configuration::new(&self.store)
    }
}

/// Returns the current wall-clock time.
pub fn now() -> Timestamp {
    let elapsed = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    Timestamp::from_millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
