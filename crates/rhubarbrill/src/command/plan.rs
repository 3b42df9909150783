//! `plan`: prints the changes that declarations make to the configuration in force.

use std::fmt;
use std::path::PathBuf;

use eyre::Result;
use rhubarbrill_config::Document;
use rhubarbrill_config::document::{Id, Properties};
use rhubarbrill_registry::configuration::LoadedConfiguration;
use serde::Serialize;

use crate::exit::Exit;
use crate::output::Output;
use crate::settings::Settings;
use crate::store::Registry;

/// Changes from the revision in force to a document.
#[derive(Debug, Serialize)]
pub struct Plan {
    base: u64,
    changes: Vec<Change>,
}

#[derive(Debug, Serialize)]
struct Change {
    action: Action,
    #[serde(flatten)]
    id: Id,
    properties: Vec<Property>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Action {
    Add,
    Change,
    Remove,
}

#[derive(Debug, Serialize)]
struct Property {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    to: Option<String>,
}

impl Plan {
    /// Returns the changes from the loaded configuration to `document`.
    pub fn new(loaded: &LoadedConfiguration, document: &Document) -> Self {
        let delta = loaded.document.diff(document);
        let upserts = delta.upserts.iter().map(|section| {
            let old = loaded.document.get(&section.id);
            let action = if old.is_some() {
                Action::Change
            } else {
                Action::Add
            };
            Change::new(action, &section.id, old, Some(&section.properties))
        });
        let removals = delta
            .removals
            .iter()
            .map(|id| Change::new(Action::Remove, id, loaded.document.get(id), None));
        Self {
            base: loaded.revision,
            changes: upserts.chain(removals).collect(),
        }
    }
}

impl Change {
    fn new(
        action: Action,
        id: &Id,
        old: Option<&Properties>,
        new: Option<&Properties>,
    ) -> Self {
        let pairs = [old, new].into_iter().flatten();
        let mut keys: Vec<&str> = pairs
            .flat_map(|all| all.iter().map(|(key, _)| key))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        let value = |all: Option<&Properties>, key| {
            all.and_then(|all| all.get(key)).map(str::to_owned)
        };
        let properties = keys.into_iter().map(|key| Property {
            key: key.to_owned(),
            from: value(old, key),
            to: value(new, key),
        });
        Self {
            action,
            id: id.clone(),
            properties: properties
                .filter(|property| property.from != property.to)
                .collect(),
        }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return write!(f, "no changes to revision {}", self.base);
        }
        writeln!(
            f,
            "{} changes to revision {}",
            self.changes.len(),
            self.base
        )?;
        self.changes
            .iter()
            .try_for_each(|change| write!(f, "{change}"))
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Add => '+',
            Action::Change => '~',
            Action::Remove => '-',
        };
        writeln!(f, "{sign} [{}]", self.id)?;
        if self.action == Action::Remove {
            return Ok(());
        }
        self.properties
            .iter()
            .try_for_each(|property| writeln!(f, "    {property}"))
    }
}

impl fmt::Display for Property {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, from, to } = self;
        match (from, to) {
            (Some(from), Some(to)) => write!(f, "{key} = {from} -> {to}"),
            (Some(from), None) => write!(f, "{key} = {from} -> (left out)"),
            (None, to) => write!(f, "{key} = {}", to.as_deref().unwrap_or_default()),
        }
    }
}

pub fn run(settings: &Settings, paths: Vec<PathBuf>) -> Result<Output> {
    let document = super::read_declarations(settings, paths)?;
    let loaded = Registry::open(settings)?.load()?;
    Ok(Output::new(Exit::Done, &Plan::new(&loaded, &document)))
}
