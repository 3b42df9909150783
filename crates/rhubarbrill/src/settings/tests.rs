//! Checks that `docs/CONFIGURATION.md` documents every settings key of the command line
//! and every exit code.

use rhubarbrill_config::schema;

use super::SECTIONS;
use crate::exit::Exit;

const PAGE: &str = include_str!("../../../../docs/CONFIGURATION.md");

#[test]
fn page_documents_every_key() {
    let (_, chapter) = PAGE
        .split_once("\n## The command line's settings\n")
        .unwrap();
    let chapter = chapter.split("\n## ").next().unwrap();
    for table in SECTIONS {
        let keys = schema::markdown(table.fields);
        let section = format!("### `[{}]`\n\n{keys}", table.title);
        assert!(chapter.contains(&section), "the page lacks:\n{section}");
    }
    assert_eq!(chapter.matches("\n### `[").count(), SECTIONS.len());
}

#[test]
fn page_documents_every_exit_code() {
    let codes = [
        Exit::Done,
        Exit::Refused,
        Exit::Usage,
        Exit::Conflict,
        Exit::Unknown,
        Exit::Unconfirmed,
        Exit::Failed,
    ];
    for exit in codes {
        let row = format!("\n| {} | ", exit as u8);
        assert!(PAGE.contains(&row), "the page lacks {exit:?}");
    }
}
