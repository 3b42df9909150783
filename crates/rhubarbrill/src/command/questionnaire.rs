//! `questionnaire`: generates declarations from the answers of a new workspace.

use std::fmt;

use eyre::Result;
use rhubarbrill_config::declaration::{self, File};
use rhubarbrill_config::{checked_file, questionnaire};
use serde::Serialize;

use crate::args::Questionnaire;
use crate::exit::Exit;
use crate::output::Output;

/// File name shown in messages about the generated sections.
const GENERATED_PATH: &str = "(generated)";

#[derive(Debug, Serialize)]
struct Generated {
    ini: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    token: Option<String>,
}

impl fmt::Display for Generated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.ini)
    }
}

pub fn run(args: &Questionnaire) -> Result<Output> {
    let Some(path) = &args.answers else {
        let generated = Generated {
            ini: questionnaire::template(),
            token: None,
        };
        return Ok(Output::new(Exit::Done, &generated));
    };
    let onboarding = questionnaire::generate(path, &checked_file::load(path)?)?;
    let ini = onboarding.to_string();
    if !args.with.is_empty() {
        let mut files = declaration::files(&args.with)?;
        files.push(File {
            path: GENERATED_PATH.to_owned(),
            text: ini.clone(),
        });
        declaration::parse(&files)?;
    }
    let note = format!("token, shown only this once: {}", onboarding.token);
    let generated = Generated {
        ini,
        token: Some(onboarding.token),
    };
    Ok(Output::new(Exit::Done, &generated).note(note))
}
