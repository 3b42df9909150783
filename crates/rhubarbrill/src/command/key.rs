//! `key`: grants and withdraws access keys.

use std::fmt;
use std::path::Path;

use eyre::Result;
use rhubarbrill_config::document::{Id, Kind, Section};
use rhubarbrill_config::{Document, key};
use serde::Serialize;

use super::confirmation::Confirmation;
use crate::args::{Grant, Withdraw};
use crate::exit::Exit;
use crate::output::{Output, Refusal};
use crate::settings::{self, Settings};
use crate::store::Registry;

#[derive(Debug, Serialize)]
struct Granted {
    ini: String,
    token: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    change: Option<Confirmation>,
}

impl fmt::Display for Granted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.ini)
    }
}

pub fn grant(settings: &Path, args: &Grant) -> Result<Output> {
    let grant = key::grant(&args.workspace, &args.name)?;
    let change = match args.apply {
        true => Some(add_section(&settings::read(settings)?, &grant.section)?),
        false => None,
    };
    let mut note = format!("token, shown only this once: {}", grant.token);
    let exit = match &change {
        Some(change) => {
            note = format!("{change}{note}");
            change.output().exit()
        }
        None => Exit::Done,
    };
    let granted = Granted {
        ini: grant.section.to_string(),
        token: grant.token,
        change,
    };
    Ok(Output::new(exit, &granted).note(note))
}

fn add_section(settings: &Settings, section: &Section) -> Result<Confirmation> {
    let outcome = Registry::open(settings)?.edit(|document| {
        if document.get(&section.id).is_some() {
            return Err(Refusal(format!("[{}] is declared already", section.id)).into());
        }
        document.insert(section.clone());
        Ok(())
    })?;
    Ok(Confirmation::from_outcome(&outcome).wait_for_entries(&settings.entries))
}

pub fn withdraw(settings: &Settings, args: &Withdraw) -> Result<Output> {
    let id = Id::new(Kind::Key, format!("{}/{}", args.workspace, args.name));
    let remove = |document: &mut Document| {
        if document.get(&id).is_none() {
            return Err(Refusal(format!("[{id}] is not in force")).into());
        }
        document.remove(&id);
        Ok(())
    };
    let outcome = Registry::open(settings)?.edit(remove)?;
    let confirmation =
        Confirmation::from_outcome(&outcome).wait_for_entries(&settings.entries);
    let note =
        format!("remove [{id}] from the declarations too, or apply brings it back");
    Ok(confirmation.output().note(note))
}
