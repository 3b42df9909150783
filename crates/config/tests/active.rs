//! The number of the active revision never decreases, whatever messages arrive.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rhubarbrill_config::active::ApplyError;
use rhubarbrill_config::document::{Digest, Id, Kind, Section};
use rhubarbrill_config::{ActiveConfiguration, Delta, Document, Revision};
use rhubarbrill_core::time::Timestamp;
use rstest::rstest;

/// Returns revisions 1 to `count` with their documents.
///
/// Each changes the limit of one workspace, and the third also removes a workspace.
fn revisions(count: u64) -> Vec<(Revision, Document)> {
    let mut document = Document::default();
    let mut revisions = Vec::new();
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
        revisions.push((revision, next.clone()));
        document = next;
    }
    revisions
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
enum Message {
    /// A single revision, from the store or a peer.
    Revision(u64),
    /// A whole document, from the store or a peer.
    Snapshot(u64),
    /// The process restarts, and learns its previous revision number from peers.
    Restart,
}

/// A process that receives configuration messages.
trait Replica {
    fn deliver(&mut self, message: Message, revisions: &[(Revision, Document)]);
    /// Returns the number and digest of the active revision; `None` while the process
    /// doesn't serve because it knows of a newer revision.
    fn served(&self) -> Option<(u64, Digest)>;
}

impl Replica for ActiveConfiguration {
    fn deliver(&mut self, message: Message, revisions: &[(Revision, Document)]) {
        let at = |number: u64| &revisions[number as usize - 1];
        match message {
            Message::Revision(number) => drop(self.apply_revision(&at(number).0)),
            Message::Snapshot(number) => {
                let (revision, document) = at(number);
                drop(self.apply_document(number, document, revision.digest));
            }
            Message::Restart => {
                let newest_known = self.newest_known();
                *self = Self::default();
                self.note_revision(newest_known);
            }
        }
    }

    fn served(&self) -> Option<(u64, Digest)> {
        let digest = self.document().digest();
        self.is_newest_known().then_some((self.revision(), digest))
    }
}

/// A replica without checks, which applies every message.
#[derive(Default)]
struct LastWriteWins {
    revision: u64,
    document: Document,
}

impl Replica for LastWriteWins {
    fn deliver(&mut self, message: Message, revisions: &[(Revision, Document)]) {
        match message {
            Message::Revision(number) => {
                self.revision = number;
                self.document.apply(&revisions[number as usize - 1].0.delta);
            }
            Message::Snapshot(number) => {
                self.revision = number;
                self.document = revisions[number as usize - 1].1.clone();
            }
            Message::Restart => *self = Self::default(),
        }
    }

    fn served(&self) -> Option<(u64, Digest)> {
        Some((self.revision, self.document.digest()))
    }
}

/// Delivers the messages in order, and describes the first violated invariant.
///
/// The revision number never decreases, and each revision has its own content.
fn check_invariants(
    mut replica: impl Replica,
    messages: &[Message],
) -> Result<(), String> {
    let revisions = revisions(9);
    let mut digests: BTreeMap<u64, Digest> = BTreeMap::new();
    digests.insert(0, Document::default().digest());
    digests.extend(
        revisions
            .iter()
            .map(|(revision, _)| (revision.number, revision.digest)),
    );
    let mut newest = 0;
    for &message in messages {
        replica.deliver(message, &revisions);
        let Some((revision, digest)) = replica.served() else {
            continue;
        };
        if revision < newest {
            return Err(format!(
                "revision went back from {newest} to {revision} after {message:?}"
            ));
        }
        if digest != digests[&revision] {
            return Err(format!(
                "revision {revision} has the wrong content after {message:?}"
            ));
        }
        newest = revision;
    }
    Ok(())
}

struct Case {
    name: &'static str,
    messages: &'static [Message],
    is_last_write_correct: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "in order",
        messages: &[
            Message::Revision(1),
            Message::Revision(2),
            Message::Revision(3),
        ],
        is_last_write_correct: true,
    },
    Case {
        name: "a lagging store returns an older snapshot",
        messages: &[Message::Snapshot(5), Message::Snapshot(4)],
        is_last_write_correct: false,
    },
    Case {
        name: "a peer sends a revision again",
        messages: &[
            Message::Snapshot(5),
            Message::Revision(5),
            Message::Revision(3),
        ],
        is_last_write_correct: false,
    },
    Case {
        name: "a revision is missing",
        messages: &[
            Message::Revision(1),
            Message::Revision(3),
            Message::Revision(2),
            Message::Revision(3),
        ],
        is_last_write_correct: false,
    },
    Case {
        name: "restart, then an older snapshot from a peer",
        messages: &[Message::Snapshot(6), Message::Restart, Message::Snapshot(2)],
        is_last_write_correct: false,
    },
];

#[rstest]
fn the_active_revision_never_decreases() {
    for case in CASES {
        assert_eq!(
            check_invariants(ActiveConfiguration::default(), case.messages),
            Ok(()),
            "{}",
            case.name
        );
        let outcome = check_invariants(LastWriteWins::default(), case.messages);
        assert_eq!(
            outcome.is_ok(),
            case.is_last_write_correct,
            "last write wins, {}: {outcome:?}",
            case.name
        );
    }
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        4 => (1_u64..=9).prop_map(Message::Revision),
        2 => (1_u64..=9).prop_map(Message::Snapshot),
        1 => Just(Message::Restart),
    ]
}

proptest! {
    #[test]
    fn any_messages_preserve_the_invariants(
        messages in prop::collection::vec(message(), 0..40)
    ) {
        prop_assert_eq!(
            check_invariants(ActiveConfiguration::default(), &messages),
            Ok(())
        );
    }
}

#[rstest]
fn a_rejected_revision_leaves_the_configuration_unchanged() {
    let revisions = revisions(4);
    let mut active = ActiveConfiguration::default();
    active.apply_revision(&revisions[0].0).unwrap();
    active.apply_revision(&revisions[1].0).unwrap();
    let mut forged = revisions[2].0.clone();
    forged.delta.upserts[0] = workspace("team-2", 99);
    let unusable = |properties: &[(&str, &str)]| {
        let mut delta = Delta::default();
        delta.upserts.push(Section {
            id: Id::new(Kind::Workspace, "team-1"),
            properties: properties.iter().copied().collect(),
        });
        let mut document = active.document().clone();
        document.apply(&delta);
        Revision {
            digest: document.digest(),
            delta,
            ..revisions[2].0.clone()
        }
    };
    let unusable = unusable(&[("share", "1")]);
    let before = format!("{:?} {:?}", active.document(), active.fleet());
    let errors = [&revisions[0].0, &revisions[3].0, &forged, &unusable]
        .map(|revision| active.apply_revision(revision).unwrap_err());
    assert!(matches!(
        errors,
        [
            ApplyError::Stale,
            ApplyError::MissingRevisions,
            ApplyError::DigestMismatch,
            ApplyError::Invalid(_)
        ]
    ));
    assert_eq!(
        format!("{:?} {:?}", active.document(), active.fleet()),
        before
    );
    assert!(!active.is_newest_known());
}

#[rstest]
fn recent_revisions_are_kept_for_peers() {
    let mut active = ActiveConfiguration::default();
    let revisions = revisions(300);
    for (revision, _) in &revisions {
        active.apply_revision(revision).unwrap();
    }
    let counts = [300, 299, 44, 43, 301].map(|number| {
        active
            .revisions_after(number)
            .map(|revisions| revisions.len())
    });
    assert_eq!(counts, [Some(0), Some(1), Some(256), None, None]);
    let newest = active.revisions_after(299).unwrap()[0].number;
    assert_eq!(newest, 300);
}
