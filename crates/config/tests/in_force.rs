//! The revision in force only rises, whatever is offered.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rhubarbrill_config::document::{Digest, Id, Kind, Section};
use rhubarbrill_config::in_force::Refusal;
use rhubarbrill_config::{Delta, Document, InForce, Revision};
use rhubarbrill_core::time::Timestamp;
use rstest::rstest;

/// Revisions 1 to `count`; each changes the limit of one workspace, and the third removes
/// one.
fn chain(count: u64) -> Vec<(Revision, Document)> {
    let mut document = Document::default();
    let mut chain = Vec::new();
    for number in 1..=count {
        let mut next = document.clone();
        next.insert(workspace(&format!("team-{}", number % 4), number));
        if number == 3 {
            next.remove(&Id::new(Kind::Workspace, "team-1"));
        }
        let revision = Revision {
            number,
            digest: next.digest(),
            author: "ann".to_owned(),
            proposed_at: Timestamp::default(),
            delta: document.diff(&next),
        };
        chain.push((revision, next.clone()));
        document = next;
    }
    chain
}

fn workspace(name: &str, limit: u64) -> Section {
    Section {
        id: Id::new(Kind::Workspace, name),
        properties: [("share", "1".to_owned()), ("limit", limit.to_string())]
            .into_iter()
            .collect(),
    }
}

#[derive(Clone, Copy, Debug)]
enum Offer {
    /// A revision, from the store or a peer.
    Next(u64),
    /// A whole document, from the store or a peer's snapshot.
    Whole(u64),
    /// The process starts again, and learns from peers how far it had come.
    Restart,
}

/// Something that offers are made to.
trait Holder {
    fn offer(&mut self, offer: Offer, chain: &[(Revision, Document)]);
    /// The revision in force and its content; `None` while the process holds back.
    fn serves(&self) -> Option<(u64, Digest)>;
}

impl Holder for InForce {
    fn offer(&mut self, offer: Offer, chain: &[(Revision, Document)]) {
        let at = |number: u64| &chain[number as usize - 1];
        match offer {
            Offer::Next(number) => drop(self.take(&at(number).0)),
            Offer::Whole(number) => {
                let (revision, document) = at(number);
                drop(self.take_whole(number, document, revision.digest));
            }
            Offer::Restart => {
                let heard = self.heard();
                *self = Self::default();
                self.hear(heard);
            }
        }
    }

    fn serves(&self) -> Option<(u64, Digest)> {
        let digest = self.document().digest();
        self.is_newest_heard().then_some((self.revision(), digest))
    }
}

/// Believes the last answer.
#[derive(Default)]
struct Naive {
    revision: u64,
    document: Document,
}

impl Holder for Naive {
    fn offer(&mut self, offer: Offer, chain: &[(Revision, Document)]) {
        match offer {
            Offer::Next(number) => {
                self.revision = number;
                self.document.apply(&chain[number as usize - 1].0.delta);
            }
            Offer::Whole(number) => {
                self.revision = number;
                self.document = chain[number as usize - 1].1.clone();
            }
            Offer::Restart => *self = Self::default(),
        }
    }

    fn serves(&self) -> Option<(u64, Digest)> {
        Some((self.revision, self.document.digest()))
    }
}

/// Makes the offers; returns what doesn't hold.
fn broken(mut holder: impl Holder, offers: &[Offer]) -> Result<(), String> {
    let chain = chain(9);
    let mut digests: BTreeMap<u64, Digest> = BTreeMap::new();
    digests.insert(0, Document::default().digest());
    digests.extend(
        chain
            .iter()
            .map(|(revision, _)| (revision.number, revision.digest)),
    );
    let mut newest = 0;
    for &offer in offers {
        holder.offer(offer, &chain);
        let Some((revision, digest)) = holder.serves() else {
            continue;
        };
        if revision < newest {
            return Err(format!("fell from {newest} to {revision} on {offer:?}"));
        }
        if digest != digests[&revision] {
            return Err(format!(
                "content of {revision} is another's after {offer:?}"
            ));
        }
        newest = revision;
    }
    Ok(())
}

struct Case {
    name: &'static str,
    offers: &'static [Offer],
    naive: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "in order",
        offers: &[Offer::Next(1), Offer::Next(2), Offer::Next(3)],
        naive: true,
    },
    Case {
        name: "a lagging store shows an older snapshot",
        offers: &[Offer::Whole(5), Offer::Whole(4)],
        naive: false,
    },
    Case {
        name: "a peer sends a revision again",
        offers: &[Offer::Whole(5), Offer::Next(5), Offer::Next(3)],
        naive: false,
    },
    Case {
        name: "a revision is missing in between",
        offers: &[
            Offer::Next(1),
            Offer::Next(3),
            Offer::Next(2),
            Offer::Next(3),
        ],
        naive: false,
    },
    Case {
        name: "restart beside a peer with an older snapshot",
        offers: &[Offer::Whole(6), Offer::Restart, Offer::Whole(2)],
        naive: false,
    },
];

#[rstest]
fn the_revision_in_force_only_rises() {
    for case in CASES {
        assert_eq!(
            broken(InForce::default(), case.offers),
            Ok(()),
            "{}",
            case.name
        );
        let outcome = broken(Naive::default(), case.offers);
        assert_eq!(
            outcome.is_ok(),
            case.naive,
            "naive, {}: {outcome:?}",
            case.name
        );
    }
}

fn offer() -> impl Strategy<Value = Offer> {
    prop_oneof![
        4 => (1_u64..=9).prop_map(Offer::Next),
        2 => (1_u64..=9).prop_map(Offer::Whole),
        1 => Just(Offer::Restart),
    ]
}

proptest! {
    #[test]
    fn any_offers_leave_the_conditions(offers in prop::collection::vec(offer(), 0..40)) {
        prop_assert_eq!(broken(InForce::default(), &offers), Ok(()));
    }
}

#[rstest]
fn a_refused_offer_leaves_everything_as_it_was() {
    let chain = chain(4);
    let mut in_force = InForce::default();
    in_force.take(&chain[0].0).unwrap();
    in_force.take(&chain[1].0).unwrap();
    let mut forged = chain[2].0.clone();
    forged.delta.upserts[0] = workspace("team-2", 99);
    let unusable = |properties: &[(&str, &str)]| {
        let mut delta = Delta::default();
        delta.upserts.push(Section {
            id: Id::new(Kind::Workspace, "team-1"),
            properties: properties.iter().copied().collect(),
        });
        let mut document = in_force.document().clone();
        document.apply(&delta);
        Revision {
            digest: document.digest(),
            delta,
            ..chain[2].0.clone()
        }
    };
    let unusable = unusable(&[("share", "1")]);
    let before = format!("{:?} {:?}", in_force.document(), in_force.fleet());
    let refusals = [&chain[0].0, &chain[3].0, &forged, &unusable]
        .map(|revision| in_force.take(revision).unwrap_err());
    assert!(matches!(
        refusals,
        [
            Refusal::Stale,
            Refusal::Gap,
            Refusal::Mismatch,
            Refusal::Invalid(_)
        ]
    ));
    assert_eq!(
        format!("{:?} {:?}", in_force.document(), in_force.fleet()),
        before
    );
    assert!(!in_force.is_newest_heard());
}

#[rstest]
fn peers_are_sent_differences_as_long_as_they_are_kept() {
    let mut in_force = InForce::default();
    let chain = chain(300);
    for (revision, _) in &chain {
        in_force.take(revision).unwrap();
    }
    let counts = [300, 299, 44, 43, 301]
        .map(|number| in_force.since(number).map(|revisions| revisions.len()));
    assert_eq!(counts, [Some(0), Some(1), Some(256), None, None]);
    let newest = in_force.since(299).unwrap()[0].number;
    assert_eq!(newest, 300);
}
