//! Tests record updates on a store that loses, duplicates and delays swaps.

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
const RETRY_DELAY: Duration = Duration::from_micros(1);

/// Fault that affects one swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SwapFault {
    /// The swap is executed and its response arrives.
    NoFault,
    /// The swap is executed, but its response is lost.
    ResponseLost,
    /// The swap never arrives, which the caller can't tell from a lost response.
    RequestLost,
    /// The swap can't be sent, which the caller knows.
    NotSent,
    /// The swap is executed twice, and the response to the second one arrives.
    Duplicated,
    /// The caller gets no response, and the swap is executed right after the next one.
    Delayed,
    /// Others write this many times, then the swap is executed.
    OthersWriteFirst(u8),
    /// The swap is executed, others write this many times, and its response is lost.
    ResponseLostThenOthersWrite(u8),
    /// The swap never arrives, and others write this many times.
    RequestLostThenOthersWrite(u8),
    /// The store rejects the swap.
    Rejected,
}

/// An in-memory store that applies one fault of a list to each swap.
struct FaultyStore {
    store: Memory,
    faults: Mutex<VecDeque<SwapFault>>,
    delayed: Mutex<Option<Swap>>,
}

impl FaultyStore {
    fn new(faults: &[SwapFault]) -> Self {
        Self {
            store: Memory::new(),
            faults: Mutex::new(faults.iter().copied().collect()),
            delayed: Mutex::new(None),
        }
    }

    fn others_write(&self, times: u8) {
        for _ in 0..times {
            let outcome = record::update(&self.store, KEY, [], |found| {
                Decision::<_, ()>::Write(
                    found.unwrap_or(Counts::default()).with_other_write(),
                )
            });
            assert!(matches!(outcome, Ok(Outcome::Applied(_))));
        }
    }

    fn counts(&self) -> Counts {
        let found = record::read(&self.store, KEY).unwrap();
        found.map_or(Counts::default(), |found| found.value)
    }
}

fn no_response<T>() -> Result<T, Error> {
    Err(Error::unreachable(Effect::Unknown, "no response"))
}

impl Store for FaultyStore {
    type Watch = memory::Watch;

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        let fault = self
            .faults
            .lock()
            .unwrap()
            .pop_front()
            .unwrap_or(SwapFault::NoFault);
        let delayed = self.delayed.lock().unwrap().take();
        let result = match fault {
            SwapFault::NoFault => self.store.swap(swap),
            SwapFault::ResponseLost => self.store.swap(swap).and_then(|_| no_response()),
            SwapFault::RequestLost => no_response(),
            SwapFault::NotSent => {
                Err(Error::unreachable(Effect::None, "connection refused"))
            }
            SwapFault::Duplicated => {
                self.store.swap(swap.clone())?;
                self.store.swap(swap)
            }
            SwapFault::Delayed => {
                *self.delayed.lock().unwrap() = Some(swap);
                no_response()
            }
            SwapFault::OthersWriteFirst(times) => {
                self.others_write(times);
                self.store.swap(swap)
            }
            SwapFault::ResponseLostThenOthersWrite(times) => {
                self.store.swap(swap)?;
                self.others_write(times);
                no_response()
            }
            SwapFault::RequestLostThenOthersWrite(times) => {
                self.others_write(times);
                no_response()
            }
            SwapFault::Rejected => Err(Error::refused("too large")),
        };
        if let Some(delayed) = delayed {
            self.store.swap(delayed)?;
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

/// Record that counts the writes of the tested updater and of others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize,
)]
struct Counts {
    ours: u32,
    others: u32,
}

impl Counts {
    fn with_other_write(self) -> Self {
        Self {
            others: self.others + 1,
            ..self
        }
    }
}

/// Outcome that an update reports to its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reported {
    Applied,
    Unknown,
    Failed,
}

/// Increments `ours` with up to `attempts` swaps and returns the reported outcome.
fn increment_ours(store: &FaultyStore, attempts: usize) -> Reported {
    let backoff = std::iter::repeat_n(RETRY_DELAY, attempts - 1);
    let outcome = record::update(store, KEY, backoff, |found| {
        let counts: Counts = found.unwrap_or_default();
        Decision::<_, ()>::Write(Counts {
            ours: counts.ours + 1,
            ..counts
        })
    });
    match outcome {
        Ok(Outcome::Applied(record)) => {
            assert_eq!(record.value.ours, 1);
            let found = record::read(&store.store, KEY).unwrap();
            assert_eq!(Some(record), found, "an older value under a newer version");
            Reported::Applied
        }
        Ok(Outcome::Refused(())) => unreachable!("the decision is always to write"),
        Ok(Outcome::Unknown(_)) => Reported::Unknown,
        Err(error) => {
            assert_eq!(error.effect(), Effect::None);
            Reported::Failed
        }
    }
}

use SwapFault::*;

#[rstest]
#[case::plain(&[NoFault], Reported::Applied, 1)]
#[case::response_lost(&[ResponseLost], Reported::Applied, 1)]
#[case::request_lost(&[RequestLost], Reported::Applied, 1)]
#[case::response_then_request_lost(&[ResponseLost, RequestLost], Reported::Applied, 1)]
#[case::delayed(&[Delayed], Reported::Applied, 1)]
#[case::delayed_then_conflict(&[Delayed, OthersWriteFirst(1)], Reported::Applied, 1)]
#[case::duplicated(&[Duplicated], Reported::Applied, 1)]
#[case::others_write_after(&[ResponseLostThenOthersWrite(15)], Reported::Applied, 1)]
#[case::others_write_beyond_kept_nonces(&[ResponseLostThenOthersWrite(16)],
    Reported::Unknown, 1)]
#[case::request_lost_then_others_write(&[RequestLostThenOthersWrite(16)],
    Reported::Applied, 1)]
#[case::request_lost_then_others_write_beyond_kept_nonces(
    &[RequestLostThenOthersWrite(17)], Reported::Unknown, 0)]
#[case::others_write_first(&[OthersWriteFirst(40)], Reported::Applied, 1)]
#[case::others_write_first_until_last_attempt(&[OthersWriteFirst(1); 4],
    Reported::Applied, 1)]
#[case::others_write_first_always(&[OthersWriteFirst(1); 5], Reported::Failed, 0)]
#[case::never_sent(&[NotSent; 5], Reported::Failed, 0)]
#[case::not_sent_once(&[NotSent], Reported::Applied, 1)]
#[case::request_lost_always(&[RequestLost; 5], Reported::Unknown, 0)]
#[case::response_lost_then_not_sent(&[ResponseLost, NotSent, NotSent, NotSent, NotSent],
    Reported::Unknown, 1)]
#[case::rejected(&[Rejected], Reported::Failed, 0)]
#[case::response_lost_then_rejected(&[ResponseLost, Rejected], Reported::Unknown, 1)]
fn updates_under_swap_faults(
    #[case] faults: &[SwapFault],
    #[case] reported: Reported,
    #[case] ours: u32,
) {
    for known in [false, true] {
        let store = FaultyStore::new(faults);
        if known {
            store.others_write(1);
        }
        assert_eq!(increment_ours(&store, 5), reported, "record known: {known}");
        assert_eq!(store.counts().ours, ours, "record known: {known}");
    }
}

/// A read-modify-write loop without nonces can't recognize its own write after a lost
/// response, and so writes twice.
#[test]
fn update_without_nonce_writes_twice() {
    let store = FaultyStore::new(&[ResponseLost]);
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

fn any_fault() -> impl Strategy<Value = SwapFault> {
    prop_oneof![
        Just(NoFault),
        Just(ResponseLost),
        Just(RequestLost),
        Just(NotSent),
        Just(Duplicated),
        Just(Delayed),
        (1u8..20).prop_map(OthersWriteFirst),
        (1u8..20).prop_map(ResponseLostThenOthersWrite),
        (1u8..20).prop_map(RequestLostThenOthersWrite),
    ]
}

proptest! {
    /// Under any sequence of faults, the reported outcome matches the stored record.
    #[test]
    fn reported_outcome_is_true(
        faults in prop::collection::vec(any_fault(), 0..6),
        attempts in 1usize..6,
    ) {
        let store = FaultyStore::new(&faults);
        let reported = increment_ours(&store, attempts);
        if let Some(delayed) = store.delayed.lock().unwrap().take() {
            store.store.swap(delayed).unwrap();
        }
        let counts = store.counts();
        match reported {
            Reported::Applied => prop_assert_eq!(counts.ours, 1),
            Reported::Failed => prop_assert_eq!(counts.ours, 0),
            Reported::Unknown => prop_assert!(counts.ours <= 1),
        }
    }
}

#[test]
fn refused_update_and_malformed_value() {
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
fn concurrent_increments_add_up() {
    let store = Memory::new();
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..25 {
                    let backoff =
                        Backoff::new(RETRY_DELAY, Duration::from_millis(2), 500);
                    let outcome = record::update(&store, KEY, backoff, |found| {
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
