//! Tests the gateway adapter against a faulty store and network.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use rhubarbrill_edge::record::{self, Backoff, Decision, Outcome};
use rhubarbrill_edge::store::{
    Change, Effect, Error, Expect, Gateway, Store, Swap, Swapped,
};
use rhubarbrill_standin::Blackhole;
use rhubarbrill_standin::link::{Link, NewConnections};
use rhubarbrill_standin::platform::{self, Down};
use rstest::rstest;

const CALL_TIMEOUT: Duration = Duration::from_millis(600);
const IDLE_TIMEOUT: Duration = Duration::from_millis(250);

fn gateway<const N: usize>(urls: [String; N]) -> Gateway {
    let gateway = Gateway::try_new(urls).unwrap();
    gateway
        .with_timeout(CALL_TIMEOUT)
        .with_idle_timeout(IDLE_TIMEOUT)
}

fn create(key: &str) -> Swap {
    Swap {
        key: key.into(),
        expect: Expect::Absent,
        value: Some(b"1".to_vec()),
        lease: None,
    }
}

/// Result of a call as its caller sees it, by the effect that the call may have had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Status {
    Success,
    NoEffect,
    Unknown,
}

fn status_of<T>(result: Result<T, Error>) -> Status {
    match result {
        Ok(_) => Status::Success,
        Err(error) if error.effect() == Effect::None => Status::NoEffect,
        Err(_) => Status::Unknown,
    }
}

/// A fault, the expected result of each kind of call, and whether the swap is applied.
struct Case {
    fault: fn(&platform::Store),
    read: Status,
    swap: Status,
    renew: Status,
    applied: bool,
}

#[rstest]
#[case::none(Case {
    fault: |_| {},
    read: Status::Success, swap: Status::Success, renew: Status::Success, applied: true,
})]
#[case::slow(Case {
    fault: |store| store.set_delay(CALL_TIMEOUT / 3),
    read: Status::Success, swap: Status::Success, renew: Status::Success, applied: true,
})]
#[case::slower_than_the_timeout(Case {
    fault: |store| store.set_delay(CALL_TIMEOUT * 2),
    read: Status::NoEffect, swap: Status::Unknown, renew: Status::Unknown, applied: false,
})]
#[case::refuses_connections(Case {
    fault: |store| store.set_down(Some(Down::Refuse)),
    read: Status::NoEffect, swap: Status::NoEffect, renew: Status::NoEffect,
    applied: false,
})]
#[case::hangs(Case {
    fault: |store| store.set_down(Some(Down::Hang)),
    read: Status::NoEffect, swap: Status::Unknown, renew: Status::Unknown, applied: false,
})]
#[case::loses_responses(Case {
    fault: |store| store.lose_responses(2),
    read: Status::Success, swap: Status::Unknown, renew: Status::Unknown, applied: true,
})]
#[case::reports_a_timeout(Case {
    fault: |store| store.time_out_changes(2),
    read: Status::Success, swap: Status::Unknown, renew: Status::Unknown, applied: true,
})]
fn calls_under_faults(#[case] case: Case) {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    let lease = gateway.grant(Duration::from_secs(60)).unwrap();
    (case.fault)(&store);
    let start = Instant::now();
    assert_eq!(status_of(gateway.get("k")), case.read, "read");
    assert_eq!(status_of(gateway.swap(create("k"))), case.swap, "swap");
    assert_eq!(status_of(gateway.renew(lease)), case.renew, "renewal");
    assert!(start.elapsed() < CALL_TIMEOUT * 8, "{:?}", start.elapsed());
    assert_eq!(store.memory().get("k").unwrap().is_some(), case.applied);
    let counts = gateway.call_counts();
    assert_eq!((counts.reads, counts.swaps, counts.leases), (1, 1, 2));
    let failed = [case.read, case.swap, case.renew];
    let failed = failed
        .iter()
        .filter(|&&status| status != Status::Success)
        .count();
    assert_eq!(counts.failures, failed as u64);
    store.set_delay(Duration::ZERO);
    store.set_down(None);
    assert!(record::read::<u32, _>(&gateway, "other").unwrap().is_none());
}

/// Sends a response that a healthy store wouldn't give, and expects that the swap is sent
/// only once and its possible effect is reported.
#[rstest]
#[case::garbage("200 OK", "<html>", Status::Unknown)]
#[case::empty("200 OK", "", Status::Unknown)]
#[case::no_revision("200 OK", r#"{"succeeded":true}"#, Status::Unknown)]
#[case::no_key("200 OK", r#"{"header":{"revision":"3"}}"#, Status::NoEffect)]
#[case::redirect("302 Found", "", Status::Unknown)]
#[case::proxy("502 Bad Gateway", "<html>", Status::Unknown)]
#[case::not_found("404 Not Found", "404 page not found", Status::Unknown)]
#[case::invalid("400 Bad Request", r#"{"code":3,"message":"bad"}"#, Status::NoEffect)]
#[case::busy("429 Too Many", r#"{"code":8,"message":"too many"}"#, Status::NoEffect)]
#[case::no_leader("503 No", r#"{"code":14,"message":"no leader"}"#, Status::Unknown)]
#[case::deadline("504 No", r#"{"code":4,"message":"deadline"}"#, Status::Unknown)]
#[case::unnamed("500 No", r#"{"message":"x"}"#, Status::Unknown)]
#[case::cut_short(
    "200 OK\r\ncontent-length: 90",
    r#"{"succeeded":true}"#,
    Status::Unknown
)]
fn unexpected_responses(
    #[case] status: &str,
    #[case] body: &str,
    #[case] expected: Status,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let location = format!("location: {url}/elsewhere\r\nconnection: close");
    let response = format!("HTTP/1.1 {status}\r\n{location}\r\n\r\n{body}");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let len = stream.read(&mut [0; 4096]).unwrap();
        assert!(len > 0);
        stream.write_all(response.as_bytes()).unwrap();
        drop(stream);
        listener.set_nonblocking(true).unwrap();
        thread::sleep(Duration::from_millis(20));
        assert!(listener.accept().is_err(), "the swap was sent twice");
    });
    assert_eq!(status_of(gateway([url]).swap(create("k"))), expected);
    server.join().unwrap();
}

/// With the first of two addresses down, a read is always retried at the second one, and
/// a swap only if the first address can't have received it.
#[rstest]
#[case::refuses(Some(Down::Refuse), true, true)]
#[case::hangs(Some(Down::Hang), true, false)]
fn failover_to_second_address(
    #[case] down: Option<Down>,
    #[case] read: bool,
    #[case] swap: bool,
) {
    let stores = [platform::Store::start(), platform::Store::start()];
    stores[0].set_down(down);
    let urls = || [stores[0].url(), stores[1].url()];
    let start = Instant::now();
    assert_eq!(gateway(urls()).get("k").is_ok(), read);
    let result = gateway(urls()).swap(create("k"));
    assert_eq!(result.is_ok(), swap);
    assert_eq!(stores[1].counts().txns, u64::from(swap));
    assert!(start.elapsed() < CALL_TIMEOUT * 8);
    let failed_over = gateway(urls());
    failed_over.get("k").unwrap();
    // The read moved the preferred address, so the swap goes there: at the hanging
    // address, its result would be unknown.
    failed_over.swap(create("later")).unwrap();
}

/// A connect timeout shows that nothing was sent, so a swap may go to the next address.
#[test]
fn unaccepted_connection_has_no_effect() {
    let blackhole = Blackhole::start();
    let url = format!("http://{}", blackhole.address());
    assert_eq!(
        status_of(gateway([url.clone()]).swap(create("k"))),
        Status::NoEffect
    );
    let store = platform::Store::start();
    let gateway = gateway([url, store.url()]);
    assert_eq!(status_of(gateway.swap(create("k"))), Status::Success);
}

#[test]
fn dead_connection_fails_one_call() {
    let store = platform::Store::start();
    let link = Link::start(store.address());
    let gateway = gateway([format!("http://{}", link.address())]);
    gateway.get("k").unwrap();
    gateway.get("k").unwrap();
    assert_eq!(link.traffic().connections, 1);
    link.freeze(NewConnections::Forward);
    assert_eq!(status_of(gateway.swap(create("k"))), Status::Unknown);
    assert_eq!(status_of(gateway.swap(create("k"))), Status::Success);
}

#[test]
fn conflict_returns_current_entry_despite_stale_reads() {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    gateway.swap(create("k")).unwrap();
    store.set_stale(1);
    assert_eq!(gateway.get("k").unwrap(), None);
    assert!(gateway.list("").unwrap().entries.is_empty());
    let repeated = gateway.swap(create("k")).unwrap();
    assert!(matches!(repeated, Swapped::Conflict(Some(entry)) if entry.value == b"1"));
}

/// A watch ends under each fault, with an error or by its idle timeout, and a new watch
/// from the next revision delivers the change that the first one missed.
#[rstest]
#[case::dropped(|store: &platform::Store| store.drop_watches(), true)]
#[case::muted(|store: &platform::Store| store.mute_watches(true), false)]
#[case::store_gone(|store: &platform::Store| store.set_down(Some(Down::Refuse)), true)]
fn watch_resumes_after_fault(#[case] fault: fn(&platform::Store), #[case] fails: bool) {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    gateway.swap(create("w/1")).unwrap();
    let mut watch = gateway.watch("w/", 0).unwrap();
    let Some(Ok(Change::Put(first))) = watch.next() else {
        panic!("the watch delivered no change");
    };
    assert_eq!(gateway.call_counts().active_watches, 1);
    fault(&store);
    thread::sleep(Duration::from_millis(60));
    store.memory().swap(create("w/2")).unwrap();
    let start = Instant::now();
    match watch.next() {
        Some(Err(error)) => assert!(fails && error.effect() == Effect::None),
        Some(Ok(change)) => panic!("unexpected change: {change:?}"),
        None => assert!(!fails),
    }
    assert!(start.elapsed() < IDLE_TIMEOUT * 8);
    assert!(watch.next().is_none());
    drop(watch);
    let counts = gateway.call_counts();
    assert_eq!(
        (counts.active_watches, counts.failures),
        (0, u64::from(fails))
    );
    store.set_down(None);
    store.mute_watches(false);
    let mut watch = gateway.watch("w/", first.version + 1).unwrap();
    let next = watch.next().unwrap().unwrap();
    assert!(matches!(next, Change::Put(entry) if entry.key == "w/2"));
}

#[test]
fn progress_keeps_a_quiet_watch_alive() {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]).with_idle_timeout(Duration::from_millis(900));
    let mut watch = gateway.watch("w/", 0).unwrap();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_millis(1300));
            store.memory().swap(create("w/1")).unwrap();
        });
        assert!(matches!(watch.next(), Some(Ok(Change::Put(_)))));
    });
    assert_eq!(store.counts().watches, 1);
}

#[test]
fn expired_lease_is_reported() {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    let lease = gateway.grant(Duration::from_secs(60)).unwrap();
    let leased = Swap {
        lease: Some(lease),
        ..create("member")
    };
    gateway.swap(leased).unwrap();
    store.expire_lease(lease);
    assert!(!gateway.renew(lease).unwrap());
    assert_eq!(gateway.get("member").unwrap(), None);
}

/// An update whose responses are lost is applied exactly once, although reads are stale.
#[rstest]
#[case(0)]
#[case(1)]
#[case(3)]
fn lost_responses_dont_repeat_an_update(#[case] lost: u32) {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    let add = |found: Option<u32>| Decision::<_, ()>::Write(found.unwrap_or(0) + 1);
    let backoff = || Backoff::new(Duration::from_millis(1), Duration::from_millis(4), 8);
    for _ in 0..2 {
        let outcome = record::update(&gateway, "sum", backoff(), add).unwrap();
        assert!(matches!(outcome, Outcome::Applied(_)));
    }
    store.lose_responses(lost);
    store.set_stale(1);
    let outcome = record::update(&gateway, "sum", backoff(), add).unwrap();
    assert!(matches!(outcome, Outcome::Applied(record) if record.value == 3));
    let found = record::read::<u32, _>(store.memory(), "sum")
        .unwrap()
        .unwrap();
    assert_eq!(found.value, 3);
}
