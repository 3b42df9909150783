//! Long histories: snapshots, deleted revisions, stale reads, and an operator who resumes
//! after a long pause.

mod configuration_support;

use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_config::{ActiveConfiguration, Document};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_registry::configuration::{
    Configuration, ConfigurationUpdate, Error, LoadedConfiguration, Outcome, Proposal,
};
use rstest::rstest;

use configuration_support::Fault::{
    Delayed, LostRequest, LostResponse, StaleRead, Unreachable,
};
use configuration_support::{Connection, FakeStore, Fault, with_workspace};

const SNAPSHOT_INTERVAL: u64 = 3;

fn configuration(connection: &Connection) -> Configuration<'_, Connection> {
    Configuration::new(connection)
        .attempts(3)
        .initial_backoff(Duration::ZERO)
        .snapshot_interval(SNAPSHOT_INTERVAL)
}

fn add_workspace(
    connection: &Connection,
    loaded: &LoadedConfiguration,
    name: &str,
) -> Result<Outcome, Error> {
    let document = with_workspace(&loaded.document, name);
    let proposal =
        Proposal::try_new(loaded, &document, name, Timestamp::default()).unwrap();
    configuration(connection).accept(&proposal)
}

/// Puts the result of a fetch in force; an error leaves the configuration unchanged.
fn fetch_and_apply(in_force: &mut ActiveConfiguration, connection: &Connection) {
    let before = in_force.revision();
    match configuration(connection).fetch_since(before) {
        Ok(ConfigurationUpdate::Revisions(revisions)) => {
            for revision in &revisions {
                in_force.apply_revision(revision).unwrap();
            }
        }
        Ok(ConfigurationUpdate::Full(full)) if full.revision > before => {
            in_force
                .apply_document(full.revision, &full.document, full.digest)
                .unwrap();
        }
        Ok(ConfigurationUpdate::Full(_)) | Err(_) => {}
    }
    assert!(in_force.revision() >= before);
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        2 => Just(LostResponse),
        1 => Just(LostRequest),
        1 => Just(Delayed),
        1 => Just(Unreachable),
        4 => (1_usize..40).prop_map(StaleRead),
    ]
}

fn faults() -> impl Strategy<Value = Vec<Vec<Fault>>> {
    prop::collection::vec(prop::collection::vec(fault(), 0..10), 16)
}

proptest! {
    #[test]
    fn reader_converges_to_the_newest_configuration(
        write_faults in faults(),
        read_faults in faults(),
    ) {
        let store = FakeStore::new(&[]);
        let mut in_force = ActiveConfiguration::default();
        for (step, (write_faults, read_faults)) in
            write_faults.iter().zip(&read_faults).enumerate()
        {
            let loaded = configuration(&store.connection(0, &[])).load().unwrap();
            let name = format!("team-{step}");
            let outcome =
                add_workspace(&store.connection(0, write_faults), &loaded, &name);
            let after = configuration(&store.connection(0, &[])).load().unwrap().document;
            let is_in_force = after == with_workspace(&loaded.document, &name);
            match outcome {
                Ok(Outcome::Accepted(_)) => prop_assert!(is_in_force, "{}", name),
                Ok(Outcome::Conflict(_)) | Err(_) => prop_assert!(!is_in_force, "{}", name),
                Ok(Outcome::Unknown(_)) => {}
            }
            if step % 3 == 0 {
                fetch_and_apply(&mut in_force, &store.connection(1, read_faults));
            }
        }
        fetch_and_apply(&mut in_force, &store.connection(1, &[]));
        let full = configuration(&store.connection(0, &[])).load().unwrap();
        prop_assert_eq!(in_force.document(), &full.document);
        prop_assert_eq!(in_force.revision(), full.revision);
    }
}

#[rstest]
fn delayed_operator_cannot_change_the_history() {
    const CHANGES: u64 = 12;
    let mut turns = vec![0];
    turns.extend([1; 1_000]);
    let store = FakeStore::new(&turns);
    let outcome = std::thread::scope(|scope| {
        let delayed = scope.spawn(|| {
            add_workspace(
                &store.connection(0, &[]),
                &LoadedConfiguration::default(),
                "late",
            )
        });
        let others = scope.spawn(|| {
            let connection = store.connection(1, &[]);
            for step in 0..CHANGES {
                let loaded = configuration(&connection).load().unwrap();
                add_workspace(&connection, &loaded, &format!("team-{step}")).unwrap();
            }
        });
        others.join().unwrap();
        delayed.join().unwrap()
    });
    assert!(matches!(outcome, Ok(Outcome::Unknown(_))), "{outcome:?}");
    let connection = store.connection(2, &[]);
    let full = configuration(&connection).load().unwrap();
    let expected = (0..CHANGES).fold(Document::default(), |document, step| {
        with_workspace(&document, &format!("team-{step}"))
    });
    assert_eq!(full.document, expected);
    let mut in_force = ActiveConfiguration::default();
    fetch_and_apply(&mut in_force, &connection);
    assert_eq!(in_force.document(), &expected);
    assert!(matches!(
        add_workspace(&connection, &full, "next"),
        Ok(Outcome::Accepted(number)) if number == CHANGES + 1
    ));
}
