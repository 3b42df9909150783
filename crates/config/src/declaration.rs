//! Declarations as operators keep them: INI files in a folder.

mod check;
mod sections;

use std::path::Path;

use crate::{Document, Mistake, Report, ini};

use sections::DeclaredSections;

/// A file's path, for messages, and its text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct File {
    /// Path as shown in messages.
    pub path: String,
    /// The content.
    pub text: String,
}

/// Reads files, and every `.ini` file below folders, and checks them as one whole.
///
/// # Errors
///
/// Returns every mistake, files that can't be read among them.
pub fn read<P: AsRef<Path>>(paths: &[P]) -> Result<Document, Report> {
    let (files, mistakes) = collect(paths);
    parse_and_check(&files, mistakes)
}

/// Reads files, and every `.ini` file below folders, without checking them.
///
/// # Errors
///
/// Returns the files that can't be read.
pub fn files<P: AsRef<Path>>(paths: &[P]) -> Result<Vec<File>, Report> {
    let (files, mistakes) = collect(paths);
    Report::check(mistakes, files)
}

/// Checks declarations that were already read.
///
/// # Errors
///
/// Returns every mistake.
///
/// # Example
///
/// ```
/// use rhubarbrill_config::declaration::{File, parse};
///
/// let file = File {
///     path: "fleet.ini".into(),
///     text: "[zone z1]\nregoin = south\n".into(),
/// };
/// let report = parse(&[file]).unwrap_err();
/// let shown = report.to_string();
/// assert!(shown.contains("fleet.ini:2: [zone z1] regoin: unknown key (did you mean region?)"));
/// ```
pub fn parse(files: &[File]) -> Result<Document, Report> {
    parse_and_check(files, Vec::new())
}

fn collect<P: AsRef<Path>>(paths: &[P]) -> (Vec<File>, Vec<Mistake>) {
    let mut files = Vec::new();
    let mut mistakes = Vec::new();
    for path in paths {
        sections::collect(path.as_ref(), &mut files, &mut mistakes);
    }
    if files.is_empty() && mistakes.is_empty() {
        mistakes.push(Mistake::new("", 0, "no declaration files found"));
    }
    (files, mistakes)
}

fn parse_and_check(
    files: &[File],
    mut mistakes: Vec<Mistake>,
) -> Result<Document, Report> {
    let mut declared = DeclaredSections::default();
    for file in files {
        let sections = ini::read(&file.path, &file.text, &mut mistakes);
        declared.add(&file.path, sections, &mut mistakes);
    }
    check::check_all(&declared, &mut mistakes);
    Report::check(mistakes, declared.document())
}
