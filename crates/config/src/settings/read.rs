//! Reading and checking a settings file.

use std::path::Path;

use super::{SECTIONS, Settings, StoreKind, typed};
use crate::Report;
use crate::checked_file::{self, CheckedFile, FieldError};

/// Reads a settings file.
///
/// # Errors
///
/// Returns every mistake, or that the file can't be read.
pub fn read(path: impl AsRef<Path>) -> Result<Settings, Report> {
    let path = path.as_ref();
    parse(path, &checked_file::load(path)?)
}

/// Reads settings from the text of the file at `path`.
///
/// Relative paths in the settings start at the file's folder.
///
/// # Errors
///
/// Returns every mistake.
pub fn parse(path: &Path, text: &str) -> Result<Settings, Report> {
    let mut file = CheckedFile::new(path, text, SECTIONS);
    let settings = read_sections(&mut file, path.parent().unwrap_or(Path::new("")));
    file.finish(settings)
}

fn read_sections(file: &mut CheckedFile, folder: &Path) -> Option<Settings> {
    let entry = file.read_section("entry", typed::entry);
    let peers = file.read_section("peers", |reader| typed::peers(reader, folder));
    let store = file.read_section("store", typed::store);
    let limits = file.read_section("limits", typed::limits);
    let log = file.read_section("log", typed::log);
    let declarations = file.read_optional_section("declarations", |reader| {
        typed::declarations(reader, folder)
    });
    let hosts = file.read_optional_section("hosts", typed::hosts);
    if let Some(store) = &store {
        together(file, store.kind == StoreKind::Memory);
    }
    Some(Settings {
        entry: entry?,
        peers: peers?,
        store: store?,
        declarations,
        limits: limits?,
        log: log?,
        hosts,
    })
}

/// Refuses sections that don't go together.
fn together(file: &mut CheckedFile, is_memory: bool) {
    match (is_memory, file.has_section("declarations")) {
        (true, false) => {
            let fault = FieldError::new("kind", "memory needs a section [declarations]");
            file.add_error("store", fault);
        }
        (false, true) => {
            let message = "only for a store of kind memory; use rhubarbrill apply";
            file.add_error("declarations", FieldError::new("path", message));
        }
        (true, true) | (false, false) => {}
    }
}
