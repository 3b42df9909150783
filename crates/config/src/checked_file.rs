//! INI files with a fixed set of sections, each checked against a schema.
//!
//! The settings of the daemon and of the command line, and the questionnaire of a new
//! workspace, are read this way: all sections are checked, the valid ones are converted
//! to types, and all mistakes are returned together.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use crate::document::Properties;
use crate::mistake::suggest;
use crate::schema::{Field, Reader, SectionLocation};
use crate::{Error, Mistake, Report, ini};

/// The schema of one section of a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SectionSchema {
    /// Section title, without brackets.
    pub title: &'static str,
    /// Whether the file must contain the section.
    pub is_required: bool,
    /// Keys that the section may contain.
    pub fields: &'static [Field],
}

/// An error at one key of a section.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldError {
    key: String,
    message: String,
}

impl FieldError {
    /// Returns an error at a key.
    pub fn new(key: &str, message: impl Into<String>) -> Self {
        Self {
            key: key.to_owned(),
            message: message.into(),
        }
    }
}

impl From<Error> for FieldError {
    fn from(error: Error) -> Self {
        match error.context().split_once(": ") {
            Some((key, message)) => Self::new(key, message),
            None => Self::new(error.context(), "missing key"),
        }
    }
}

/// The sections of a file, and the mistakes found so far.
#[derive(Debug)]
pub struct CheckedFile {
    path: String,
    schemas: &'static [SectionSchema],
    sections: BTreeMap<&'static str, Section>,
    mistakes: Vec<Mistake>,
}

#[derive(Debug)]
struct Section {
    raw: ini::Section,
    properties: Properties,
    is_valid: bool,
}

/// Reads the text of a file.
///
/// # Errors
///
/// Returns a mistake if the file can't be read.
pub fn load(path: &Path) -> Result<String, Report> {
    fs::read_to_string(path).map_err(|error| {
        let displayed = path.display().to_string();
        Report::from(vec![Mistake::new(
            &displayed,
            0,
            format!("can't be read: {error}"),
        )])
    })
}

impl CheckedFile {
    /// Parses the text of the file at `path`, and checks each section against `schemas`.
    ///
    /// The path is only used in messages.
    pub fn new(path: &Path, text: &str, schemas: &'static [SectionSchema]) -> Self {
        let path = path.display().to_string();
        let mut mistakes = Vec::new();
        let sections = ini::read(&path, text, &mut mistakes);
        let mut file = Self {
            path,
            schemas,
            sections: BTreeMap::new(),
            mistakes,
        };
        for section in sections {
            file.add_section(section);
        }
        file.check_required_sections();
        file
    }

    /// Returns whether the file contains the section, even if it is invalid.
    pub fn has_section(&self, title: &str) -> bool {
        self.sections.contains_key(title)
    }

    /// Reads a section; an optional one that is absent is read with its defaults.
    ///
    /// Returns `None` if the section has mistakes, which [`CheckedFile::finish`] returns.
    pub fn read_section<T>(
        &mut self,
        title: &str,
        read: impl FnOnce(Reader<'_>) -> Result<T, FieldError>,
    ) -> Option<T> {
        let schema = self.schemas.iter().find(|schema| schema.title == title)?;
        let defaults = Properties::default();
        let properties = match self.sections.get(title) {
            Some(section) if section.is_valid => &section.properties,
            None if !schema.is_required => &defaults,
            _ => return None,
        };
        match read(Reader::new(schema.fields, properties)) {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_error(title, error);
                None
            }
        }
    }

    /// Reads a section, or returns `None` if the file doesn't contain it.
    pub fn read_optional_section<T>(
        &mut self,
        title: &str,
        read: impl FnOnce(Reader<'_>) -> Result<T, FieldError>,
    ) -> Option<T> {
        if !self.has_section(title) {
            return None;
        }
        self.read_section(title, read)
    }

    /// Adds a mistake at a key of a section.
    pub fn add_error(&mut self, title: &str, error: FieldError) {
        let line = self.sections.get(title).map_or(0, |section| {
            let mut entries = section.raw.entries.iter();
            let entry = entries.find(|entry| entry.key == error.key);
            entry.map_or(section.raw.line, |entry| entry.line)
        });
        let mistake = Mistake::new(&self.path, line, error.message);
        self.mistakes.push(mistake.section(title).key(&error.key));
    }

    /// Returns `content` if the file has no mistakes.
    ///
    /// # Errors
    ///
    /// Returns all mistakes found in the file.
    pub fn finish<T>(self, content: Option<T>) -> Result<T, Report> {
        match content {
            Some(content) if self.mistakes.is_empty() => Ok(content),
            _ => Err(Report::from(self.mistakes)),
        }
    }

    fn add_section(&mut self, raw: ini::Section) {
        let location = SectionLocation::new(&self.path, &raw);
        let Some(schema) = self.schemas.iter().find(|schema| schema.title == raw.name)
        else {
            let titles: Vec<&str> =
                self.schemas.iter().map(|schema| schema.title).collect();
            let hint = suggest(&raw.name, &titles);
            let mistake = location.mistake("unknown section");
            self.mistakes.push(mistake.hint(Some(hint)));
            return;
        };
        if let Some(first) = self.sections.get(schema.title) {
            let message = format!("already given on line {}", first.raw.line);
            self.mistakes.push(location.mistake(&message));
            return;
        }
        let mistakes = location.check(schema.fields, &raw.entries);
        let entries = raw.entries.iter();
        let section = Section {
            properties: entries.map(|entry| (&entry.key, &entry.value)).collect(),
            is_valid: mistakes.is_empty(),
            raw,
        };
        self.mistakes.extend(mistakes);
        self.sections.insert(schema.title, section);
    }

    fn check_required_sections(&mut self) {
        for schema in self.schemas {
            if schema.is_required && !self.has_section(schema.title) {
                let mistake = Mistake::new(&self.path, 0, "missing section");
                self.mistakes.push(mistake.section(schema.title));
            }
        }
    }
}
