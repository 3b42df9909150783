//! All mistakes in declarations are reported, each with its file, line and key.

mod support;

use rhubarbrill_config::declaration::{self, File};
use rstest::rstest;

use support::{Case, VALID, document, parse, with_replacement};

const CASES: &[Case] = &[
    Case {
        name: "misspelt section",
        from: "[zone z1]\nregion = south\n",
        to: "[zone z1]\nregion = south\n[teem green]\nshare = 1\n",
        expected: &[":3: [teem green] unknown section (did you mean team?)"],
    },
    Case {
        name: "misspelt key is also reported as missing",
        from: "limit = 16",
        to: "limt = 16",
        expected: &[
            ":5: [team red] limit: missing key (whole number, at least 0;",
            ":7: [team red] limt: unknown key (did you mean limit?)",
        ],
    },
    Case {
        name: "missing unit",
        from: "max-run-time = 10s",
        to: "max-run-time = 10",
        expected: &[
            ":33: [queue quotes] max-run-time: \"10\" has no unit; units: ms, s,",
        ],
    },
    Case {
        name: "unknown unit",
        from: "max-run-time = 10s",
        to: "max-run-time = 10sec",
        expected: &[":33: [queue quotes] max-run-time: \"10sec\" has an unknown unit"],
    },
    Case {
        name: "zero duration",
        from: "max-run-time = 10s",
        to: "max-run-time = 0s",
        expected: &[":33: [queue quotes] max-run-time: must be greater than zero"],
    },
    Case {
        name: "undeclared pool",
        from: "pool = quotes\npath = /quotes",
        to: "pool = qoutes\npath = /quotes",
        expected: &[
            ":31: [queue quotes] pool: pool \"qoutes\" is not declared (did you mean quotes?)",
        ],
    },
    Case {
        name: "undeclared workspace of an access key",
        from: "[key red/counter]",
        to: "[key rad/counter]",
        expected: &[
            ":42: [key rad/counter] team \"rad\" is not declared (did you mean red?)",
        ],
    },
    Case {
        name: "access key without a workspace",
        from: "[key red/counter]",
        to: "[key counter]",
        expected: &[
            ":42: [key counter] \"counter\" is not of the form TEAM/NAME (write [key",
        ],
    },
    Case {
        name: "invalid name",
        from: "[team blue]",
        to: "[team Blue_1]",
        expected: &[
            ":8: [team Blue_1] \"Blue_1\" is not a name",
            ":39: [queue walk-in] team: team \"blue\" is not declared",
        ],
    },
    Case {
        name: "repeated section",
        from: "[zone z2]",
        to: "[zone z1]",
        expected: &[
            ":3: [zone z1] declared already at fleet.ini:1",
            ":25: [host h2] zone: zone \"z2\" is not declared",
        ],
    },
    Case {
        name: "repeated key",
        from: "share = 3\n",
        to: "share = 3\nshare = 4\n",
        expected: &[":7: [team red] share: already given on line 6"],
    },
    Case {
        name: "two hosts with one address",
        from: "127.0.0.1:9002",
        to: "127.0.0.1:9001",
        expected: &[
            ":27: [host h2] address: 127.0.0.1:9001 is already the address of [host h1]",
        ],
    },
    Case {
        name: "host name instead of an IP address",
        from: "127.0.0.1:9002",
        to: "localhost:9002",
        expected: &[
            ":27: [host h2] address: \"localhost:9002\" is not an IP address and port",
        ],
    },
    Case {
        name: "path below another path",
        from: "path = /walk-in",
        to: "path = /quotes/walk-in",
        expected: &[
            ":37: [queue walk-in] path: /quotes/walk-in overlaps /quotes of [queue quotes]",
        ],
    },
    Case {
        name: "budget of zero",
        from: "max-out = 50%",
        to: "max-out = 10%",
        expected: &[
            ":13: [pool quotes] max-out: allows 0 of 2 hosts, so none can be maintained",
        ],
    },
    Case {
        name: "fewer connections than slots",
        from: "connections = 64",
        to: "connections = 4",
        expected: &[":22: [host h1] connections: fewer connections (4) than slots (8)"],
    },
    Case {
        name: "open queue without a workspace",
        from: "open = yes\nteam = blue\n",
        to: "open = yes\n",
        expected: &[
            ":35: [queue walk-in] team: missing key (an open queue needs the team",
        ],
    },
    Case {
        name: "workspace of a queue that is not open",
        from: "open = yes\nteam = blue\n",
        to: "team = blue\n",
        expected: &[":38: [queue walk-in] team: only an open queue has a team"],
    },
    Case {
        name: "short digest",
        from: "digest = 9f86d081",
        to: "digest = 9f86",
        expected: &[":44: [key red/counter] digest: 30 bytes; expected 32 to 32"],
    },
    Case {
        name: "several invalid lines",
        from: "[zone z1]\n",
        to: "[zone z1\nnonsense\n[zone z1]\n",
        expected: &[":1: expecting", ":2: expecting"],
    },
    Case {
        name: "key before the first section",
        from: "[zone z1]\n",
        to: "share = 1\n[zone z1]\n",
        expected: &[":1: share: key before the first section"],
    },
];

#[rstest]
fn mistakes_are_reported_with_their_location() {
    for case in CASES {
        let report = parse(&with_replacement(case.from, case.to)).unwrap_err();
        case.compare("fleet.ini", &report);
    }
}

#[rstest]
fn all_mistakes_are_reported_together() {
    let text = VALID
        .replace("share = 3", "share = three")
        .replace("500ms", "500")
        .replace("zone = z2", "zone = z3")
        .replace("[zone z1]\n", "junk\n[zone z1]\n");
    assert_eq!(parse(&text).unwrap_err().mistakes.len(), 4);
}

#[rstest]
fn a_section_may_be_declared_in_one_file_only() {
    let file = |path: &str, text: &str| File {
        path: path.into(),
        text: text.into(),
    };
    let files = [
        file("a.ini", VALID),
        file("b.ini", "[zone z2]\nregion = south\n"),
    ];
    let report = declaration::parse(&files).unwrap_err();
    assert_eq!(
        report.to_string(),
        "b.ini:1: [zone z2] declared already at a.ini:3"
    );
}

#[rstest]
fn the_files_of_a_folder_form_one_document() {
    let folder =
        std::env::temp_dir().join(format!("declarations-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("teams")).unwrap();
    let (head, tail) = VALID.split_at(VALID.find("[pool").unwrap());
    std::fs::write(folder.join("teams/all.ini"), head).unwrap();
    std::fs::write(folder.join("fleet.ini"), tail).unwrap();
    std::fs::write(folder.join("README.md"), "not a declaration").unwrap();
    let read = declaration::read(&[&folder]);
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(read.unwrap(), document(VALID));
    assert!(declaration::read(&[folder]).is_err());
}
