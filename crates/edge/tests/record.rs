//! Updates of records over a store that loses, repeats and delays swaps.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_edge::record::{self, Backoff, Decision, Outcome};
use rhubarbrill_edge::store::{
    Effect, Entry, Error, Expect, Lease, Listing, Memory, Store, Swap, Swapped, memory,
};
use rstest::rstest;

const KEY: &str = "ledger";
const WAIT: Duration = Duration::from_micros(1);

/// What happens to one swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// It is carried out and answered.
    Fine,
    /// It is carried out and its answer lost.
    LostAfter,
    /// It never arrives, and nothing is certain to the caller.
    LostBefore,
    /// It can't be sent.
    NotSent,
    /// It is carried out twice, and the second answer arrives.
    Twice,
    /// The answer is lost, and the swap is carried out right after the next one.
    Late,
    /// Others write this often before it, then it is carried out.
    Overtaken(u8),
    /// It is carried out, its answer lost, and others write this often after it.
    Buried(u8),
    /// It is lost, and others write this often.
    Passed(u8),
    /// The store refuses it.
    Refuses,
}

/// A store in memory whose swaps go through a list of steps.
struct Faulty {
    store: Memory,
    steps: Mutex<VecDeque<Step>>,
    late: Mutex<Option<Swap>>,
}

impl Faulty {
    fn new(steps: &[Step]) -> Self {
        Self {
            store: Memory::new(),
            steps: Mutex::new(steps.iter().copied().collect()),
            late: Mutex::new(None),
        }
    }

    fn others_write(&self, times: u8) {
        for _ in 0..times {
            let outcome = record::update(&self.store, KEY, [], |found| {
                Decision::<_, ()>::Write(found.unwrap_or(Sum::default()).other())
            });
            assert!(matches!(outcome, Ok(Outcome::Applied(_))));
        }
    }

    fn sum(&self) -> Sum {
        let found = record::read(&self.store, KEY).unwrap();
        found.map_or(Sum::default(), |found| found.value)
    }
}

fn lost<T>() -> Result<T, Error> {
    Err(Error::unreachable(Effect::Unknown, "lost"))
}

impl Store for Faulty {
    type Watch = memory::Watch;

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        let step = self.steps.lock().unwrap().pop_front().unwrap_or(Step::Fine);
        let late = self.late.lock().unwrap().take();
        let result = match step {
            Step::Fine => self.store.swap(swap),
            Step::LostAfter => self.store.swap(swap).and_then(|_| lost()),
            Step::LostBefore => lost(),
            Step::NotSent => Err(Error::unreachable(Effect::None, "refused")),
            Step::Twice => {
                self.store.swap(swap.clone())?;
                self.store.swap(swap)
            }
            Step::Late => {
                *self.late.lock().unwrap() = Some(swap);
                lost()
            }
            Step::Overtaken(times) => {
                self.others_write(times);
                self.store.swap(swap)
            }
            Step::Buried(times) => {
                self.store.swap(swap)?;
                self.others_write(times);
                lost()
            }
            Step::Passed(times) => {
                self.others_write(times);
                lost()
            }
            Step::Refuses => Err(Error::refused("too large")),
        };
        if let Some(late) = late {
            self.store.swap(late)?;
        }
        result
    }

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.store.get(key)
    }
    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.store.list(prefix)
    }
    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.store.grant(ttl)
    }
    fn renew(&self, lease: Lease) -> Result<bool, Error> {
        self.store.renew(lease)
    }
    fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.store.revoke(lease)
    }
    fn watch(&self, prefix: &str, from: u64) -> Result<memory::Watch, Error> {
        self.store.watch(prefix, from)
    }
}

/// How often we and others have written.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize,
)]
struct Sum {
    ours: u32,
    others: u32,
}

impl Sum {
    fn other(self) -> Self {
        Self {
            others: self.others + 1,
            ..self
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    Applied,
    Unknown,
    Failed,
}

/// Writes once more to our count; refuses above `most`.
fn add(store: &Faulty, tries: usize) -> Seen {
    let waits = std::iter::repeat_n(WAIT, tries - 1);
    let outcome = record::update(store, KEY, waits, |found| {
        let sum: Sum = found.unwrap_or_default();
        Decision::<_, ()>::Write(Sum {
            ours: sum.ours + 1,
            ..sum
        })
    });
    match outcome {
        Ok(Outcome::Applied(record)) => {
            assert_eq!(record.value.ours, 1);
            let found = record::read(&store.store, KEY).unwrap();
            assert_eq!(Some(record), found, "an older value under a newer version");
            Seen::Applied
        }
        Ok(Outcome::Refused(())) => unreachable!("never refused"),
        Ok(Outcome::Unknown(_)) => Seen::Unknown,
        Err(error) => {
            assert_eq!(error.effect(), Effect::None);
            Seen::Failed
        }
    }
}

use Step::*;

#[rstest]
#[case::plain(&[Fine], Seen::Applied, 1)]
#[case::lost_after(&[LostAfter], Seen::Applied, 1)]
#[case::lost_before(&[LostBefore], Seen::Applied, 1)]
#[case::lost_twice(&[LostAfter, LostBefore], Seen::Applied, 1)]
#[case::late(&[Late], Seen::Applied, 1)]
#[case::late_after_others(&[Late, Overtaken(1)], Seen::Applied, 1)]
#[case::twice(&[Twice], Seen::Applied, 1)]
#[case::buried(&[Buried(15)], Seen::Applied, 1)]
#[case::buried_beyond_the_trail(&[Buried(16)], Seen::Unknown, 1)]
#[case::passed(&[Passed(16)], Seen::Applied, 1)]
#[case::passed_beyond_the_trail(&[Passed(17)], Seen::Unknown, 0)]
#[case::overtaken(&[Overtaken(40)], Seen::Applied, 1)]
#[case::overtaken_to_the_last(&[Overtaken(1); 4], Seen::Applied, 1)]
#[case::overtaken_always(&[Overtaken(1); 5], Seen::Failed, 0)]
#[case::not_sent_ever(&[NotSent; 5], Seen::Failed, 0)]
#[case::not_sent_once(&[NotSent], Seen::Applied, 1)]
#[case::lost_ever(&[LostBefore; 5], Seen::Unknown, 0)]
#[case::lost_then_not_sent(&[LostAfter, NotSent, NotSent, NotSent, NotSent],
    Seen::Unknown, 1)]
#[case::refused(&[Refuses], Seen::Failed, 0)]
#[case::lost_then_refused(&[LostAfter, Refuses], Seen::Unknown, 1)]
fn lost_answers(#[case] steps: &[Step], #[case] seen: Seen, #[case] ours: u32) {
    for known in [false, true] {
        let store = Faulty::new(steps);
        if known {
            store.others_write(1);
        }
        assert_eq!(add(&store, 5), seen, "record known: {known}");
        assert_eq!(store.sum().ours, ours, "record known: {known}");
    }
}

/// What a swap without a nonce comes to: after a lost answer it can't tell its own write
/// from another's, and writes again.
#[test]
fn naive_update_writes_twice() {
    let store = Faulty::new(&[LostAfter]);
    let mut swapped = false;
    while !swapped {
        let found = store.get(KEY).unwrap();
        let ours = found.as_ref().map_or(0, |entry| entry.value[0]);
        let expect = found.map_or(Expect::Absent, |entry| Expect::Version(entry.version));
        let swap = Swap {
            key: KEY.into(),
            expect,
            value: Some(vec![ours + 1]),
            lease: None,
        };
        swapped = matches!(store.swap(swap), Ok(Swapped::Done(_)));
    }
    assert_eq!(store.get(KEY).unwrap().unwrap().value, [2]);
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Fine),
        Just(LostAfter),
        Just(LostBefore),
        Just(NotSent),
        Just(Twice),
        Just(Late),
        (1u8..20).prop_map(Overtaken),
        (1u8..20).prop_map(Buried),
        (1u8..20).prop_map(Passed),
    ]
}

proptest! {
    /// Whatever happens to the swaps, an outcome that is told is true.
    #[test]
    fn outcome_is_never_wrong(
        steps in prop::collection::vec(step(), 0..6),
        tries in 1usize..6,
    ) {
        let store = Faulty::new(&steps);
        let seen = add(&store, tries);
        if let Some(late) = store.late.lock().unwrap().take() {
            store.store.swap(late).unwrap();
        }
        let sum = store.sum();
        match seen {
            Seen::Applied => prop_assert_eq!(sum.ours, 1),
            Seen::Failed => prop_assert_eq!(sum.ours, 0),
            Seen::Unknown => prop_assert!(sum.ours <= 1),
        }
    }
}

#[test]
fn refusals_and_unreadable_values() {
    let store = Memory::new();
    let refuse = |_: Option<u32>| Decision::Refuse("no");
    let outcome = record::update(&store, KEY, [], refuse);
    assert!(matches!(outcome, Ok(Outcome::Refused("no"))));
    assert_eq!(store.get(KEY).unwrap(), None);
    let swap = Swap {
        key: KEY.into(),
        expect: Expect::Absent,
        value: Some(b"not a record".to_vec()),
        lease: None,
    };
    store.swap(swap).unwrap();
    let error = record::update(&store, KEY, [], refuse).unwrap_err();
    assert_eq!(error.effect(), Effect::None);
}

#[test]
fn counts_of_racing_writers_add_up() {
    let store = Memory::new();
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..25 {
                    let waits = Backoff::new(WAIT, Duration::from_millis(2), 500);
                    let outcome = record::update(&store, KEY, waits, |found| {
                        Decision::<u32, ()>::Write(found.unwrap_or(0) + 1)
                    });
                    assert!(matches!(outcome, Ok(Outcome::Applied(_))));
                }
            });
        }
    });
    let found = record::read::<u32, _>(&store, KEY).unwrap().unwrap();
    assert_eq!(found.value, 100);
}
