//! Output of a command, as text and as JSON.

use std::fmt::Display;

use eyre::Report;
use rhubarbrill_dispatch::platform::Failure;
use rhubarbrill_edge::store::{self, Effect};
use rhubarbrill_registry::configuration;
use serde::Serialize;
use serde_json::{Value, json};

use crate::exit::Exit;

/// The output of a command and its exit code.
#[derive(Clone, Debug)]
pub struct Output {
    exit: Exit,
    text: String,
    note: String,
    json: Value,
}

impl Output {
    /// Returns the output for `data`, which is printed by `Display` or serialized as
    /// JSON.
    pub fn new<T: Display + Serialize>(exit: Exit, data: &T) -> Self {
        Self {
            exit,
            text: data.to_string(),
            note: String::new(),
            json: serde_json::to_value(data).unwrap_or_default(),
        }
    }

    /// Sets a note, which is printed to standard error and isn't part of the JSON.
    #[must_use]
    pub fn note(mut self, note: impl Into<String>) -> Self {
        self.note = note.into();
        self
    }

    /// Returns the output for a command that failed; the error is part of the JSON.
    pub fn failure(report: &Report) -> Self {
        let mistakes = report.downcast_ref::<rhubarbrill_config::Report>();
        let text = match mistakes {
            Some(mistakes) => mistakes.to_string(),
            None => format!("{report:#}"),
        };
        let mistakes = mistakes.map(|report| &report.mistakes[..]);
        Self {
            exit: exit_code(report),
            json: json!({ "error": text, "mistakes": mistakes.unwrap_or_default() }),
            text: String::new(),
            note: text,
        }
    }

    /// Returns the exit code of the process.
    pub const fn exit(&self) -> Exit {
        self.exit
    }

    /// Prints the data to standard output and the note to standard error, or only the
    /// JSON to standard output if `is_json` is set.
    pub fn print(&self, is_json: bool) {
        if is_json {
            println!("{:#}", self.json);
            return;
        }
        if !self.text.is_empty() {
            println!("{}", self.text.trim_end());
        }
        if !self.note.is_empty() {
            eprintln!("{}", self.note.trim_end());
        }
    }
}

fn exit_code(report: &Report) -> Exit {
    if report.is::<rhubarbrill_config::Report>()
        || report.is::<rhubarbrill_config::Error>()
    {
        return Exit::Refused;
    }
    if report.is::<Refusal>() {
        return Exit::Refused;
    }
    if let Some(error) = report.downcast_ref::<store::Error>() {
        let is_unavailable = error.is_unreachable() || error.effect() == Effect::Unknown;
        return if is_unavailable {
            Exit::Unknown
        } else {
            Exit::Failed
        };
    }
    if report.is::<Failure>() {
        return Exit::Unknown;
    }
    match report.downcast_ref::<configuration::Error>() {
        Some(error) if error.is_store() || error.is_stale() => Exit::Unknown,
        _ => Exit::Failed,
    }
}

/// A request that is refused, with the reason; [`Exit::Refused`] is its exit code.
#[derive(Clone, Debug)]
pub struct Refusal(pub String);

impl Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Refusal {}
