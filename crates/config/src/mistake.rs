//! Mistakes in declarations and settings, with their locations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A mistake in an INI file.
#[derive(
    Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Mistake {
    /// Path of the file; empty if no file was found.
    pub file: String,
    /// Line number, from 1; zero if the mistake concerns the whole file.
    pub line: usize,
    /// Title of the section without brackets, if the mistake concerns a section.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub section: Option<String>,
    /// Key at which the mistake was found, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Description of the mistake.
    pub message: String,
    /// Suggested correction, or the expected values.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<String>,
}

impl Mistake {
    /// Returns a mistake at a line of a file; line zero stands for the whole file.
    pub fn new(file: &str, line: usize, message: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            line,
            message: message.into(),
            ..Self::default()
        }
    }

    /// Sets the section title.
    #[must_use]
    pub fn section(mut self, name: &str) -> Self {
        self.section = Some(name.to_owned());
        self
    }

    /// Sets the key.
    #[must_use]
    pub fn key(mut self, name: &str) -> Self {
        self.key = Some(name.to_owned());
        self
    }

    /// Sets the hint, or clears it if `None`.
    #[must_use]
    pub fn hint(mut self, hint: Option<String>) -> Self {
        self.hint = hint;
        self
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if let Some(section) = &self.section {
            write!(f, "[{section}] ")?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        f.write_str(&self.message)?;
        match &self.hint {
            Some(hint) => write!(f, " ({hint})"),
            None => Ok(()),
        }
    }
}

/// All mistakes found by a check, sorted by file and line.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Mistakes, sorted and without duplicates.
    pub mistakes: Vec<Mistake>,
}

impl Report {
    /// Returns `value` if there are no mistakes.
    ///
    /// # Errors
    ///
    /// Returns the report of the mistakes, if there are any.
    pub(crate) fn check<T>(mistakes: Vec<Mistake>, value: T) -> Result<T, Self> {
        if mistakes.is_empty() {
            return Ok(value);
        }
        Err(Self::from(mistakes))
    }
}

impl From<Vec<Mistake>> for Report {
    fn from(mut mistakes: Vec<Mistake>) -> Self {
        mistakes.sort();
        mistakes.dedup();
        Self { mistakes }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.mistakes.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Report {}

/// Returns a hint with the known word most similar to `given`, or with all known words if
/// none is similar.
pub(crate) fn suggest(given: &str, known: &[&str]) -> String {
    match nearest(given, known.iter().copied()) {
        Some(name) => format!("did you mean {name}?"),
        None => format!("known: {}", known.join(", ")),
    }
}

/// Returns the known word with the smallest edit distance from `given`.
///
/// Returns `None` if that distance is more than a third of the letters of `given`,
/// rounded up.
pub(crate) fn nearest<'a>(
    given: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let max_distance = given.chars().count().div_ceil(3);
    let (distance, name) = known
        .into_iter()
        .map(|name| (edit_distance(given, name), name))
        .min()?;
    (distance <= max_distance).then_some(name)
}

/// Returns the Levenshtein distance of two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, &to) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(from != to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
