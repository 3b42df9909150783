//! The answers of a new workspace are turned into valid declarations.

mod support;

use std::path::Path;

use rhubarbrill_config::questionnaire;
use rhubarbrill_core::fleet::Fleet;
use rstest::rstest;

use support::{Case, VALID, document};

const ANSWERS: &str = "\
[team]
name = green
busiest-rate = 20
mean-run-time = 400ms
[queue]
name = valuations
pool = quotes
path = /valuations
longest-run-time = 20s
longest-wait = 5s
[key]
name = desk
";

#[rstest]
fn answers_generate_valid_declarations() {
    let onboarding = questionnaire::generate(Path::new("green.ini"), ANSWERS).unwrap();
    let text = onboarding.to_string();
    assert!(!text.contains(onboarding.token.rsplit('_').next().unwrap()));
    let mut fleet = Fleet::default();
    document(&format!("{VALID}{text}"))
        .update_fleet(&mut fleet, 1)
        .unwrap();
    let workspace = fleet
        .workspaces
        .get(fleet.workspaces.find("green").unwrap())
        .unwrap();
    assert_eq!((workspace.share, workspace.limit), (1, 12));
    let queue = fleet.queues.find("valuations").unwrap();
    assert_eq!(fleet.queues.get(queue).unwrap().max_waiting, 100);
    let key = rhubarbrill_config::key::verify(&fleet, &onboarding.token).unwrap();
    assert_eq!(fleet.access_keys.name(key), Some("green/desk"));
}

const CASES: &[Case] = &[
    Case {
        name: "missing rate",
        from: "busiest-rate = 20\n",
        to: "",
        expected: &[":1: [team] busiest-rate: missing key"],
    },
    Case {
        name: "mistakes in two sections",
        from: "mean-run-time = 400ms\n[queue]\nname = valuations",
        to: "mean-run-time = 400\n[queue]\nname = Valuations",
        expected: &[
            ":4: [team] mean-run-time: \"400\" has no unit",
            ":6: [queue] name: \"Valuations\" is not a name",
        ],
    },
    Case {
        name: "misspelt section",
        from: "[queue]",
        to: "[queu]",
        expected: &[":5: [queu] unknown section (did you mean queue?)"],
    },
];

#[rstest]
fn mistakes_are_reported_with_their_location() {
    for case in CASES {
        let answers = ANSWERS.replacen(case.from, case.to, 1);
        let report =
            questionnaire::generate(Path::new("green.ini"), &answers).unwrap_err();
        case.compare("green.ini", &report);
    }
}

#[rstest]
fn an_empty_questionnaire_reports_all_missing_answers() {
    let report = questionnaire::generate(Path::new("q.ini"), &questionnaire::template());
    let message = report.unwrap_err().to_string();
    for key in ["name", "busiest-rate", "mean-run-time"] {
        assert!(
            message.contains(&format!("[team] {key}: ")),
            "{key}: {message}"
        );
    }
}
