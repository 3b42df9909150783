//! Reads and checks a settings file.

use std::path::Path;

use super::{SECTIONS, Settings, StoreKind, sections};
use crate::Report;
use crate::checked_file::{self, CheckedFile, FieldError};

/// Reads a settings file.
///
/// # Errors
///
/// Returns all mistakes, or a single one if the file can't be read.
pub fn read(path: impl AsRef<Path>) -> Result<Settings, Report> {
    let path = path.as_ref();
    parse(path, &checked_file::load(path)?)
}

/// Reads settings from the text of the file at `path`.
///
/// Relative paths in the settings are resolved against the folder of the file.
///
/// # Errors
///
/// Returns all mistakes.
pub fn parse(path: &Path, text: &str) -> Result<Settings, Report> {
    let mut file = CheckedFile::new(path, text, SECTIONS);
    let settings = read_sections(&mut file, path.parent().unwrap_or(Path::new("")));
    file.finish(settings)
}

fn read_sections(file: &mut CheckedFile, folder: &Path) -> Option<Settings> {
    let entry = file.read_section("entry", sections::entry);
    let peers = file.read_section("peers", |reader| sections::peers(reader, folder));
    let store = file.read_section("store", sections::store);
    let limits = file.read_section("limits", sections::limits);
    let log = file.read_section("log", sections::log);
    let declarations = file.read_optional_section("declarations", |reader| {
        sections::declarations(reader, folder)
    });
    let hosts = file.read_optional_section("hosts", sections::hosts);
    if let Some(store) = &store {
        check_store_and_declarations(file, store.kind == StoreKind::Memory);
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

/// Requires declarations with the in-memory store, and rejects them with any other.
fn check_store_and_declarations(file: &mut CheckedFile, is_memory: bool) {
    match (is_memory, file.has_section("declarations")) {
        (true, false) => {
            let error =
                FieldError::new("kind", "memory requires a section [declarations]");
            file.add_error("store", error);
        }
        (false, true) => {
            let message =
                "only for a store of kind memory; otherwise use rhubarbrill apply";
            file.add_error("declarations", FieldError::new("path", message));
        }
        (true, true) | (false, false) => {}
    }
}
