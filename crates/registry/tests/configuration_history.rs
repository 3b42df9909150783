//! Long histories: snapshots, deleted revisions, readers whose answers lag, and an operator
//! who wakes up late.

mod configuration_support;

use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_config::{ActiveConfiguration, Document};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_registry::configuration::{
    Configuration, Error, Loaded, News, Outcome, Proposal,
};
use rstest::rstest;

use configuration_support::Fault::{Lag, Late, LostAnswer, LostRequest, Refused};
use configuration_support::{Fake, Fault, Link, with_workspace};

const SNAPSHOT_INTERVAL: u64 = 3;

fn quick(link: &Link) -> Configuration<'_, Link> {
    Configuration::new(link)
        .attempts(3)
        .first_wait(Duration::ZERO)
        .snapshot_interval(SNAPSHOT_INTERVAL)
}

fn add_workspace(link: &Link, loaded: &Loaded, name: &str) -> Result<Outcome, Error> {
    let document = with_workspace(&loaded.document, name);
    let proposal =
        Proposal::try_new(loaded, &document, name, Timestamp::default()).unwrap();
    quick(link).accept(&proposal)
}

/// Takes whatever a fetch brings; an error leaves things as they are.
fn follow(in_force: &mut ActiveConfiguration, link: &Link) {
    let before = in_force.revision();
    match quick(link).fetch_since(before) {
        Ok(News::Revisions(revisions)) => {
            for revision in &revisions {
                in_force.apply_revision(revision).unwrap();
            }
        }
        Ok(News::Whole(whole)) if whole.revision > before => {
            in_force
                .apply_document(whole.revision, &whole.document, whole.digest)
                .unwrap();
        }
        Ok(News::Whole(_)) | Err(_) => {}
    }
    assert!(in_force.revision() >= before);
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        2 => Just(LostAnswer),
        1 => Just(LostRequest),
        1 => Just(Late),
        1 => Just(Refused),
        4 => (1_usize..40).prop_map(Lag),
    ]
}

fn faults() -> impl Strategy<Value = Vec<Vec<Fault>>> {
    prop::collection::vec(prop::collection::vec(fault(), 0..10), 16)
}

proptest! {
    #[test]
    fn a_reader_follows_every_change_and_ends_with_the_whole(
        writes in faults(),
        reads in faults(),
    ) {
        let fake = Fake::new(&[]);
        let mut in_force = ActiveConfiguration::default();
        for (step, (writes, reads)) in writes.iter().zip(&reads).enumerate() {
            let loaded = quick(&fake.link(0, &[])).load().unwrap();
            let name = format!("team-{step}");
            let outcome = add_workspace(&fake.link(0, writes), &loaded, &name);
            let after = quick(&fake.link(0, &[])).load().unwrap().document;
            let is_in_force = after == with_workspace(&loaded.document, &name);
            match outcome {
                Ok(Outcome::Accepted(_)) => prop_assert!(is_in_force, "{}", name),
                Ok(Outcome::Conflict(_)) | Err(_) => prop_assert!(!is_in_force, "{}", name),
                Ok(Outcome::Unknown(_)) => {}
            }
            if step % 3 == 0 {
                follow(&mut in_force, &fake.link(1, reads));
            }
        }
        follow(&mut in_force, &fake.link(1, &[]));
        let whole = quick(&fake.link(0, &[])).load().unwrap();
        prop_assert_eq!(in_force.document(), &whole.document);
        prop_assert_eq!(in_force.revision(), whole.revision);
    }
}

#[rstest]
fn an_operator_who_wakes_up_late_does_no_harm() {
    const CHANGES: u64 = 12;
    let mut turns = vec![0];
    turns.extend([1; 1_000]);
    let fake = Fake::new(&turns);
    let outcome = std::thread::scope(|scope| {
        let late =
            scope.spawn(|| add_workspace(&fake.link(0, &[]), &Loaded::default(), "late"));
        let others = scope.spawn(|| {
            let link = fake.link(1, &[]);
            for step in 0..CHANGES {
                let loaded = quick(&link).load().unwrap();
                add_workspace(&link, &loaded, &format!("team-{step}")).unwrap();
            }
        });
        others.join().unwrap();
        late.join().unwrap()
    });
    assert!(matches!(outcome, Ok(Outcome::Unknown(_))), "{outcome:?}");
    let link = fake.link(2, &[]);
    let whole = quick(&link).load().unwrap();
    let expected = (0..CHANGES).fold(Document::default(), |document, step| {
        with_workspace(&document, &format!("team-{step}"))
    });
    assert_eq!(whole.document, expected);
    let mut in_force = ActiveConfiguration::default();
    follow(&mut in_force, &link);
    assert_eq!(in_force.document(), &expected);
    assert!(matches!(
        add_workspace(&link, &whole, "next"),
        Ok(Outcome::Accepted(number)) if number == CHANGES + 1
    ));
}
