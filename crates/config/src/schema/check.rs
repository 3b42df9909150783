//! Checks a single section against its schema.

use super::{Field, Presence};
use crate::mistake::suggest;
use crate::{Mistake, ini};

/// The file, title and line of a section.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SectionLocation<'a> {
    pub(crate) file: &'a str,
    pub(crate) title: &'a str,
    pub(crate) line: usize,
}

impl<'a> SectionLocation<'a> {
    /// Returns the location of a section.
    pub(crate) fn new(file: &'a str, section: &'a ini::Section) -> Self {
        Self {
            file,
            title: &section.name,
            line: section.line,
        }
    }

    /// Returns a mistake at the section's title.
    pub(crate) fn mistake(&self, message: &str) -> Mistake {
        Mistake::new(self.file, self.line, message).section(self.title)
    }

    /// Returns the mistakes for missing, unknown and repeated keys and invalid values.
    pub(crate) fn check(
        &self,
        fields: &'static [Field],
        entries: &[ini::Entry],
    ) -> Vec<Mistake> {
        let is_set = |key: &str| entries.iter().any(|entry| entry.key == key);
        let missing = fields
            .iter()
            .filter(|field| field.presence == Presence::Required && !is_set(field.key))
            .map(|field| {
                self.mistake("missing key")
                    .key(field.key)
                    .hint(Some(format!("{}; {}", field.value, field.description)))
            });
        let repeated = entries.iter().enumerate().filter_map(|(index, entry)| {
            let first = entries[..index]
                .iter()
                .find(|other| other.key == entry.key)?;
            let message = format!("already given on line {}", first.line);
            Some(self.mistake_at(entry, &message))
        });
        let invalid = entries
            .iter()
            .filter_map(|entry| self.check_entry(fields, entry));
        missing.chain(repeated).chain(invalid).collect()
    }

    /// Returns a mistake if the key is unknown or its value invalid.
    fn check_entry(
        &self,
        fields: &'static [Field],
        entry: &ini::Entry,
    ) -> Option<Mistake> {
        let Some(field) = fields.iter().find(|field| field.key == entry.key) else {
            let known: Vec<&str> = fields.iter().map(|field| field.key).collect();
            let hint = suggest(&entry.key, &known);
            return Some(self.mistake_at(entry, "unknown key").hint(Some(hint)));
        };
        let error = field.value.check(&entry.value).err()?;
        let hint = format!("expected: {}", field.value);
        Some(self.mistake_at(entry, error.context()).hint(Some(hint)))
    }

    fn mistake_at(&self, entry: &ini::Entry, message: &str) -> Mistake {
        let mut mistake = self.mistake(message).key(&entry.key);
        mistake.line = entry.line;
        mistake
    }
}
