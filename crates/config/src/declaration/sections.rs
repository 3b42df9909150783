//! Collects the sections of all declaration files, with the location of each value.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use super::File;
use crate::document::{Id, Kind, Section};
use crate::mistake::suggest;
use crate::schema::{self, SectionLocation, ValueType};
use crate::{Document, Mistake, ini, key};

/// The sections of all files whose titles are valid.
#[derive(Debug, Default)]
pub(super) struct DeclaredSections {
    pub(super) sections: BTreeMap<Id, LocatedSection>,
}

/// A section with the file and lines it was read from.
#[derive(Debug)]
pub(super) struct LocatedSection {
    pub(super) file: String,
    pub(super) line: usize,
    pub(super) entries: BTreeMap<String, ini::Entry>,
}

impl LocatedSection {
    /// Returns a section that keeps the first entry of each repeated key.
    fn new(file: &str, section: ini::Section) -> Self {
        let mut entries = BTreeMap::new();
        for entry in section.entries {
            entries.entry(entry.key.clone()).or_insert(entry);
        }
        Self {
            file: file.to_owned(),
            line: section.line,
            entries,
        }
    }

    /// Returns the value of a key, unparsed.
    pub(super) fn get(&self, key: &str) -> Option<&str> {
        self.entries.get(key).map(|entry| entry.value.as_str())
    }

    /// Returns a mistake at a key, or at the section's title if the key isn't set.
    pub(super) fn mistake(&self, id: &Id, key: &str, message: String) -> Mistake {
        let line = self.entries.get(key).map_or(self.line, |entry| entry.line);
        Mistake::new(&self.file, line, message)
            .section(&id.to_string())
            .key(key)
    }
}

impl DeclaredSections {
    /// Adds the sections of a file and the mistakes found in each section by itself.
    pub(super) fn add(
        &mut self,
        file: &str,
        sections: Vec<ini::Section>,
        mistakes: &mut Vec<Mistake>,
    ) {
        for section in sections {
            let location = SectionLocation::new(file, &section);
            match self.check_new(location) {
                Ok(id) => {
                    mistakes.extend(
                        location.check(schema::fields(id.kind), &section.entries),
                    );
                    self.sections.insert(id, LocatedSection::new(file, section));
                }
                Err(mistake) => mistakes.push(*mistake),
            }
        }
    }

    /// Returns the kind and name of a section.
    ///
    /// Fails if the title is invalid or the section was declared before.
    fn check_new(&self, location: SectionLocation<'_>) -> Result<Id, Box<Mistake>> {
        let id = parse_title(location)?;
        match self.sections.get(&id) {
            Some(first) => {
                let message =
                    format!("declared already at {}:{}", first.file, first.line);
                Err(Box::new(location.mistake(&message)))
            }
            None => Ok(id),
        }
    }

    /// Returns the sections without their locations.
    pub(super) fn document(&self) -> Document {
        let mut document = Document::default();
        for (id, section) in &self.sections {
            let entries = section.entries.iter();
            document.insert(Section {
                id: id.clone(),
                properties: entries.map(|(key, entry)| (key, &entry.value)).collect(),
            });
        }
        document
    }

    /// Returns the sections of one kind, in order of name.
    pub(super) fn of_kind(
        &self,
        kind: Kind,
    ) -> impl Iterator<Item = (&Id, &LocatedSection)> {
        self.sections
            .range(Id::new(kind, "")..)
            .take_while(move |(id, _)| id.kind == kind)
    }
}

/// Parses a section title such as `team red`.
fn parse_title(location: SectionLocation<'_>) -> Result<Id, Box<Mistake>> {
    let (keyword, name) = match location.title.split_once(char::is_whitespace) {
        Some((keyword, name)) => (keyword, name.trim()),
        None => (location.title, ""),
    };
    let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.keyword() == keyword) else {
        let hint = suggest(keyword, &Kind::ALL.map(Kind::keyword));
        return Err(Box::new(
            location.mistake("unknown section").hint(Some(hint)),
        ));
    };
    match check_name(kind, name) {
        Ok(()) => Ok(Id::new(kind, name)),
        Err(error) => {
            let hint = format!("write {}", schema::title(kind));
            Err(Box::new(location.mistake(error.context()).hint(Some(hint))))
        }
    }
}

/// Checks the name in a section title; an access key's name is `TEAM/NAME`.
fn check_name(kind: Kind, name: &str) -> Result<(), crate::Error> {
    if kind != Kind::Key {
        return ValueType::Name.check(name);
    }
    let workspace = key::workspace_of(name)?;
    ValueType::Name.check(workspace)?;
    ValueType::Name.check(&name[workspace.len() + 1..])
}

/// Reads a file, or all `.ini` files below a folder in order of name.
pub(super) fn collect(path: &Path, files: &mut Vec<File>, mistakes: &mut Vec<Mistake>) {
    let displayed = path.display().to_string();
    let result = if path.is_dir() {
        collect_folder(path, files, mistakes)
    } else {
        fs::read_to_string(path).map(|text| {
            files.push(File {
                path: displayed.clone(),
                text,
            });
        })
    };
    if let Err(error) = result {
        mistakes.push(Mistake::new(
            &displayed,
            0,
            format!("can't be read: {error}"),
        ));
    }
}

fn collect_folder(
    path: &Path,
    files: &mut Vec<File>,
    mistakes: &mut Vec<Mistake>,
) -> std::io::Result<()> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(path)? {
        paths.push(entry?.path());
    }
    paths.sort();
    for path in paths {
        let is_declaration = path.extension().is_some_and(|extension| extension == "ini");
        if is_declaration || path.is_dir() {
            collect(&path, files, mistakes);
        }
    }
    Ok(())
}
