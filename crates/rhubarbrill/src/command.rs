//! Implementations of the subcommands.

mod apply;
mod check;
mod confirmation;
mod events;
mod key;
mod plan;
mod questionnaire;
mod status;
mod wave;
mod zone;

use std::path::{Path, PathBuf};

use eyre::Result;
use rhubarbrill_config::{Document, declaration};

use crate::args::{Args, Command, KeyCommand};
use crate::output::{Output, Refusal};
use crate::settings::{self, Settings};

/// Runs the subcommand that was given.
pub fn run(args: Args) -> Result<Output> {
    let settings = || settings::read(&args.settings);
    match args.command {
        Command::Apply(apply) => apply::run(&settings()?, &apply),
        Command::Check(check) => check::run(&args.settings, check.paths),
        Command::Events(events) => events::run(&events),
        Command::Key(key) => match key.command {
            KeyCommand::Grant(grant) => key::grant(&args.settings, &grant),
            KeyCommand::Withdraw(withdraw) => key::withdraw(&settings()?, &withdraw),
        },
        Command::Plan(plan) => plan::run(&settings()?, plan.paths),
        Command::Questionnaire(questionnaire) => questionnaire::run(&questionnaire),
        Command::Status(_) => status::run(&settings()?),
        Command::Wave(wave) => wave::run(&settings()?, &wave.command),
        Command::Zone(zone) => zone::run(&zone.command),
    }
}

/// Returns the paths given on the command line, or the one in the settings if there are
/// none.
fn resolve_paths(given: Vec<PathBuf>, default: Option<&Path>) -> Result<Vec<PathBuf>> {
    match (given.is_empty(), default) {
        (false, _) => Ok(given),
        (true, Some(path)) => Ok(vec![path.to_owned()]),
        (true, None) => Err(Refusal(
            "no declarations: pass a path, or set path in [declarations] of the settings"
                .to_owned(),
        )
        .into()),
    }
}

fn read_declarations(settings: &Settings, given: Vec<PathBuf>) -> Result<Document> {
    let paths = resolve_paths(given, settings.declarations.as_deref())?;
    Ok(declaration::read(&paths)?)
}
