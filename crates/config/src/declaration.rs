//! Reads and checks the declarations that operators keep as INI files in a folder.

mod check;
mod sections;

use std::path::Path;

use crate::{Document, Mistake, Report, ini};

use sections::DeclaredSections;

/// The text of a declaration file and the path it is reported under.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct File {
    /// Path shown in messages.
    pub path: String,
    /// Content of the file, as INI.
    pub text: String,
}

/// Reads files, and all `.ini` files below folders, and checks them together.
///
/// # Errors
///
/// Returns all mistakes, including files that can't be read.
pub fn read<P: AsRef<Path>>(paths: &[P]) -> Result<Document, Report> {
    let (files, mistakes) = collect(paths);
    parse_and_check(&files, mistakes)
}

/// Reads files, and all `.ini` files below folders, without checking their content.
///
/// # Errors
///
/// Returns a mistake for each file that can't be read, or one if there is no file.
pub fn files<P: AsRef<Path>>(paths: &[P]) -> Result<Vec<File>, Report> {
    let (files, mistakes) = collect(paths);
    Report::check(mistakes, files)
}

/// Parses and checks declarations that were read before.
///
/// # Errors
///
/// Returns all mistakes in all files.
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
/// let message = report.to_string();
/// assert!(message.contains("fleet.ini:2: [zone z1] regoin: unknown key (did you mean region?)"));
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
