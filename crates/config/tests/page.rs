//! The tables in `docs/CONFIGURATION.md` match the schemas.

use rhubarbrill_config::document::Kind;
use rhubarbrill_config::schema::{self, Field};
use rhubarbrill_config::{questionnaire, settings};
use rstest::rstest;

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

/// Returns the text under a heading of the second level, with the heading.
fn chapter(title: &str) -> &'static str {
    let start = PAGE.find(&format!("\n## {title}\n")).expect(title);
    let rest = &PAGE[start + 1..];
    let end = rest.find("\n## ").unwrap_or(rest.len());
    &rest[..end]
}

fn section(title: &str, fields: &[Field]) -> String {
    format!("### `{title}`\n\n{}", schema::markdown(fields))
}

#[rstest]
fn the_page_lists_all_keys() {
    let declarations =
        Kind::ALL.map(|kind| section(schema::title(kind), schema::fields(kind)));
    let chapters = [
        ("Declarations", declarations.to_vec()),
        ("The daemon's settings", sections(settings::SECTIONS)),
        ("Questionnaire", sections(questionnaire::SECTIONS)),
    ];
    for (title, sections) in chapters {
        let text = chapter(title);
        for section in &sections {
            assert!(text.contains(section.as_str()), "{title} lacks:\n{section}");
        }
        assert_eq!(text.matches("\n### `[").count(), sections.len(), "{title}");
    }
}

fn sections(tables: &[rhubarbrill_config::checked_file::SectionSchema]) -> Vec<String> {
    let title = |section: &rhubarbrill_config::checked_file::SectionSchema| {
        format!("[{}]", section.title)
    };
    tables
        .iter()
        .map(|schema| section(&title(schema), schema.fields))
        .collect()
}
