//! Checks that a features file switches on exactly what it says, and that mistakes in it
//! are reported instead of leaving a feature off silently.

use std::path::Path;

use rhubarbrill_config::features;
use rhubarbrill_core::job::{Feature, Features};
use rstest::rstest;

/// A features file and what it yields.
struct Case {
    text: &'static str,
    /// The features that are on, or a part of the message of the only mistake.
    expected: Result<&'static [Feature], &'static str>,
}

#[rstest]
#[case::none(Case { text: "[features]\n", expected: Ok(&[]) })]
#[case::two(Case {
    text: "[features]\nhand-over = yes\nadmission = no\ninterference = yes\n",
    expected: Ok(&[Feature::HandOver, Feature::Interference]),
})]
#[case::unknown_name(Case {
    text: "[features]\nhand-overs = yes\n",
    expected: Err("hand-over"),
})]
#[case::other_value(Case {
    text: "[features]\nhand-over = maybe\n",
    expected: Err("no or yes"),
})]
#[case::twice(Case {
    text: "[features]\nhand-over = yes\nhand-over = no\n",
    expected: Err("features.ini:3"),
})]
#[case::no_section(Case { text: "", expected: Err("features") })]
fn feature_files_are_checked(#[case] case: Case) {
    let read = features::parse(Path::new("features.ini"), case.text);
    match case.expected {
        Ok(expected) => {
            let expected: Features = expected.iter().copied().collect();
            assert_eq!(read.expect("no mistakes"), expected);
        }
        Err(part) => {
            let report = read.expect_err("a mistake").to_string();
            assert!(report.contains(part), "{report}");
        }
    }
}
