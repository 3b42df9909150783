//! Table tests of claims and their group commits.

use std::time::Duration;

use rhubarbrill_core::claim::{
    Answer, Arrival, Batch, Claim, ClaimOptions, IdempotencyKey, Request, SHARDS, Shard,
    ShardId,
};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::{Instant, Timestamp};
use rhubarbrill_core::verdict::Verdict;
use rstest::rstest;
use uuid::Uuid;

const RETENTION_MS: u64 = 10_000;

/// Returns key number `n`, issued at `millis`.
fn key(millis: u64, n: u128) -> IdempotencyKey {
    let bits = u128::from(millis) << 80 | 7 << 76 | 2 << 62 | n;
    IdempotencyKey::try_new(Uuid::from_u128(bits)).unwrap()
}

fn arrival(number: u64) -> Arrival {
    Arrival {
        entry: "e1".into(),
        incarnation: 1,
        number,
    }
}

fn take(key: IdempotencyKey, number: u64) -> Request {
    let (arrival, workspace) = (arrival(number), "t".into());
    let at = Timestamp::from_millis(0);
    Request::Take {
        key,
        claim: Claim {
            arrival,
            workspace,
            at,
        },
    }
}

fn release(key: IdempotencyKey, number: u64) -> Request {
    Request::Release {
        key,
        arrival: arrival(number),
    }
}

fn options() -> ClaimOptions {
    let retention = Duration::from_millis(RETENTION_MS);
    ClaimOptions::default().retention(retention).max_claims(3)
}

#[rstest]
#[case::first(vec![take(key(50_000, 1), 1)], Answer::Won)]
#[case::again_the_same(vec![take(key(50_000, 1), 1); 2], Answer::Won)]
#[case::second(
    vec![take(key(50_000, 1), 1), take(key(50_000, 1), 2)],
    Answer::Lost { holder: arrival(1) }
)]
#[case::after_a_release(
    vec![
        take(key(50_000, 1), 1), release(key(50_000, 1), 1),
        take(key(50_000, 1), 2),
    ],
    Answer::Won
)]
#[case::after_a_release_by_another(
    vec![
        take(key(50_000, 1), 1), release(key(50_000, 1), 2),
        take(key(50_000, 1), 2),
    ],
    Answer::Lost { holder: arrival(1) }
)]
#[case::at_the_horizon(
    vec![take(key(50_000, 1), 1), take(key(40_000, 2), 2)],
    Answer::Won
)]
#[case::behind_the_horizon(
    vec![take(key(50_000, 1), 1), take(key(39_999, 2), 2)],
    Answer::TooOld
)]
#[case::forgotten(
    vec![
        take(key(30_000, 1), 1), take(key(50_000, 2), 2),
        take(key(30_000, 1), 3),
    ],
    Answer::TooOld
)]
#[case::full(
    (0..4).map(|n| take(key(50_000, n), 1)).collect(),
    Answer::Full
)]
fn answers_claims(#[case] requests: Vec<Request>, #[case] expected: Answer) {
    let mut shard = Shard::default();
    let last = shard.apply(&requests, &options()).pop().unwrap().answer;
    assert_eq!(last, expected);
    let verdict = match expected {
        Answer::Won => None,
        Answer::Full => Some(Verdict::NotRun),
        _ => Some(Verdict::MayHaveRun),
    };
    assert_eq!(last.refusal(), verdict);
    let text = serde_json::to_string(&shard).unwrap();
    assert_eq!(serde_json::from_str::<Shard>(&text).unwrap(), shard);
}

#[test]
fn keys_issued_too_far_ahead_are_rejected() {
    let now = Timestamp::from_millis(50_000);
    assert!(ClaimOptions::default().check(key(55_000, 1), now).is_ok());
    assert!(ClaimOptions::default().check(key(55_001, 1), now).is_err());
}

#[test]
fn one_group_is_in_flight_at_a_time_and_flushes_keep_the_interval() {
    let at = Instant::from_millis;
    let mut batch = Batch::new(options().interval(Duration::from_millis(50)));
    assert_eq!(batch.begin_flush(at(0)), None);
    batch.push(take(key(50_000, 1), 1));
    assert_eq!(batch.begin_flush(at(5)).unwrap().len(), 1);
    batch.push(take(key(50_000, 2), 2));
    batch.push(take(key(50_000, 3), 3));
    assert_eq!(batch.next_flush(), None, "one group is in flight");
    batch.finish_flush();
    assert_eq!(batch.next_flush(), Some(at(55)));
    assert_eq!(batch.begin_flush(at(54)), None);
    assert_eq!(batch.begin_flush(at(55)).unwrap().len(), 2);
}

#[test]
fn records_spread_over_coordinators_and_stay_when_other_members_leave() {
    let member = |n: u64| Member {
        entry: format!("e{n}"),
        zone: "z1".into(),
        incarnation: n,
    };
    let all: Vec<Member> = (0..8).map(member).collect();
    let mut used: Vec<&Member> = Vec::new();
    for shard_id in ShardId::all() {
        let coordinator = shard_id.coordinator(&all).unwrap();
        let rest = all.iter().filter(|m| *m != coordinator && m.entry != "e0");
        let remaining: Vec<&Member> = rest.chain([coordinator]).collect();
        assert_eq!(shard_id.coordinator(remaining), Some(coordinator));
        used.push(coordinator);
    }
    used.sort();
    used.dedup();
    assert!(
        used.len() >= 4,
        "{SHARDS} records have only {} coordinators",
        used.len()
    );
}
