//! Entry hosts that claim the same idempotency keys through a store that loses responses.

#[path = "support/flaky.rs"]
mod flaky;

use flaky::{FlakyStore, StoreState};
use rhubarbrill_core::claim::{
    Answer, Arrival, Claim, ClaimOptions, IdempotencyKey, Request, SHARDS, Shard, ShardId,
};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::record;
use rhubarbrill_registry::claim::{Writer, key};
use uuid::Uuid;

const KEYS: u128 = 40;

fn idempotency_key(n: u128) -> IdempotencyKey {
    let bits = 1_700_000_000_000_u128 << 80 | 7 << 76 | 2 << 62 | n;
    IdempotencyKey::try_new(Uuid::from_u128(bits)).unwrap()
}

fn take_request(entry: u64, n: u128) -> Request {
    let number = u64::try_from(n).unwrap();
    let arrival = Arrival {
        entry: format!("e{entry}"),
        incarnation: 1,
        number,
    };
    let at = Timestamp::from_millis(0);
    Request::Take {
        key: idempotency_key(n),
        claim: Claim {
            arrival,
            workspace: "t".into(),
            at,
        },
    }
}

/// Claims every key in small batches, retries each batch until it is committed, and
/// returns the keys won.
fn claim_all(store: &FlakyStore, entry: u64) -> Vec<IdempotencyKey> {
    let mut won = Vec::new();
    for shard_id in ShardId::all() {
        let mut writer = Writer::new(shard_id, ClaimOptions::default());
        let keys_in_shard: Vec<u128> = (0..KEYS)
            .filter(|&n| idempotency_key(n).shard_id() == shard_id)
            .collect();
        for batch in keys_in_shard.chunks(3) {
            let requests: Vec<Request> =
                batch.iter().map(|&n| take_request(entry, n)).collect();
            let replies = loop {
                if let Ok(replies) = writer.commit(store, &requests) {
                    break replies;
                }
            };
            assert_eq!(replies.len(), batch.len());
            let won_keys = batch
                .iter()
                .zip(replies)
                .filter(|(_, r)| r.answer == Answer::Won);
            won.extend(won_keys.map(|(&n, _)| idempotency_key(n)));
        }
    }
    won
}

#[test]
fn each_key_is_won_once_by_the_recorded_holder() {
    let store = FlakyStore::default();
    store.set(StoreState::Mixed(0));
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
    let expected: Vec<IdempotencyKey> = (0..KEYS).map(idempotency_key).collect();
    assert_eq!(won.iter().map(|(i, _)| *i).collect::<Vec<_>>(), expected);
    for (idempotency_key, entry) in won {
        let found =
            record::read::<Shard, _>(&store.inner, &key(idempotency_key.shard_id()));
        let shard = found.unwrap().unwrap().value;
        assert_eq!(
            shard.claim(idempotency_key).unwrap().arrival.entry,
            format!("e{entry}")
        );
    }
    assert!(
        store.inner.revision() <= 4 * u64::from(SHARDS) * 8,
        "claims were not batched: about one write per claim"
    );
}

#[test]
fn repeated_claim_resolves_a_lost_response() {
    let store = FlakyStore::default();
    let shard_id = idempotency_key(1).shard_id();
    let mut first = Writer::new(shard_id, ClaimOptions::default());
    store.set(StoreState::LosesResponses);
    assert!(first.commit(&store, &[take_request(1, 1)]).is_err());
    store.set(StoreState::Up);
    let other = Writer::new(shard_id, ClaimOptions::default())
        .commit(&store, &[take_request(2, 1)])
        .unwrap();
    assert!(matches!(&other[0].answer, Answer::Lost { holder } if holder.entry == "e1"));
    assert_eq!(
        first.commit(&store, &[take_request(1, 1)]).unwrap()[0].answer,
        Answer::Won
    );
}
