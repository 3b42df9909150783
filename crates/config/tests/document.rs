//! Documents, their deltas, and the typed fleets that they are applied to.

mod support;

use proptest::prelude::*;
use rhubarbrill_config::document::{Id, Kind, Properties, Section};
use rhubarbrill_config::{Delta, Document, key};
use rhubarbrill_core::fleet::{Access, Fleet};
use rstest::rstest;

use support::{VALID, document, parse, with_replacement};

#[rstest]
fn a_document_is_converted_to_a_fleet() {
    let mut fleet = Fleet::default();
    document(VALID).update_fleet(&mut fleet, 7).unwrap();
    let red = fleet.workspaces.find("red").unwrap();
    let pool = fleet.pools.find("quotes").unwrap();
    let blue = fleet.workspaces.find("blue").unwrap();
    let queue = fleet.queues.find("walk-in").unwrap();
    assert_eq!(fleet.revision, 7);
    assert_eq!(fleet.workspaces.get(red).unwrap().limit, 16);
    assert_eq!(fleet.pools.get(pool).unwrap().budget.max_out, 1);
    assert_eq!(fleet.queues.get(queue).unwrap().access, Access::Open(blue));
    assert_eq!(fleet.access_keys.len(), 1);
}

struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    changes: usize,
    max_out: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "no change",
        from: "[zone z1]",
        to: "[zone z1]",
        changes: 0,
        max_out: 1,
    },
    Case {
        name: "changed limit",
        from: "limit = 16",
        to: "limit = 20",
        changes: 1,
        max_out: 1,
    },
    Case {
        name: "two more hosts raise a percentage budget",
        from: "[queue quotes]",
        to: "[host h3]\npool = quotes\nzone = z1\nrack = r3\naddress = 127.0.0.1:9003\n\
             slots = 8\nconnections = 8\n[host h4]\npool = quotes\nzone = z2\nrack = r4\n\
             address = 127.0.0.1:9004\nslots = 8\nconnections = 8\n[queue quotes]",
        changes: 2,
        max_out: 2,
    },
    Case {
        name: "removed access key",
        from: VALID_KEY,
        to: "",
        changes: 1,
        max_out: 1,
    },
    Case {
        name: "added availability zone and changed region",
        from: "[zone z2]\nregion = south\n",
        to: "[zone z9]\nregion = south\n[zone z2]\nregion = north\n",
        changes: 2,
        max_out: 1,
    },
];

const VALID_KEY: &str = "[key red/counter]
salt = 00112233445566778899aabbccddeeff
digest = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
";

#[rstest]
fn a_delta_gives_the_same_fleet_as_the_whole_document() {
    for case in CASES {
        let (old, new) = (
            document(VALID),
            document(&with_replacement(case.from, case.to)),
        );
        let delta = old.diff(&new);
        assert_eq!(delta.len(), case.changes, "{}", case.name);
        let mut fleet = Fleet::default();
        old.update_fleet(&mut fleet, 1).unwrap();
        let before = fleet.workspaces.find("red");
        let mut applied = old.clone();
        applied.apply(&delta);
        applied.apply_delta_to_fleet(&delta, &mut fleet, 2).unwrap();
        assert_eq!(applied.digest(), new.digest(), "{}", case.name);
        assert_eq!(fleet.workspaces.find("red"), before, "{}", case.name);
        let pool = fleet.pools.find("quotes").unwrap();
        let max_out = fleet.pools.get(pool).unwrap().budget.max_out;
        assert_eq!(max_out, case.max_out, "{}", case.name);
        let mut whole = Fleet::default();
        old.update_fleet(&mut whole, 1).unwrap();
        new.update_fleet(&mut whole, 2).unwrap();
        assert_eq!(format!("{fleet:?}"), format!("{whole:?}"), "{}", case.name);
    }
}

#[rstest]
fn an_invalid_delta_leaves_the_fleet_unchanged() {
    let mut valid = document(VALID);
    let mut fleet = Fleet::default();
    valid.update_fleet(&mut fleet, 1).unwrap();
    let before = format!("{fleet:?}");
    let invalid_delta = |kind, name: &str, properties: &[(&str, &str)]| Delta {
        upserts: vec![
            Section {
                id: Id::new(Kind::Workspace, "green"),
                properties: Properties::from_iter([("share", "1"), ("limit", "1")]),
            },
            Section {
                id: Id::new(kind, name),
                properties: properties.iter().copied().collect(),
            },
        ],
        removals: Vec::new(),
    };
    let max_run_time = ("max-run-time", "1s");
    let cases = [
        invalid_delta(Kind::Workspace, "x", &[("share", "1")]),
        invalid_delta(Kind::Workspace, "x", &[("share", "1"), ("limit", "many")]),
        invalid_delta(
            Kind::Key,
            "none/x",
            &[("salt", "0011223344556677"), ("digest", "00")],
        ),
        invalid_delta(
            Kind::Queue,
            "x",
            &[
                ("pool", "quotes"),
                ("path", "/x"),
                ("open", "yes"),
                max_run_time,
                ("max-waiting", "1"),
            ],
        ),
        invalid_delta(
            Kind::Queue,
            "x",
            &[
                ("pool", "none"),
                ("path", "/x"),
                max_run_time,
                ("max-waiting", "1"),
            ],
        ),
    ];
    for delta in cases {
        valid.apply(&delta);
        assert!(
            valid.apply_delta_to_fleet(&delta, &mut fleet, 2).is_err(),
            "{delta:?}"
        );
        assert_eq!(format!("{fleet:?}"), before, "{delta:?}");
    }
}

#[rstest]
fn a_document_round_trips_through_json_and_ini() {
    let valid = document(VALID);
    let json = serde_json::to_string(&valid).unwrap();
    assert_eq!(serde_json::from_str::<Document>(&json).unwrap(), valid);
    let sections: Vec<Section> = valid.clone().into();
    let ini: String = sections.iter().map(ToString::to_string).collect();
    assert_eq!(parse(&ini).unwrap(), valid);
}

#[rstest]
fn an_access_key_verifies_only_its_own_token() {
    let grant = key::grant("red", "till-2").unwrap();
    let mut document = document(VALID);
    document.insert(grant.section.clone());
    let mut fleet = Fleet::default();
    document.update_fleet(&mut fleet, 1).unwrap();
    let found = key::verify(&fleet, &grant.token).unwrap();
    assert_eq!(fleet.access_keys.name(found), Some("red/till-2"));
    assert!(!grant.section.to_string().contains(&grant.token[12..]));
    let mut wrong = grant.token.clone();
    let last = if wrong.pop() == Some('0') { '1' } else { '0' };
    wrong.push(last);
    let swapped = grant.token.replace("_red_", "_blue_");
    for token in [
        &wrong,
        &swapped,
        "",
        "rb",
        "rb_red_till-2",
        "rb_red_till-2_",
        "xx_a_b_c",
    ] {
        assert_eq!(key::verify(&fleet, token), None, "{token}");
    }
    document.remove(&grant.section.id);
    document.update_fleet(&mut fleet, 2).unwrap();
    assert_eq!(key::verify(&fleet, &grant.token), None);
    assert!(key::grant("red", "a_b").is_err());
}

prop_compose! {
    fn workspaces()(
        workspaces in prop::collection::btree_map("[a-d]", 1_u32..4, 0..4)
    ) -> Document {
        let mut document = Document::default();
        for (name, share) in workspaces {
            let share = share.to_string();
            document.insert(Section {
                id: Id::new(Kind::Workspace, name),
                properties: [("share", share.as_str()), ("limit", "1")].into_iter().collect(),
            });
        }
        document
    }
}

proptest! {
    #[test]
    fn successive_deltas_reproduce_each_document(
        steps in prop::collection::vec(workspaces(), 1..6)
    ) {
        let mut document = Document::default();
        let mut fleet = Fleet::default();
        for (revision, step) in steps.iter().enumerate() {
            let delta = document.diff(step);
            let digest = document.digest();
            document.apply(&delta);
            prop_assert_eq!(document.digest() == digest, delta.is_empty());
            document.apply_delta_to_fleet(&delta, &mut fleet, revision as u64).unwrap();
            prop_assert_eq!(&document, step);
            prop_assert_eq!(fleet.workspaces.len(), step.len());
        }
    }
}
