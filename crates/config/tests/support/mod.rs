//! Declarations shared by the tests, and the comparison of reported mistakes.

#![allow(dead_code, reason = "each test file uses a part")]

use rhubarbrill_config::declaration::{self, File};
use rhubarbrill_config::{Document, Report};

/// The valid declarations of a small fleet.
pub const VALID: &str = "\
[zone z1]
region = south
[zone z2]
region = south
[team red]
share = 3
limit = 16
[team blue]
share = 1
limit = 8
when-cut-off = refuse
[pool quotes]
max-out = 50%
max-out-per-rack = 1
max-out-per-zone = 1
[host h1]
pool = quotes
zone = z1
rack = r1
address = 127.0.0.1:9001
slots = 8
connections = 64
[host h2]
pool = quotes
zone = z2
rack = r2
address = 127.0.0.1:9002
slots = 8
connections = 64
[queue quotes]
pool = quotes
path = /quotes
max-run-time = 10s
max-waiting = 100
[queue walk-in]
pool = quotes
path = /walk-in
open = yes
team = blue
max-run-time = 500ms
max-waiting = 10
[key red/counter]
salt = 00112233445566778899aabbccddeeff
digest = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
";

/// Parses and checks `text` as a file named `fleet.ini`.
pub fn parse(text: &str) -> Result<Document, Report> {
    let path = "fleet.ini".to_owned();
    let text = text.to_owned();
    declaration::parse(&[File { path, text }])
}

/// Returns [`VALID`] with the first occurrence of `from` replaced by `to`.
pub fn with_replacement(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from:?} is not in the declarations");
    VALID.replacen(from, to, 1)
}

/// Returns the document of valid declarations; panics if they have mistakes.
pub fn document(text: &str) -> Document {
    parse(text).unwrap_or_else(|report| panic!("{report}"))
}

/// A replacement that introduces mistakes, and the messages expected for them.
pub struct Case {
    pub name: &'static str,
    /// Text whose first occurrence is replaced by `to`.
    pub from: &'static str,
    pub to: &'static str,
    /// Start of each expected message, following the path of the file.
    pub expected: &'static [&'static str],
}

impl Case {
    /// Checks that a report has exactly the expected mistakes, in order.
    pub fn compare(&self, path: &str, report: &Report) {
        let displayed: Vec<String> =
            report.mistakes.iter().map(ToString::to_string).collect();
        let matches = displayed.len() == self.expected.len()
            && std::iter::zip(&displayed, self.expected).all(|(actual, expected)| {
                actual.starts_with(&format!("{path}{expected}"))
            });
        assert!(matches, "{}: {displayed:#?}", self.name);
    }
}
