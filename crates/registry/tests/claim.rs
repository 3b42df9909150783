//! Entry hosts that claim the same identities through a store that loses answers.

#[path = "support/flaky.rs"]
mod flaky;

use flaky::{Flaky, State};
use rhubarbrill_core::claim::{
    Answer, Arrival, Claim, ClaimOptions, IdempotencyKey, Request, SHARDS, Shard, ShardId,
};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::record;
use rhubarbrill_registry::claim::{Writer, key};
use uuid::Uuid;

const IDENTITIES: u128 = 40;

fn identity(n: u128) -> IdempotencyKey {
    let bits = 1_700_000_000_000_u128 << 80 | 7 << 76 | 2 << 62 | n;
    IdempotencyKey::try_new(Uuid::from_u128(bits)).unwrap()
}

fn take(entry: u64, n: u128) -> Request {
    let number = u64::try_from(n).unwrap();
    let arrival = Arrival {
        entry: format!("e{entry}"),
        incarnation: 1,
        number,
    };
    let at = Timestamp::from_millis(0);
    Request::Take {
        key: identity(n),
        claim: Claim {
            arrival,
            workspace: "t".into(),
            at,
        },
    }
}

/// Claims every identity in small groups, each until it is answered; returns those won.
fn claim_all(store: &Flaky, entry: u64) -> Vec<IdempotencyKey> {
    let mut won = Vec::new();
    for place in ShardId::all() {
        let mut writer = Writer::new(place, ClaimOptions::default());
        let mine: Vec<u128> = (0..IDENTITIES)
            .filter(|&n| identity(n).shard_id() == place)
            .collect();
        for group in mine.chunks(3) {
            let requests: Vec<Request> = group.iter().map(|&n| take(entry, n)).collect();
            let replies = loop {
                if let Ok(replies) = writer.commit(store, &requests) {
                    break replies;
                }
            };
            assert_eq!(replies.len(), group.len());
            let wins = group
                .iter()
                .zip(replies)
                .filter(|(_, r)| r.answer == Answer::Won);
            won.extend(wins.map(|(&n, _)| identity(n)));
        }
    }
    won
}

#[test]
fn each_identity_is_won_once_by_the_one_recorded() {
    let store = Flaky::default();
    store.set(State::Mixed(0));
    let mut won: Vec<(IdempotencyKey, u64)> = std::thread::scope(|scope| {
        let store = &store;
        let threads: Vec<_> = (0..4)
            .map(|entry| scope.spawn(move || (claim_all(store, entry), entry)))
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join().unwrap());
        joined
            .flat_map(|(won, e)| won.into_iter().map(move |i| (i, e)))
            .collect()
    });
    won.sort();
    let expected: Vec<IdempotencyKey> = (0..IDENTITIES).map(identity).collect();
    assert_eq!(won.iter().map(|(i, _)| *i).collect::<Vec<_>>(), expected);
    for (identity, entry) in won {
        let found = record::read::<Shard, _>(&store.store, &key(identity.shard_id()));
        let shard = found.unwrap().unwrap().value;
        assert_eq!(
            shard.claim(identity).unwrap().arrival.entry,
            format!("e{entry}")
        );
    }
    assert!(
        store.store.revision() <= 4 * u64::from(SHARDS) * 8,
        "a write for each claim"
    );
}

#[test]
fn a_claim_without_an_answer_is_settled_by_asking_again() {
    let store = Flaky::default();
    let place = identity(1).shard_id();
    let mut first = Writer::new(place, ClaimOptions::default());
    store.set(State::LosesAnswers);
    assert!(first.commit(&store, &[take(1, 1)]).is_err());
    store.set(State::Up);
    let other = Writer::new(place, ClaimOptions::default())
        .commit(&store, &[take(2, 1)])
        .unwrap();
    assert!(matches!(&other[0].answer, Answer::Lost { holder } if holder.entry == "e1"));
    assert_eq!(
        first.commit(&store, &[take(1, 1)]).unwrap()[0].answer,
        Answer::Won
    );
}
