//! Parses INI files into sections and entries with line numbers.
//!
//! The `ini` library doesn't report the line of a key, and stops at the first line that
//! it can't parse. Each line is therefore parsed separately by the library, so that line
//! numbers are exact and all invalid lines are reported. As a consequence, a value can't
//! span several lines.

use ini::Ini;

use crate::mistake::Mistake;

/// A section of a file, unchecked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Section {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

/// A key and its value in a file, unchecked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

enum Line {
    Blank,
    Section(String),
    Entry(String, String),
}

/// Returns the sections of a file, and adds its invalid lines to `mistakes`.
pub(crate) fn read(file: &str, text: &str, mistakes: &mut Vec<Mistake>) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for (index, raw) in text.lines().enumerate() {
        let line = index + 1;
        match (parse(raw), sections.last_mut()) {
            (Ok(Line::Blank), _) => {}
            (Ok(Line::Section(name)), _) => sections.push(Section {
                name,
                line,
                entries: Vec::new(),
            }),
            (Ok(Line::Entry(key, value)), Some(section)) => {
                section.entries.push(Entry { key, value, line });
            }
            (Ok(Line::Entry(key, _)), None) => {
                let mistake = Mistake::new(file, line, "key before the first section");
                mistakes.push(mistake.key(&key));
            }
            (Err(message), _) => mistakes.push(Mistake::new(file, line, message)),
        }
    }
    sections
}

/// Parses a single line; blank lines and comments give [`Line::Blank`].
fn parse(raw: &str) -> Result<Line, String> {
    let trimmed = raw.trim();
    if trimmed.is_empty() || trimmed.starts_with(['#', ';']) {
        return Ok(Line::Blank);
    }
    let parsed = Ini::load_from_str_noescape(trimmed).map_err(|error| error.msg)?;
    for (section, properties) in parsed.iter() {
        if let Some((key, value)) = properties.iter().next() {
            return Ok(Line::Entry(key.to_owned(), value.to_owned()));
        }
        if let Some(name) = section {
            return Ok(Line::Section(name.to_owned()));
        }
    }
    Err("neither a section title nor a key with a value".to_owned())
}
