//! Accepting changes while answers are lost, reads lag and operators race.

mod configuration_support;

use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_config::document::{Id, Kind};
use rhubarbrill_config::{ActiveConfiguration, Document};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::store::{Effect, Expect, Store, Swap, Swapped};
use rhubarbrill_registry::configuration::{
    Configuration, Error, HEAD_KEY, Head, Loaded, News, Outcome, Proposal,
};
use rstest::rstest;

use configuration_support::Fault::{Crash, Lag, Late, LostAnswer, LostRequest, Refused};
use configuration_support::{Fake, Fault, Link, with_workspace, workspaces};

const OPERATORS: usize = 3;

/// Accepts a change for an operator who started from `loaded`.
type Accept = fn(&Link, &Loaded, &str) -> Result<Outcome, Error>;

fn quick(link: &Link) -> Configuration<'_, Link> {
    Configuration::new(link)
        .attempts(4)
        .first_wait(Duration::ZERO)
        .snapshot_interval(4)
}

fn proposal(loaded: &Loaded, name: &str) -> Proposal {
    let document = with_workspace(&loaded.document, name);
    Proposal::try_new(loaded, &document, name, Timestamp::default()).unwrap()
}

fn ours(link: &Link, loaded: &Loaded, name: &str) -> Result<Outcome, Error> {
    quick(link).accept(&proposal(loaded, name))
}

/// Takes a failed call for one without effect, and leaves the head to whoever wrote the
/// revision.
fn naive(link: &Link, loaded: &Loaded, name: &str) -> Result<Outcome, Error> {
    let next = loaded.revision + 1;
    let head = link.get(HEAD_KEY)?;
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
        if let Swapped::Conflict(_) = link.swap(swap)? {
            return Err(rhubarbrill_edge::store::Error::refused("too late").into());
        }
    }
    Ok(Outcome::Accepted(next))
}

/// Runs operators who all start from the same revision; returns what doesn't hold.
fn broken(accept: Accept, turns: &[usize], faults: &[&[Fault]]) -> Result<(), String> {
    let fake = Fake::new(turns);
    let names = ["a", "b", "c"];
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let running: Vec<_> = faults
            .iter()
            .enumerate()
            .map(|(operator, faults)| {
                let fake = fake.clone();
                scope.spawn(move || {
                    let link = fake.link(operator, faults);
                    let outcome = accept(&link, &Loaded::default(), names[operator]);
                    let head = fake.peek(HEAD_KEY);
                    let head =
                        head.map_or(0, |entry| Head::parse(&entry).unwrap().number);
                    (outcome, head)
                })
            })
            .collect();
        running.into_iter().map(|run| run.join().unwrap()).collect()
    });
    for ((outcome, head), name) in outcomes.iter().zip(names) {
        if let Ok(Outcome::Accepted(number)) = outcome
            && head < number
        {
            return Err(format!("{name} was accepted before the head reached it"));
        }
    }
    go_on(accept, &fake)?;
    let link = fake.link(9, &[]);
    let News::Revisions(chain) =
        quick(&link).fetch_since(0).map_err(|e| e.to_string())?
    else {
        return Err("no chain".to_owned());
    };
    let mut in_force = ActiveConfiguration::default();
    for revision in &chain {
        in_force
            .apply_revision(revision)
            .map_err(|refusal| refusal.to_string())?;
    }
    for ((outcome, _), name) in outcomes.iter().zip(&names) {
        let has =
            |revision: &&rhubarbrill_config::Revision| workspaces(revision) == [*name];
        let places: Vec<u64> =
            chain.iter().filter(has).map(|found| found.number).collect();
        let holds = match outcome {
            Ok(Outcome::Accepted(number)) => places == [*number],
            Ok(Outcome::Unknown(_)) => places.len() <= 1,
            Ok(Outcome::Conflict(_)) | Err(_) => places.is_empty(),
        };
        if !holds {
            return Err(format!(
                "{name}: {outcome:?}, but is in force as {places:?}"
            ));
        }
    }
    Ok(())
}

/// Lets one more operator make a change, who may be told of one conflict first.
fn go_on(accept: Accept, fake: &Fake) -> Result<(), String> {
    let link = fake.link(8, &[]);
    let mut last = String::new();
    for _ in 0..3 {
        let loaded = quick(&link).load().map_err(|error| error.to_string())?;
        match accept(&link, &loaded, "last") {
            Ok(Outcome::Accepted(_)) => return Ok(()),
            other => last = format!("{other:?}"),
        }
    }
    Err(format!("nobody can go on: {last}"))
}

struct Case {
    name: &'static str,
    turns: &'static [usize],
    faults: &'static [&'static [Fault]],
    /// Whether the naive version keeps the conditions here.
    naive: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "one operator, no fault",
        turns: &[],
        faults: &[&[]],
        naive: true,
    },
    Case {
        name: "the revision's answer is lost",
        turns: &[],
        faults: &[&[Fault::None, LostAnswer]],
        naive: false,
    },
    Case {
        name: "the head's answer is lost",
        turns: &[],
        faults: &[&[Fault::None, Fault::None, LostAnswer]],
        naive: false,
    },
    Case {
        name: "the revision lands late, after it was sent again",
        turns: &[],
        faults: &[&[Fault::None, Late, LostRequest]],
        naive: false,
    },
    Case {
        name: "crash between revision and head",
        turns: &[],
        faults: &[&[Fault::None, Fault::None, Crash]],
        naive: false,
    },
    Case {
        name: "crash between the two, while another proposes",
        turns: &[0, 1, 0, 0, 1, 1],
        faults: &[&[Fault::None, Fault::None, Crash], &[]],
        naive: false,
    },
    Case {
        name: "two operators race, one call each in turn",
        turns: &[0, 1, 0, 1, 0, 1, 0, 1],
        faults: &[&[], &[]],
        naive: true,
    },
    Case {
        name: "the other moves the head on before the answer is lost",
        turns: &[0, 1, 0, 1, 1, 0],
        faults: &[&[Fault::None, Fault::None, LostRequest], &[]],
        naive: false,
    },
    Case {
        name: "reads lag",
        turns: &[0, 0, 0, 0, 1],
        faults: &[&[], &[Lag(2)]],
        naive: true,
    },
    Case {
        name: "the store is down",
        turns: &[],
        faults: &[&[Refused, Refused, Refused, Refused, Refused]],
        naive: true,
    },
];

#[rstest]
fn accepted_means_in_force_and_refused_means_never() {
    for case in CASES {
        let outcome = broken(ours, case.turns, case.faults);
        assert_eq!(outcome, Ok(()), "{}", case.name);
        let outcome = broken(naive, case.turns, case.faults);
        assert_eq!(
            outcome.is_ok(),
            case.naive,
            "naive, {}: {outcome:?}",
            case.name
        );
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        2 => Just(LostAnswer),
        1 => Just(LostRequest),
        1 => Just(Late),
        1 => Just(Refused),
        1 => Just(Crash),
        1 => (1_usize..4).prop_map(Lag),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]
    #[test]
    fn any_interleaving_of_faults_keeps_the_conditions(
        turns in prop::collection::vec(0..OPERATORS, 0..24),
        faults in prop::collection::vec(prop::collection::vec(fault(), 0..8), 1..=OPERATORS),
    ) {
        let faults: Vec<&[Fault]> = faults.iter().map(Vec::as_slice).collect();
        let turns: Vec<usize> =
            turns.into_iter().filter(|&turn| turn < faults.len()).collect();
        prop_assert_eq!(broken(ours, &turns, &faults), Ok(()));
    }
}

#[rstest]
fn a_conflict_names_the_others_revision() {
    let fake = Fake::new(&[]);
    let link = fake.link(0, &[]);
    let start = Loaded::default();
    assert!(matches!(
        ours(&link, &start, "ann"),
        Ok(Outcome::Accepted(1))
    ));
    let Ok(Outcome::Conflict(rival)) = ours(&link, &start, "bob") else {
        panic!("no conflict");
    };
    assert_eq!((rival.revision, rival.author.as_str()), (1, "ann"));
}

#[rstest]
fn a_change_costs_three_calls() {
    let fake = Fake::new(&[]);
    let link = fake.link(0, &[]);
    ours(&link, &Loaded::default(), "ann").unwrap();
    assert_eq!(fake.calls(), 3);
}

#[rstest]
fn a_document_that_can_not_be_in_force_is_not_proposed() {
    let mut document = with_workspace(&Document::default(), "red");
    let id = Id::new(Kind::Workspace, "red");
    let mut properties = document.get(&id).unwrap().clone();
    properties.set("limit", "many");
    document.insert(rhubarbrill_config::document::Section { id, properties });
    let start = Loaded::default();
    assert!(Proposal::try_new(&start, &document, "ann", Timestamp::default()).is_err());
}

#[rstest]
fn snapshots_replace_old_revisions() {
    let fake = Fake::new(&[]);
    let link = fake.link(0, &[]);
    let mut document = Document::default();
    for count in 0..30 {
        let loaded = quick(&link).load().unwrap();
        assert_eq!(loaded.document, document);
        let name = format!("team-{count}");
        document = with_workspace(&document, &name);
        assert!(matches!(
            ours(&link, &loaded, &name),
            Ok(Outcome::Accepted(_))
        ));
    }
    let kept = |prefix: &str| {
        let keys = fake.keys();
        keys.iter()
            .filter(|entry| entry.key.starts_with(prefix))
            .count()
    };
    assert!(
        kept("config/revision/") < 12,
        "{}",
        kept("config/revision/")
    );
    assert!(
        kept("config/snapshot/") <= 2,
        "{}",
        kept("config/snapshot/")
    );
    let configuration = quick(&link);
    let whole = configuration.fetch_since(1).unwrap();
    assert!(matches!(whole, News::Whole(loaded) if loaded.document == document));
    let last = configuration.fetch_since(28).unwrap();
    assert!(matches!(last, News::Revisions(list) if list.len() == 2));
    let none = configuration.fetch_since(30).unwrap();
    assert_eq!(none, News::Revisions(Vec::new()));
}

#[rstest]
fn a_large_change_is_written_in_parts_below_a_megabyte() {
    let fake = Fake::new(&[]);
    let link = fake.link(0, &[]);
    let mut document = Document::default();
    for count in 0..20_000 {
        let name = format!("team-with-a-rather-long-name-{count}");
        document.insert(rhubarbrill_config::document::Section {
            id: Id::new(Kind::Workspace, name),
            properties: [("share", "1"), ("limit", "1")].into_iter().collect(),
        });
    }
    let start = Loaded::default();
    let proposal =
        Proposal::try_new(&start, &document, "ann", Timestamp::default()).unwrap();
    let outcome = quick(&link).accept(&proposal).unwrap();
    assert!(matches!(outcome, Outcome::Accepted(1)), "{outcome:?}");
    let keys = fake.keys();
    assert!(keys.iter().all(|entry| entry.value.len() < 1_000_000));
    assert!(keys.len() > 3);
    assert_eq!(quick(&link).load().unwrap().document, document);
}

#[rstest]
fn a_lost_answer_is_unknown_only_while_the_store_is_away() {
    let fake = Fake::new(&[]);
    let link = fake.link(0, &[Fault::None, LostAnswer, Refused, Refused, Refused]);
    let outcome = ours(&link, &Loaded::default(), "ann");
    assert!(matches!(outcome, Ok(Outcome::Unknown(_))), "{outcome:?}");
    let error = fake.link(1, &[Refused; 4]).get("x").unwrap_err();
    assert_eq!(error.effect(), Effect::None);
}
