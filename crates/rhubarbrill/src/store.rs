//! The configuration in the platform's store, as the command line uses it.

use std::time::Duration;

use eyre::{Result, eyre};
use rhubarbrill_config::Document;
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::Command;
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::record::Backoff;
use rhubarbrill_edge::store::{Gateway, Prefixed};
use rhubarbrill_registry::configuration::{
    Configuration, Head, Loaded, Outcome, Proposal, Rival,
};
use rhubarbrill_registry::maintenance;

use crate::settings::Settings;

/// Tries of an edit that others' changes keep coming before.
const EDIT_ATTEMPTS: u32 = 5;

/// Waits between tries to change the maintenance ledger.
const ATTEMPTS: u32 = 8;
const FIRST_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The store with the operator who uses it.
#[derive(Debug)]
pub struct Registry {
    store: Prefixed<Gateway>,
    operator: String,
}

impl Registry {
    /// Returns the store that the settings name; nothing is sent yet.
    pub fn open(settings: &Settings) -> Result<Self> {
        let urls = settings.store.urls.iter().cloned();
        let gateway = Gateway::try_new(urls)?.with_timeout(settings.store.timeout);
        Ok(Self {
            store: Prefixed::new(gateway, &settings.store.prefix),
            operator: settings.operator.clone(),
        })
    }

    /// Reads what is in force.
    pub fn load(&self) -> Result<Loaded> {
        Ok(self.configuration().load()?)
    }

    /// Reads the number of the newest accepted revision.
    pub fn newest(&self) -> Result<u64> {
        let head = self.configuration().head()?;
        Ok(head.map_or(0, |head| head.number))
    }

    /// Proposes that `document` follows what was loaded.
    pub fn accept(&self, loaded: &Loaded, document: &Document) -> Result<Outcome> {
        let proposal = Proposal::try_new(loaded, document, &self.operator, now())?;
        Ok(self.configuration().accept(&proposal)?)
    }

    /// Returns the newest revision for certain, also when reads of the store lag.
    pub fn confirm_head(&self) -> Result<Head> {
        Ok(self.configuration().confirm_head()?)
    }

    /// Makes a small edit of whatever is in force; others' changes in between are kept.
    ///
    /// An edit that fails is tried again when it was made on an outdated revision.
    pub fn edit(&self, edit: impl Fn(&mut Document) -> Result<()>) -> Result<Outcome> {
        let mut last = None;
        for _ in 0..EDIT_ATTEMPTS {
            let loaded = self.load()?;
            let mut document = loaded.document.clone();
            let outcome = match edit(&mut document) {
                Ok(()) => self.accept(&loaded, &document)?,
                Err(error) => {
                    let head = self.confirm_head()?;
                    if head.number == loaded.revision {
                        return Err(error);
                    }
                    Outcome::Conflict(Rival::from(&head))
                }
            };
            if !matches!(outcome, Outcome::Conflict(_)) {
                return Ok(outcome);
            }
            last = Some(outcome);
        }
        last.ok_or_else(|| eyre!("no attempt was made"))
    }

    /// Applies a command to the maintenance ledger, checked against what is in force.
    pub fn maintain(&self, command: &Command) -> Result<maintenance::Answer> {
        let mut fleet = Fleet::default();
        let loaded = self.load()?;
        loaded.document.update_fleet(&mut fleet, loaded.revision)?;
        let seen = maintenance::read(&self.store)?.generation();
        let waits = Backoff::new(FIRST_WAIT, MAX_WAIT, ATTEMPTS);
        let commands = std::slice::from_ref(command);
        Ok(maintenance::change(
            &self.store,
            waits,
            &fleet,
            seen,
            commands,
        )?)
    }

    fn configuration(&self) -> Configuration<'_, Prefixed<Gateway>> {
        Configuration::new(&self.store)
    }
}

/// Returns the wall clock's reading.
pub fn now() -> Timestamp {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    Timestamp::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
