//! Tests the contract of `Store` on every adapter.

use std::ops::Deref;
use std::thread;
use std::time::{Duration, Instant};

use rhubarbrill_edge::store::{
    AnyStore, Change, Effect, Error, Expect, Gateway, Lease, MAX_VALUE_BYTES, Memory,
    Prefixed, Store, Swap, Swapped,
};
use rhubarbrill_standin::platform;
use rstest::rstest;

const IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// The adapters under test.
#[derive(Clone, Copy, Debug)]
enum Adapter {
    Memory,
    Gateway,
}

/// A store under test, with direct access to the in-memory state behind it.
struct TestStore {
    memory: Memory,
    store: AnyStore,
    _server: Option<platform::Store>,
}

impl Deref for TestStore {
    type Target = AnyStore;

    fn deref(&self) -> &AnyStore {
        &self.store
    }
}

impl TestStore {
    fn new(adapter: Adapter) -> Self {
        let memory = Memory::new().with_idle_timeout(IDLE_TIMEOUT);
        let server = match adapter {
            Adapter::Memory => None,
            Adapter::Gateway => Some(platform::Store::with_memory(memory.clone())),
        };
        let store = match &server {
            None => AnyStore::Memory(memory.clone()),
            Some(server) => {
                let gateway = Gateway::try_new([server.url()]).unwrap();
                AnyStore::Gateway(gateway.with_idle_timeout(IDLE_TIMEOUT))
            }
        };
        Self {
            memory,
            store,
            _server: server,
        }
    }

    fn put(&self, key: &str, value: &[u8]) -> u64 {
        self.put_leased(key, value, None)
    }

    fn put_leased(&self, key: &str, value: &[u8], lease: Option<Lease>) -> u64 {
        let expect = match self.get(key).unwrap() {
            Some(entry) => Expect::Version(entry.version),
            None => Expect::Absent,
        };
        match self.swap(swap(key, expect, Some(value), lease)) {
            Ok(Swapped::Done(revision)) => revision,
            other => panic!("the key was not written: {other:?}"),
        }
    }

    fn delete(&self, key: &str) -> u64 {
        let expect = Expect::Version(self.get(key).unwrap().unwrap().version);
        match self.swap(swap(key, expect, None, None)) {
            Ok(Swapped::Done(revision)) => revision,
            other => panic!("the key was not deleted: {other:?}"),
        }
    }

    fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.get(key).unwrap().map(|entry| entry.value)
    }
}

fn swap(key: &str, expect: Expect, value: Option<&[u8]>, lease: Option<Lease>) -> Swap {
    Swap {
        key: key.into(),
        expect,
        value: value.map(<[u8]>::to_vec),
        lease,
    }
}

/// Formats a change as `+key=value` or `-key`, and returns it with its revision.
fn format_change(change: Result<Change, Error>) -> (String, u64) {
    match change.unwrap() {
        Change::Put(entry) => {
            let value = String::from_utf8(entry.value).unwrap();
            (format!("+{}={value}", entry.key), entry.version)
        }
        Change::Delete { key, revision } => (format!("-{key}"), revision),
    }
}

#[rstest]
#[case::swaps(swaps)]
#[case::deletions(deletions)]
#[case::listings(listings)]
#[case::keys_and_values(keys_and_values)]
#[case::concurrent_swaps(concurrent_swaps)]
#[case::revoked_lease(revoked_lease)]
#[case::expiring_lease(expiring_lease)]
#[case::unknown_lease(unknown_lease)]
#[case::key_detached_from_lease(key_detached_from_lease)]
#[case::watch_from_past_revision(watch_from_past_revision)]
#[case::watch_delivers_every_change(watch_delivers_every_change)]
#[case::watch_ends_when_idle(watch_ends_when_idle)]
#[case::compaction(compaction)]
fn contract(
    #[values(Adapter::Memory, Adapter::Gateway)] adapter: Adapter,
    #[case] check: fn(&TestStore),
) {
    check(&TestStore::new(adapter));
}

fn swaps(store: &TestStore) {
    let first = store.put("a", b"1");
    let found = store.get("a").unwrap().unwrap();
    assert_eq!(
        (found.version, found.value.as_slice()),
        (first, b"1".as_slice())
    );
    let repeated = swap("a", Expect::Absent, Some(b"2"), None);
    assert_eq!(
        store.swap(repeated).unwrap(),
        Swapped::Conflict(Some(found.clone()))
    );
    let second = store.put("a", b"2");
    assert!(second > first);
    let outdated = swap("a", Expect::Version(first), Some(b"3"), None);
    let Swapped::Conflict(Some(newer)) = store.swap(outdated).unwrap() else {
        panic!("a swap with an outdated version took effect");
    };
    assert_eq!((newer.version, newer.value), (second, b"2".to_vec()));
    let missing = swap("b", Expect::Version(first), Some(b"1"), None);
    assert_eq!(store.swap(missing).unwrap(), Swapped::Conflict(None));
    assert_eq!(store.value("b"), None);
}

fn deletions(store: &TestStore) {
    let version = store.put("a", b"1");
    let deleted = store.delete("a");
    assert!(deleted > version);
    assert_eq!(store.get("a").unwrap(), None);
    let repeated = swap("a", Expect::Version(version), None, None);
    assert_eq!(store.swap(repeated).unwrap(), Swapped::Conflict(None));
    assert!(store.put("a", b"2") > deleted);
}

fn listings(store: &TestStore) {
    for key in ["p/b", "p/a", "p", "p0", "q/a", "p/ø"] {
        store.put(key, key.as_bytes());
    }
    let keys = |prefix: &str| {
        let listing = store.list(prefix).unwrap();
        let keys = listing.entries.into_iter().map(|entry| entry.key);
        (keys.collect::<Vec<_>>(), listing.revision)
    };
    let revision = store.memory.revision();
    assert_eq!(
        keys("p/"),
        (vec!["p/a".into(), "p/b".into(), "p/ø".into()], revision)
    );
    assert_eq!(keys("p/ø").0, ["p/ø"]);
    assert_eq!(keys("none/"), (vec![], revision));
    assert_eq!(keys("").0.len(), 6);
}

fn keys_and_values(store: &TestStore) {
    let largest = vec![b'x'; MAX_VALUE_BYTES];
    let bytes: Vec<u8> = (0..=255).collect();
    for (key, value) in [
        ("empty", [].as_slice()),
        ("bytes", &bytes),
        ("größe/东京/🦀 \"quoted\"\\\n", b"unicode"),
        ("largest", &largest),
    ] {
        store.put(key, value);
        assert!(store.value(key).as_deref() == Some(value), "{key}");
    }
    let larger = vec![b'x'; MAX_VALUE_BYTES + 1];
    for refused in [
        swap("larger", Expect::Absent, Some(&larger), None),
        swap("", Expect::Absent, Some(b"1"), None),
    ] {
        let error = store.swap(refused).unwrap_err();
        assert!(error.is_refused());
        assert_eq!(error.effect(), Effect::None);
    }
}

fn concurrent_swaps(store: &TestStore) {
    let version = store.put("a", b"0");
    let successes = thread::scope(|scope| {
        let swaps: Vec<_> = (0..8)
            .map(|_| {
                let swap = swap("a", Expect::Version(version), Some(b"1"), None);
                scope.spawn(|| matches!(store.swap(swap), Ok(Swapped::Done(_))))
            })
            .collect();
        let successes = swaps.into_iter().map(|swap| swap.join().unwrap());
        successes.filter(|&success| success).count()
    });
    assert_eq!(successes, 1);
}

fn revoked_lease(store: &TestStore) {
    let lease = store.grant(Duration::from_secs(60)).unwrap();
    let other = store.grant(Duration::from_secs(60)).unwrap();
    assert_ne!(lease, other);
    store.put_leased("m/a", b"1", Some(lease));
    store.put_leased("m/b", b"1", Some(lease));
    store.put_leased("m/c", b"1", Some(other));
    assert!(store.renew(lease).unwrap());
    let from = store.memory.revision() + 1;
    store.revoke(lease).unwrap();
    assert!(!store.renew(lease).unwrap());
    assert!(store.renew(other).unwrap());
    let mut watch = store.watch("m/", from).unwrap();
    let seen = [watch.next().unwrap(), watch.next().unwrap()].map(format_change);
    assert_eq!(seen, [("-m/a".into(), from), ("-m/b".into(), from)]);
    assert_eq!(store.list("m/").unwrap().entries.len(), 1);
}

fn expiring_lease(store: &TestStore) {
    let ttl = Duration::from_secs(1);
    let start = Instant::now();
    let lease = store.grant(ttl).unwrap();
    let renewed = store.grant(ttl).unwrap();
    store.put_leased("m/a", b"1", Some(lease));
    store.put_leased("m/b", b"1", Some(renewed));
    thread::sleep(ttl / 2);
    assert!(store.renew(renewed).unwrap());
    let ended = loop {
        let polled_at = start.elapsed();
        if store.value("m/a").is_none() {
            break start.elapsed();
        }
        assert!(polled_at < ttl * 5);
        thread::sleep(Duration::from_millis(10));
    };
    assert!(ended >= ttl, "{ended:?}");
    assert!(ended >= ttl + ttl / 3 || store.value("m/b").is_some());
    assert!(!store.renew(lease).unwrap());
}

fn unknown_lease(store: &TestStore) {
    let lease = Lease(77);
    let error = store
        .swap(swap("a", Expect::Absent, Some(b"1"), Some(lease)))
        .unwrap_err();
    assert!(error.is_not_found() && error.effect() == Effect::None);
    assert_eq!(store.value("a"), None);
    assert!(!store.renew(lease).unwrap());
    store.revoke(lease).unwrap();
}

fn key_detached_from_lease(store: &TestStore) {
    let lease = store.grant(Duration::from_secs(60)).unwrap();
    store.put_leased("a", b"1", Some(lease));
    store.put("a", b"2");
    store.revoke(lease).unwrap();
    assert_eq!(store.value("a").as_deref(), Some(b"2".as_slice()));
}

fn watch_from_past_revision(store: &TestStore) {
    store.put("w/a", b"0");
    let first = store.put("w/a", b"1");
    store.put("x", b"other");
    store.put("w/b", b"2");
    store.delete("w/a");
    let mut watch = store.watch("w/", first).unwrap();
    let mut next = || format_change(watch.next().unwrap()).0;
    assert_eq!([next(), next(), next()], ["+w/a=1", "+w/b=2", "-w/a"]);
    thread::scope(|scope| {
        scope.spawn(|| store.put("w/ø", b"3"));
        assert_eq!(next(), "+w/ø=3");
    });
}

fn watch_delivers_every_change(store: &TestStore) {
    let from = store.memory.revision() + 1;
    let count = 150;
    let seen: Vec<(String, u64)> = thread::scope(|scope| {
        let watch = store.watch("w/", from).unwrap();
        for writer in 0..3 {
            scope.spawn(move || {
                for number in 0..count / 3 {
                    store.put(&format!("w/{writer}"), number.to_string().as_bytes());
                }
            });
        }
        watch.take(count).map(format_change).collect()
    });
    assert_eq!(seen.len(), count);
    assert!(seen.is_sorted_by(|one, next| one.1 < next.1));
}

fn watch_ends_when_idle(store: &TestStore) {
    store.put("w/a", b"1");
    let mut watch = store.watch("w/", 0).unwrap();
    assert_eq!(format_change(watch.next().unwrap()).0, "+w/a=1");
    let start = Instant::now();
    assert!(watch.next().is_none());
    assert!(start.elapsed() >= IDLE_TIMEOUT / 2 && start.elapsed() < IDLE_TIMEOUT * 3);
    assert!(watch.next().is_none());
}

fn compaction(store: &TestStore) {
    let first = store.put("w/a", b"1");
    let second = store.put("w/a", b"2");
    store.memory.compact(first);
    let outdated = match store.watch("w/", first) {
        Ok(mut watch) => watch.next().unwrap().map(|_| ()),
        Err(error) => Err(error),
    };
    assert!(outdated.unwrap_err().is_compacted());
    let mut watch = store.watch("w/", second).unwrap();
    assert_eq!(
        format_change(watch.next().unwrap()),
        ("+w/a=2".into(), second)
    );
    assert_eq!(store.value("w/a").as_deref(), Some(b"2".as_slice()));
}

#[test]
fn prefixed_store_removes_its_prefix() {
    let store = TestStore::new(Adapter::Gateway);
    store.put("a/other", b"0");
    let prefixed = Prefixed::new(store.store.clone(), "south/");
    let create = |key| swap(key, Expect::Absent, Some(b"1"), None);
    prefixed.swap(create("a/ø")).unwrap();
    let repeated = prefixed.swap(create("a/ø")).unwrap();
    assert!(matches!(repeated, Swapped::Conflict(Some(entry)) if entry.key == "a/ø"));
    assert_eq!(prefixed.get("a/ø").unwrap().unwrap().key, "a/ø");
    assert_eq!(prefixed.list("").unwrap().entries.len(), 1);
    let mut watch = prefixed.watch("a/", 0).unwrap();
    assert_eq!(format_change(watch.next().unwrap()).0, "+a/ø=1");
    store.delete("south/a/ø");
    assert_eq!(format_change(watch.next().unwrap()).0, "-a/ø");
}
