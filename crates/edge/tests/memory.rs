//! Tests what the in-memory store offers beyond the contract of `Store`.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rhubarbrill_edge::store::{Change, Entry, Expect, Lease, Memory, Store, Swap};

fn put(store: &Memory, key: &str, value: &[u8]) -> u64 {
    let expect = match store.get(key).unwrap() {
        Some(entry) => Expect::Version(entry.version),
        None => Expect::Absent,
    };
    store
        .swap(Swap {
            key: key.into(),
            expect,
            value: Some(value.to_vec()),
            lease: None,
        })
        .unwrap();
    store.revision()
}

#[test]
fn stale_listing_returns_past_state() {
    let store = Memory::new();
    put(&store, "a/1", b"x");
    put(&store, "a/2", b"y");
    put(&store, "a/1", b"z");
    let past = store.list_stale("a/", 2);
    assert_eq!(past.entries.len(), 1);
    assert_eq!(past.entries[0].value, b"x");
    assert_eq!(past.revision + 2, store.revision());
}

#[test]
fn watch_wakes_on_lease_expiry_and_on_change() {
    let store = Memory::new();
    let lease = store.grant(Duration::from_millis(80)).unwrap();
    let swap = Swap {
        key: "member/a".into(),
        expect: Expect::Absent,
        value: Some(vec![1]),
        lease: Some(lease),
    };
    store.swap(swap).unwrap();
    let from = store.revision() + 1;
    let start = Instant::now();
    let mut watch = store.watch("member/", from).unwrap();
    let change = watch.next().unwrap().unwrap();
    assert!(matches!(change, Change::Delete { key, .. } if key == "member/a"));
    assert!(start.elapsed() >= Duration::from_millis(60));
    let writer = store.clone();
    let thread = thread::spawn(move || put(&writer, "member/b", b"1"));
    assert!(
        matches!(watch.next(), Some(Ok(Change::Put(entry))) if entry.key == "member/b")
    );
    thread.join().unwrap();
}

#[test]
fn idle_watch_ends_and_history_size_is_bounded() {
    let store = Memory::new().with_idle_timeout(Duration::from_millis(20));
    assert!(store.watch("x/", 0).unwrap().next().is_none());
    let value = vec![0; 1 << 20];
    for _ in 0..40 {
        put(&store, "big", &value);
    }
    assert!(store.watch("big", 1).unwrap_err().is_compacted());
    assert!(store.watch("big", store.oldest_revision()).is_ok());
}

#[derive(Clone, Copy, Debug)]
enum Operation {
    Put(u8),
    PutLeased(u8, usize),
    Delete(u8),
    Revoke(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    let key = 0u8..4;
    prop_oneof![
        key.clone().prop_map(Operation::Put),
        (key.clone(), 0usize..3)
            .prop_map(|(key, lease)| Operation::PutLeased(key, lease)),
        key.prop_map(Operation::Delete),
        (0usize..3).prop_map(Operation::Revoke),
    ]
}

fn apply(store: &Memory, leases: &[Lease], operation: Operation) {
    let (key, value, lease) = match operation {
        Operation::Put(key) => (key, Some(vec![key]), None),
        Operation::PutLeased(key, lease) => (key, Some(vec![]), Some(leases[lease])),
        Operation::Delete(key) => (key, None, None),
        Operation::Revoke(lease) => return store.revoke(leases[lease]).unwrap(),
    };
    let key = format!("w/{key}");
    let found = store.get(&key).unwrap();
    let expect = found.map_or(Expect::Absent, |entry| Expect::Version(entry.version));
    // A swap with an ended lease is rejected and changes nothing.
    let _ = store.swap(Swap {
        key,
        expect,
        value,
        lease,
    });
}

proptest! {
    /// Applying the changes of a watch to a listing of any past revision yields the
    /// current state.
    #[test]
    fn replaying_changes_yields_current_state(
        operations in prop::collection::vec(operation(), 1..40),
    ) {
        let store = Memory::new().with_idle_timeout(Duration::ZERO);
        let grant = |_| store.grant(Duration::from_secs(60)).unwrap();
        let leases: Vec<Lease> = (0..3).map(grant).collect();
        let mut past = vec![store.list("w/").unwrap()];
        for operation in operations {
            apply(&store, &leases, operation);
            past.push(store.list("w/").unwrap());
        }
        let present = store.list("w/").unwrap();
        for listing in past {
            let lag = present.revision - listing.revision;
            prop_assert_eq!(&store.list_stale("w/", lag), &listing);
            let entries = listing.entries.into_iter();
            let mut replayed: BTreeMap<String, Entry> =
                entries.map(|entry| (entry.key.clone(), entry)).collect();
            for change in store.watch("w/", listing.revision + 1).unwrap() {
                match change.unwrap() {
                    Change::Put(entry) => replayed.insert(entry.key.clone(), entry),
                    Change::Delete { key, .. } => replayed.remove(&key),
                };
            }
            prop_assert!(replayed.values().eq(present.entries.iter()));
        }
    }
}
