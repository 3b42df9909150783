//! Acceptance of changes while responses are lost, reads are stale and operators race.

mod configuration_support;

use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_config::document::{Id, Kind};
use rhubarbrill_config::{ActiveConfiguration, Document};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::store::{Effect, Expect, Store, Swap, Swapped};
use rhubarbrill_registry::configuration::{
    Configuration, ConfigurationUpdate, Error, HEAD_KEY, Head, LoadedConfiguration,
    Outcome, Proposal,
};
use rstest::rstest;

use configuration_support::Fault::{
    Crash, Delayed, LostRequest, LostResponse, StaleRead, Unreachable,
};
use configuration_support::{
    Connection, FakeStore, Fault, changed_names, with_workspace,
};

const OPERATORS: usize = 3;

/// Accepts a change for an operator who started from `loaded`.
type Accept = fn(&Connection, &LoadedConfiguration, &str) -> Result<Outcome, Error>;

fn configuration(connection: &Connection) -> Configuration<'_, Connection> {
    Configuration::new(connection)
        .attempts(4)
        .initial_backoff(Duration::ZERO)
        .snapshot_interval(4)
}

fn proposal(loaded: &LoadedConfiguration, name: &str) -> Proposal {
    let document = with_workspace(&loaded.document, name);
    Proposal::try_new(loaded, &document, name, Timestamp::default()).unwrap()
}

fn accept_proposal(
    connection: &Connection,
    loaded: &LoadedConfiguration,
    name: &str,
) -> Result<Outcome, Error> {
    configuration(connection).accept(&proposal(loaded, name))
}

/// A naive protocol, for comparison: a failed call is taken to have had no effect, and
/// only the operator who wrote the revision advances the head.
fn naive_accept(
    connection: &Connection,
    loaded: &LoadedConfiguration,
    name: &str,
) -> Result<Outcome, Error> {
    let next = loaded.revision + 1;
    let head = connection.get(HEAD_KEY)?;
    let swap = |key: String, expect| Swap {
        key,
        expect,
        value: Some(
            serde_json::json!({
                "number": next,
                "digest": with_workspace(&loaded.document, name).digest(),
                "author": name,
                "proposed_at": 0,
                "nonce": uuid::Uuid::new_v4(),
                "content": { "inline": proposal(loaded, name).delta() },
                "snapshot": 0,
                "floor": 0,
            })
            .to_string()
            .into_bytes(),
        ),
        lease: None,
    };
    let revision = swap(format!("config/revision/{next:020}"), Expect::Absent);
    let expect = head.map_or(Expect::Absent, |entry| Expect::Version(entry.version));
    for swap in [revision, swap(HEAD_KEY.to_owned(), expect)] {
        if let Swapped::Conflict(_) = connection.swap(swap)? {
            return Err(rhubarbrill_edge::store::Error::refused("too late").into());
        }
    }
    Ok(Outcome::Accepted(next))
}

/// Runs operators who all start from the same revision; returns the invariant that is
/// violated, if any.
fn check_invariants(
    accept: Accept,
    turns: &[usize],
    faults: &[&[Fault]],
) -> Result<(), String> {
    let store = FakeStore::new(turns);
    let names = ["a", "b", "c"];
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = faults
            .iter()
            .enumerate()
            .map(|(operator, faults)| {
                let store = store.clone();
                scope.spawn(move || {
                    let connection = store.connection(operator, faults);
                    let outcome = accept(
                        &connection,
                        &LoadedConfiguration::default(),
                        names[operator],
                    );
                    let head = store.peek(HEAD_KEY);
                    let head =
                        head.map_or(0, |entry| Head::parse(&entry).unwrap().number);
                    (outcome, head)
                })
            })
            .collect();
        threads.into_iter().map(|run| run.join().unwrap()).collect()
    });
    for ((outcome, head), name) in outcomes.iter().zip(names) {
        if let Ok(Outcome::Accepted(number)) = outcome
            && head < number
        {
            return Err(format!(
                "{name} was accepted before the head reached its revision"
            ));
        }
    }
    check_progress(accept, &store)?;
    let connection = store.connection(9, &[]);
    let ConfigurationUpdate::Revisions(revisions) = configuration(&connection)
        .fetch_since(0)
        .map_err(|e| e.to_string())?
    else {
        return Err("the revisions are no longer kept".to_owned());
    };
    let mut in_force = ActiveConfiguration::default();
    for revision in &revisions {
        in_force
            .apply_revision(revision)
            .map_err(|refusal| refusal.to_string())?;
    }
    for ((outcome, _), name) in outcomes.iter().zip(&names) {
        let is_own =
            |revision: &&rhubarbrill_config::Revision| changed_names(revision) == [*name];
        let numbers: Vec<u64> = revisions
            .iter()
            .filter(is_own)
            .map(|found| found.number)
            .collect();
        let holds = match outcome {
            Ok(Outcome::Accepted(number)) => numbers == [*number],
            Ok(Outcome::Unknown(_)) => numbers.len() <= 1,
            Ok(Outcome::Conflict(_)) | Err(_) => numbers.is_empty(),
        };
        if !holds {
            return Err(format!(
                "{name}: {outcome:?}, but is in force as revisions {numbers:?}"
            ));
        }
    }
    Ok(())
}

/// Checks that another operator can still make a change within three attempts.
fn check_progress(accept: Accept, store: &FakeStore) -> Result<(), String> {
    let connection = store.connection(8, &[]);
    let mut last = String::new();
    for _ in 0..3 {
        let loaded = configuration(&connection)
            .load()
            .map_err(|error| error.to_string())?;
        match accept(&connection, &loaded, "last") {
            Ok(Outcome::Accepted(_)) => return Ok(()),
            other => last = format!("{other:?}"),
        }
    }
    Err(format!("no further change is accepted: {last}"))
}

struct Case {
    name: &'static str,
    turns: &'static [usize],
    faults: &'static [&'static [Fault]],
    /// Whether the naive protocol keeps the invariants in this case.
    naive_holds: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "one operator, no fault",
        turns: &[],
        faults: &[&[]],
        naive_holds: true,
    },
    Case {
        name: "response to the revision write is lost",
        turns: &[],
        faults: &[&[Fault::None, LostResponse]],
        naive_holds: false,
    },
    Case {
        name: "response to the head write is lost",
        turns: &[],
        faults: &[&[Fault::None, Fault::None, LostResponse]],
        naive_holds: false,
    },
    Case {
        name: "revision write takes effect after its retry was sent",
        turns: &[],
        faults: &[&[Fault::None, Delayed, LostRequest]],
        naive_holds: false,
    },
    Case {
        name: "crash between the revision and head writes",
        turns: &[],
        faults: &[&[Fault::None, Fault::None, Crash]],
        naive_holds: false,
    },
    Case {
        name: "crash between the two writes while another operator proposes",
        turns: &[0, 1, 0, 0, 1, 1],
        faults: &[&[Fault::None, Fault::None, Crash], &[]],
        naive_holds: false,
    },
    Case {
        name: "two operators race with alternating calls",
        turns: &[0, 1, 0, 1, 0, 1, 0, 1],
        faults: &[&[], &[]],
        naive_holds: true,
    },
    Case {
        name: "other operator advances the head before a request is lost",
        turns: &[0, 1, 0, 1, 1, 0],
        faults: &[&[Fault::None, Fault::None, LostRequest], &[]],
        naive_holds: false,
    },
    Case {
        name: "reads are stale",
        turns: &[0, 0, 0, 0, 1],
        faults: &[&[], &[StaleRead(2)]],
        naive_holds: true,
    },
    Case {
        name: "store is down",
        turns: &[],
        faults: &[&[
            Unreachable,
            Unreachable,
            Unreachable,
            Unreachable,
            Unreachable,
        ]],
        naive_holds: true,
    },
];

#[rstest]
fn outcome_matches_the_configuration_in_force() {
    for case in CASES {
        let outcome = check_invariants(accept_proposal, case.turns, case.faults);
        assert_eq!(outcome, Ok(()), "{}", case.name);
        let outcome = check_invariants(naive_accept, case.turns, case.faults);
        assert_eq!(
            outcome.is_ok(),
            case.naive_holds,
            "naive, {}: {outcome:?}",
            case.name
        );
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        2 => Just(LostResponse),
        1 => Just(LostRequest),
        1 => Just(Delayed),
        1 => Just(Unreachable),
        1 => Just(Crash),
        1 => (1_usize..4).prop_map(StaleRead),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]
    #[test]
    fn invariants_hold_under_any_interleaving_of_faults(
        turns in prop::collection::vec(0..OPERATORS, 0..24),
        faults in prop::collection::vec(prop::collection::vec(fault(), 0..8), 1..=OPERATORS),
    ) {
        let faults: Vec<&[Fault]> = faults.iter().map(Vec::as_slice).collect();
        let turns: Vec<usize> =
            turns.into_iter().filter(|&turn| turn < faults.len()).collect();
        prop_assert_eq!(check_invariants(accept_proposal, &turns, &faults), Ok(()));
    }
}

#[rstest]
fn conflict_names_the_accepted_revision() {
    let store = FakeStore::new(&[]);
    let connection = store.connection(0, &[]);
    let start = LoadedConfiguration::default();
    assert!(matches!(
        accept_proposal(&connection, &start, "ann"),
        Ok(Outcome::Accepted(1))
    ));
    let Ok(Outcome::Conflict(winner)) = accept_proposal(&connection, &start, "bob")
    else {
        panic!("no conflict");
    };
    assert_eq!((winner.revision, winner.author.as_str()), (1, "ann"));
}

#[rstest]
fn accepting_a_change_takes_three_calls() {
    let store = FakeStore::new(&[]);
    let connection = store.connection(0, &[]);
    accept_proposal(&connection, &LoadedConfiguration::default(), "ann").unwrap();
    assert_eq!(store.calls(), 3);
}

#[rstest]
fn invalid_document_cannot_be_proposed() {
    let mut document = with_workspace(&Document::default(), "red");
    let id = Id::new(Kind::Workspace, "red");
    let mut properties = document.get(&id).unwrap().clone();
    properties.set("limit", "many");
    document.insert(rhubarbrill_config::document::Section { id, properties });
    let start = LoadedConfiguration::default();
    assert!(Proposal::try_new(&start, &document, "ann", Timestamp::default()).is_err());
}

#[rstest]
fn snapshots_replace_old_revisions() {
    let store = FakeStore::new(&[]);
    let connection = store.connection(0, &[]);
    let mut document = Document::default();
    for count in 0..30 {
        let loaded = configuration(&connection).load().unwrap();
        assert_eq!(loaded.document, document);
        let name = format!("team-{count}");
        document = with_workspace(&document, &name);
        assert!(matches!(
            accept_proposal(&connection, &loaded, &name),
            Ok(Outcome::Accepted(_))
        ));
    }
    let count_entries = |prefix: &str| {
        let entries = store.entries();
        entries
            .iter()
            .filter(|entry| entry.key.starts_with(prefix))
            .count()
    };
    assert!(
        count_entries("config/revision/") < 12,
        "{}",
        count_entries("config/revision/")
    );
    assert!(
        count_entries("config/snapshot/") <= 2,
        "{}",
        count_entries("config/snapshot/")
    );
    let configuration = configuration(&connection);
    let full = configuration.fetch_since(1).unwrap();
    assert!(
        matches!(full, ConfigurationUpdate::Full(loaded) if loaded.document == document)
    );
    let last = configuration.fetch_since(28).unwrap();
    assert!(matches!(last, ConfigurationUpdate::Revisions(list) if list.len() == 2));
    let none = configuration.fetch_since(30).unwrap();
    assert_eq!(none, ConfigurationUpdate::Revisions(Vec::new()));
}

#[rstest]
fn large_change_is_split_into_parts_below_a_megabyte() {
    let store = FakeStore::new(&[]);
    let connection = store.connection(0, &[]);
    let mut document = Document::default();
    for count in 0..20_000 {
        let name = format!("team-with-a-rather-long-name-{count}");
        document.insert(rhubarbrill_config::document::Section {
            id: Id::new(Kind::Workspace, name),
            properties: [("share", "1"), ("limit", "1")].into_iter().collect(),
        });
    }
    let start = LoadedConfiguration::default();
    let proposal =
        Proposal::try_new(&start, &document, "ann", Timestamp::default()).unwrap();
    let outcome = configuration(&connection).accept(&proposal).unwrap();
    assert!(matches!(outcome, Outcome::Accepted(1)), "{outcome:?}");
    let entries = store.entries();
    assert!(entries.iter().all(|entry| entry.value.len() < 1_000_000));
    assert!(entries.len() > 3);
    assert_eq!(
        configuration(&connection).load().unwrap().document,
        document
    );
}

#[rstest]
fn lost_response_stays_unknown_while_the_store_is_down() {
    let store = FakeStore::new(&[]);
    let connection = store.connection(
        0,
        &[
            Fault::None,
            LostResponse,
            Unreachable,
            Unreachable,
            Unreachable,
        ],
    );
    let outcome = accept_proposal(&connection, &LoadedConfiguration::default(), "ann");
    assert!(matches!(outcome, Ok(Outcome::Unknown(_))), "{outcome:?}");
    let error = store.connection(1, &[Unreachable; 4]).get("x").unwrap_err();
    assert_eq!(error.effect(), Effect::None);
}
