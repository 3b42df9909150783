//! Tests that `docs/EVENTS.md` matches the catalogue and that event numbers are unique
//! and in ascending order.

use std::fmt::Write;

use rhubarbrill_event::Event;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// Renders the catalogue as a Markdown page.
fn render_page() -> String {
    let mut page = String::from(
        "# Events\n\nEvery log line of the daemon carries the number of one of these \
         events. `rhubarbrill events\nNUMBER` prints the same text.\n\n\
         | number | name | severity | what happened | what to do |\n|---|---|---|---|---|\n",
    );
    for event in Event::ALL {
        writeln!(
            page,
            "| {} | {} | {} | {} | {} |",
            event.number(),
            event.name(),
            event.severity().as_str(),
            event.meaning(),
            event.advice(),
        )
        .expect("writing to a string succeeds");
    }
    page
}

#[test]
fn numbers_are_ascending() {
    assert!(
        Event::ALL
            .windows(2)
            .all(|pair| pair[0].number() < pair[1].number())
    );
}

#[test]
fn page_matches_catalogue() {
    let expected = render_page();
    if std::env::var_os("WRITE_EVENTS_PAGE").is_some() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
        std::fs::write(path, &expected).expect("docs/EVENTS.md is writable");
        return;
    }
    assert_eq!(
        PAGE, expected,
        "run the test with WRITE_EVENTS_PAGE=1 to update docs/EVENTS.md"
    );
}
