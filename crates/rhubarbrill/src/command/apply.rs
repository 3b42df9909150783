//! `apply`: makes declarations the next revision of the configuration.

use eyre::Result;

use super::confirmation::Confirmation;
use crate::args::Apply;
use crate::output::{Output, Refusal};
use crate::settings::Settings;
use crate::store::Registry;

pub fn run(settings: &Settings, args: &Apply) -> Result<Output> {
    if args.wait && settings.entries.operators.is_empty() {
        let message = "--wait requires operators in [entries] of the settings";
        return Err(Refusal(message.to_owned()).into());
    }
    let confirmation = accept(settings, args)?;
    if args.wait {
        return Ok(confirmation.wait_for_entries(&settings.entries).output());
    }
    Ok(confirmation.output())
}

fn accept(settings: &Settings, args: &Apply) -> Result<Confirmation> {
    let document = super::read_declarations(settings, args.paths.clone())?;
    let registry = Registry::open(settings)?;
    let loaded = registry.load()?;
    if let Some(base) = args.base
        && base != loaded.revision
    {
        return Ok(Confirmation::conflict(loaded.revision, &loaded.author));
    }
    if loaded.document == document {
        let head = registry.confirm_head()?;
        if head.number != loaded.revision {
            return Ok(Confirmation::conflict(head.number, &head.author));
        }
        return Ok(Confirmation::unchanged(loaded.revision));
    }
    let outcome = registry.accept(&loaded, &document)?;
    Ok(Confirmation::from_outcome(&outcome))
}
