//! The daemon's settings: defaults, and the reported lines of mistakes.

mod support;

use std::path::Path;
use std::time::Duration;

use rhubarbrill_config::settings::{self, Format, Level, Settings, StoreKind};
use rstest::rstest;

use support::Case;

const VALID: &str = "\
[entry]
name = e1
zone = z1
advertise = 10.0.0.1:8082
[peers]
secret = hush
[store]
kind = etcd
urls = http://10.0.0.9:2379, http://10.0.0.8:2379
";

fn parse(text: &str) -> Result<Settings, rhubarbrill_config::Report> {
    settings::parse(Path::new("conf/entry.ini"), text)
}

#[rstest]
fn omitted_keys_have_their_defaults() {
    let settings = parse(VALID).unwrap();
    assert_eq!(settings.entry.listen.port(), 8080);
    assert_eq!(settings.entry.advertised().to_string(), "10.0.0.1:8082");
    assert_eq!(settings.peers.heartbeat, Duration::from_secs(1));
    assert_eq!(settings.peers.secret.reveal(), "hush");
    assert!(!format!("{settings:?}").contains("hush"));
    assert_eq!(settings.limits.max_body_bytes, 4 << 20);
    assert_eq!(settings.log.format, Format::Human);
    assert_eq!(settings.log.level, Level::Info);
    assert_eq!(settings.hosts, None);
    assert!(matches!(&settings.store.kind, StoreKind::Etcd(urls) if urls.len() == 2));
}

#[rstest]
fn declarations_path_is_relative_to_the_settings_file() {
    let text = VALID.replace(
        "etcd\nurls = http://10.0.0.9:2379, http://10.0.0.8:2379",
        "memory",
    );
    let settings = parse(&format!("{text}[declarations]\npath = fleet\n")).unwrap();
    let path = settings.declarations.unwrap().path;
    assert_eq!(path, Path::new("conf/fleet"));
}

const CASES: &[Case] = &[
    Case {
        name: "missing section",
        from: "[peers]\nsecret = hush\n",
        to: "",
        expected: &[": [peers] missing section"],
    },
    Case {
        name: "unknown section and key",
        from: "[store]",
        to: "[limit]\n[log]\nlevle = info\n[store]",
        expected: &[
            ":7: [limit] unknown section (did you mean limits?)",
            ":9: [log] levle: unknown key (did you mean level?)",
        ],
    },
    Case {
        name: "repeated section and key",
        from: "[peers]\n",
        to: "[entry]\n[peers]\nsecret = x\n",
        expected: &[
            ":5: [entry] already given on line 1",
            ":8: [peers] secret: already given on line 7",
        ],
    },
    Case {
        name: "unspecified address is not advertised to peers",
        from: "advertise = 10.0.0.1:8082\n",
        to: "",
        expected: &[
            ":1: [entry] advertise: required, since peers-listen is an unspecified",
        ],
    },
    Case {
        name: "mistakes in several sections",
        from: "[peers]\nsecret = hush\n",
        to: "[peers]\nheartbeat = 1\n[limits]\ndefault-deadline = 1h\n[log]\nformat = xml\n",
        expected: &[
            ":6: [peers] heartbeat: \"1\" has no unit",
            ":8: [limits] default-deadline: must not be later than max-deadline",
            ":10: [log] format: \"xml\" is not one of: human, json",
        ],
    },
    Case {
        name: "missing secret",
        from: "secret = hush\n",
        to: "",
        expected: &[":5: [peers] secret-file: missing key"],
    },
    Case {
        name: "missing secret file",
        from: "secret = hush\n",
        to: "secret-file = none.txt\n",
        expected: &[":6: [peers] secret-file: conf/none.txt can't be read"],
    },
    Case {
        name: "missing urls",
        from: "urls = http://10.0.0.9:2379, http://10.0.0.8:2379\n",
        to: "",
        expected: &[":7: [store] urls: required for kind = etcd"],
    },
    Case {
        name: "one invalid URL of two",
        from: "http://10.0.0.8:2379",
        to: "10.0.0.8",
        expected: &[":9: [store] urls: \"10.0.0.8\" is not an http:// or https:// URL"],
    },
    Case {
        name: "lease not longer than the timeout",
        from: "kind = etcd\n",
        to: "kind = etcd\nlease = 2s\n",
        expected: &[":9: [store] lease: must be longer than timeout"],
    },
    Case {
        name: "declarations with a shared store",
        from: "[store]",
        to: "[declarations]\npath = fleet\n[store]",
        expected: &[":8: [declarations] path: only for a store of kind memory"],
    },
    Case {
        name: "in-memory store without declarations",
        from: "etcd\nurls = http://10.0.0.9:2379, http://10.0.0.8:2379",
        to: "memory",
        expected: &[":8: [store] kind: memory requires a section [declarations]"],
    },
];

#[rstest]
fn mistakes_are_reported_with_their_location() {
    for case in CASES {
        assert!(VALID.contains(case.from), "{}", case.name);
        let report = parse(&VALID.replacen(case.from, case.to, 1)).unwrap_err();
        case.compare("conf/entry.ini", &report);
    }
}
