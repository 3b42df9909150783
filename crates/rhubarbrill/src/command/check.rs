//! `check`: reports every mistake in declarations, without a store.

use std::fmt;
use std::path::{Path, PathBuf};

use eyre::Result;
use rhubarbrill_config::declaration;
use rhubarbrill_config::document::{Digest, Kind};
use serde::Serialize;

use crate::exit::Exit;
use crate::output::Output;
use crate::settings;

#[derive(Debug, Serialize)]
struct CheckReport {
    sections: Vec<SectionCount>,
    digest: Digest,
    mistakes: [(); 0],
}

#[derive(Debug, Serialize)]
struct SectionCount {
    kind: Kind,
    count: usize,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.sections.iter();
        let counts: Vec<String> = counts
            .map(|section| format!("{} {}", section.kind, section.count))
            .collect();
        write!(f, "no mistakes: {}", counts.join(", "))
    }
}

pub fn run(settings: &Path, given: Vec<PathBuf>) -> Result<Output> {
    let default = match given.is_empty() {
        true => settings::read(settings)?.declarations,
        false => None,
    };
    let paths = super::resolve_paths(given, default.as_deref())?;
    let document = declaration::read(&paths)?;
    let count = |kind| SectionCount {
        kind,
        count: document.of_kind(kind).count(),
    };
    let report = CheckReport {
        sections: Kind::ALL.into_iter().map(count).collect(),
        digest: document.digest(),
        mistakes: [],
    };
    Ok(Output::new(Exit::Done, &report))
}
