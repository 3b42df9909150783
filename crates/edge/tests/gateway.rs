//! The gateway's adapter against a store that fails.

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

const TIMEOUT: Duration = Duration::from_millis(600);
const IDLE: Duration = Duration::from_millis(250);

fn gateway<const N: usize>(urls: [String; N]) -> Gateway {
    let gateway = Gateway::try_new(urls).unwrap();
    gateway.with_timeout(TIMEOUT).with_idle(IDLE)
}

fn create(key: &str) -> Swap {
    Swap {
        key: key.into(),
        expect: Expect::Absent,
        value: Some(b"1".to_vec()),
        lease: None,
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Answered,
    NoEffect,
    Unknown,
}

fn end<T>(result: Result<T, Error>) -> End {
    match result {
        Ok(_) => End::Answered,
        Err(error) if error.effect() == Effect::None => End::NoEffect,
        Err(_) => End::Unknown,
    }
}

/// A fault, how each kind of call ends under it, and whether a swap takes effect.
struct Case {
    fault: fn(&platform::Store),
    read: End,
    swap: End,
    renew: End,
    applied: bool,
}

#[rstest]
#[case::none(Case {
    fault: |_| {},
    read: End::Answered, swap: End::Answered, renew: End::Answered, applied: true,
})]
#[case::slow(Case {
    fault: |store| store.set_delay(TIMEOUT / 3),
    read: End::Answered, swap: End::Answered, renew: End::Answered, applied: true,
})]
#[case::slower_than_the_timeout(Case {
    fault: |store| store.set_delay(TIMEOUT * 2),
    read: End::NoEffect, swap: End::Unknown, renew: End::Unknown, applied: false,
})]
#[case::refuses(Case {
    fault: |store| store.set_down(Some(Down::Refuse)),
    read: End::NoEffect, swap: End::NoEffect, renew: End::NoEffect, applied: false,
})]
#[case::hangs(Case {
    fault: |store| store.set_down(Some(Down::Hang)),
    read: End::NoEffect, swap: End::Unknown, renew: End::Unknown, applied: false,
})]
#[case::loses_answers(Case {
    fault: |store| store.lose_responses(2),
    read: End::Answered, swap: End::Unknown, renew: End::Unknown, applied: true,
})]
#[case::answers_that_it_timed_out(Case {
    fault: |store| store.time_out_changes(2),
    read: End::Answered, swap: End::Unknown, renew: End::Unknown, applied: true,
})]
fn faults(#[case] case: Case) {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    let lease = gateway.grant(Duration::from_secs(60)).unwrap();
    (case.fault)(&store);
    let start = Instant::now();
    assert_eq!(end(gateway.get("k")), case.read, "read");
    assert_eq!(end(gateway.swap(create("k"))), case.swap, "swap");
    assert_eq!(end(gateway.renew(lease)), case.renew, "renewal");
    assert!(start.elapsed() < TIMEOUT * 8, "{:?}", start.elapsed());
    assert_eq!(store.memory().get("k").unwrap().is_some(), case.applied);
    let calls = gateway.calls();
    assert_eq!((calls.reads, calls.swaps, calls.leases), (1, 1, 2));
    let failed = [case.read, case.swap, case.renew];
    let failed = failed.iter().filter(|&&end| end != End::Answered).count();
    assert_eq!(calls.failures, failed as u64);
    store.set_delay(Duration::ZERO);
    store.set_down(None);
    assert!(record::read::<u32, _>(&gateway, "other").unwrap().is_none());
}

/// An answer that something other than a healthy store gives.
#[rstest]
#[case::garbage("200 OK", "<html>", End::Unknown)]
#[case::empty("200 OK", "", End::Unknown)]
#[case::no_revision("200 OK", r#"{"succeeded":true}"#, End::Unknown)]
#[case::no_key("200 OK", r#"{"header":{"revision":"3"}}"#, End::NoEffect)]
#[case::redirect("302 Found", "", End::Unknown)]
#[case::proxy("502 Bad Gateway", "<html>", End::Unknown)]
#[case::not_found("404 Not Found", "404 page not found", End::Unknown)]
#[case::invalid("400 Bad Request", r#"{"code":3,"message":"bad"}"#, End::NoEffect)]
#[case::busy("429 Too Many", r#"{"code":8,"message":"too many"}"#, End::NoEffect)]
#[case::no_leader("503 No", r#"{"code":14,"message":"no leader"}"#, End::Unknown)]
#[case::deadline("504 No", r#"{"code":4,"message":"deadline"}"#, End::Unknown)]
#[case::unnamed("500 No", r#"{"message":"x"}"#, End::Unknown)]
#[case::cut_short("200 OK\r\ncontent-length: 90", r#"{"succeeded":true}"#, End::Unknown)]
fn odd_answers(#[case] status: &str, #[case] body: &str, #[case] ends: End) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let location = format!("location: {url}/elsewhere\r\nconnection: close");
    let answer = format!("HTTP/1.1 {status}\r\n{location}\r\n\r\n{body}");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let len = stream.read(&mut [0; 4096]).unwrap();
        assert!(len > 0);
        stream.write_all(answer.as_bytes()).unwrap();
        drop(stream);
        listener.set_nonblocking(true).unwrap();
        thread::sleep(Duration::from_millis(20));
        assert!(listener.accept().is_err(), "sent twice");
    });
    assert_eq!(end(gateway([url]).swap(create("k"))), ends);
    server.join().unwrap();
}

/// What the first of two addresses does, and whether the second is asked.
#[rstest]
#[case::refuses(Some(Down::Refuse), true, true)]
#[case::hangs(Some(Down::Hang), true, false)]
fn second_address(#[case] down: Option<Down>, #[case] read: bool, #[case] swap: bool) {
    let stores = [platform::Store::start(), platform::Store::start()];
    stores[0].set_down(down);
    let urls = || [stores[0].url(), stores[1].url()];
    let start = Instant::now();
    assert_eq!(gateway(urls()).get("k").is_ok(), read);
    let result = gateway(urls()).swap(create("k"));
    assert_eq!(result.is_ok(), swap);
    assert_eq!(stores[1].counts().txns, u64::from(swap));
    assert!(start.elapsed() < TIMEOUT * 8);
    let sticky = gateway(urls());
    sticky.get("k").unwrap();
    // Would end unknown at the first address while that hangs.
    sticky.swap(create("later")).unwrap();
}

/// Nothing is sent to an address that never accepts, so the next one may be asked.
#[test]
fn address_that_never_accepts() {
    let blackhole = Blackhole::start();
    let url = format!("http://{}", blackhole.address());
    assert_eq!(end(gateway([url.clone()]).swap(create("k"))), End::NoEffect);
    let store = platform::Store::start();
    let gateway = gateway([url, store.url()]);
    assert_eq!(end(gateway.swap(create("k"))), End::Answered);
}

#[test]
fn silent_connection_costs_one_call() {
    let store = platform::Store::start();
    let link = Link::start(store.address());
    let gateway = gateway([format!("http://{}", link.address())]);
    gateway.get("k").unwrap();
    gateway.get("k").unwrap();
    assert_eq!(link.traffic().connections, 1);
    link.freeze(NewConnections::Forward);
    assert_eq!(end(gateway.swap(create("k"))), End::Unknown);
    assert_eq!(end(gateway.swap(create("k"))), End::Answered);
}

#[test]
fn stale_reads_and_fresh_conflicts() {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    gateway.swap(create("k")).unwrap();
    store.set_stale(1);
    assert_eq!(gateway.get("k").unwrap(), None);
    assert!(gateway.list("").unwrap().entries.is_empty());
    let again = gateway.swap(create("k")).unwrap();
    assert!(matches!(again, Swapped::Conflict(Some(entry)) if entry.value == b"1"));
}

/// How a watch ends, and what is seen on the one that goes on from there.
#[rstest]
#[case::dropped(|store: &platform::Store| store.drop_watches(), true)]
#[case::muted(|store: &platform::Store| store.mute_watches(true), false)]
#[case::store_gone(|store: &platform::Store| store.set_down(Some(Down::Refuse)), true)]
fn watches_resume(#[case] fault: fn(&platform::Store), #[case] fails: bool) {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    gateway.swap(create("w/1")).unwrap();
    let mut watch = gateway.watch("w/", 0).unwrap();
    let Some(Ok(Change::Put(first))) = watch.next() else {
        panic!("no change");
    };
    assert_eq!(gateway.calls().watching, 1);
    fault(&store);
    thread::sleep(Duration::from_millis(60));
    store.memory().swap(create("w/2")).unwrap();
    let start = Instant::now();
    match watch.next() {
        Some(Err(error)) => assert!(fails && error.effect() == Effect::None),
        Some(Ok(change)) => panic!("{change:?}"),
        None => assert!(!fails),
    }
    assert!(start.elapsed() < IDLE * 8);
    assert!(watch.next().is_none());
    drop(watch);
    let calls = gateway.calls();
    assert_eq!((calls.watching, calls.failures), (0, u64::from(fails)));
    store.set_down(None);
    store.mute_watches(false);
    let mut watch = gateway.watch("w/", first.version + 1).unwrap();
    let next = watch.next().unwrap().unwrap();
    assert!(matches!(next, Change::Put(entry) if entry.key == "w/2"));
}

#[test]
fn progress_keeps_a_quiet_watch_alive() {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]).with_idle(Duration::from_millis(900));
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
fn lapsed_lease_shows() {
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

/// Answers lost one after another, with reads stale all the while.
#[rstest]
#[case(0)]
#[case(1)]
#[case(3)]
fn record_is_written_once(#[case] lost: u32) {
    let store = platform::Store::start();
    let gateway = gateway([store.url()]);
    let add = |found: Option<u32>| Decision::<_, ()>::Write(found.unwrap_or(0) + 1);
    let waits = || Backoff::new(Duration::from_millis(1), Duration::from_millis(4), 8);
    for _ in 0..2 {
        let outcome = record::update(&gateway, "sum", waits(), add).unwrap();
        assert!(matches!(outcome, Outcome::Applied(_)));
    }
    store.lose_responses(lost);
    store.set_stale(1);
    let outcome = record::update(&gateway, "sum", waits(), add).unwrap();
    assert!(matches!(outcome, Outcome::Applied(record) if record.value == 3));
    let found = record::read::<u32, _>(store.memory(), "sum")
        .unwrap()
        .unwrap();
    assert_eq!(found.value, 3);
}
