//! Prints what each call of the store costs on the wire and in time.
//!
//! Run with `cargo run --release -p rhubarbrill-edge --example store_cost`. The store is
//! the stand-in, so times are those of the adapter and the stand-in together.

use std::time::{Duration, Instant};

use rhubarbrill_edge::record::{self, Backoff, Decision};
use rhubarbrill_edge::store::{Error, Expect, Gateway, Lease, Store, Swap};
use rhubarbrill_standin::link::{Link, Traffic};
use rhubarbrill_standin::platform;

const ROUNDS: u32 = 200;
const RECORD_KEY: &str = "allowance/07";

fn main() -> Result<(), Error> {
    let store = platform::Store::start();
    let link = Link::start(store.address());
    let idle = Duration::from_millis(200);
    let gateway =
        Gateway::try_new([format!("http://{}", link.address())])?.with_idle_timeout(idle);
    let lease = gateway.grant(Duration::from_secs(60))?;
    println!("call                          sent B  received B      µs");
    cost(&link, "read, absent", || gateway.get("absent").map(drop));
    cost(&link, "renewal of a lease", || {
        gateway.renew(lease).map(drop)
    });
    for bytes in [100, 1_000, 10_000, 100_000] {
        let value = "x".repeat(bytes);
        let mut round = 0;
        let write = |_: Option<String>| {
            round += 1;
            Decision::<_, ()>::Write(format!("{round:03}{value}"))
        };
        update(&link, &gateway, bytes, write);
        cost(&link, &format!("read of a {bytes} B record"), || {
            gateway.get(RECORD_KEY).map(drop)
        });
    }
    cost_of_watch(&link, &gateway, idle)?;
    cost_of_events(&link, &gateway, lease)
}

/// Prints the mean cost of a call.
fn cost(link: &Link, name: &str, mut call: impl FnMut() -> Result<(), Error>) {
    call().expect("the store answers");
    let before = link.traffic();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        call().expect("the store answers");
    }
    print(name, ROUNDS, before, link.traffic(), start.elapsed());
}

fn update(
    link: &Link,
    gateway: &Gateway,
    bytes: usize,
    mut write: impl FnMut(Option<String>) -> Decision<String, ()>,
) {
    let waits = || Backoff::new(Duration::from_millis(1), Duration::from_millis(9), 9);
    cost(link, &format!("update of a {bytes} B record"), || {
        record::update(gateway, RECORD_KEY, waits(), &mut write).map(drop)
    });
}

/// Prints the cost of a watch from its beginning to its idle end.
fn cost_of_watch(link: &Link, gateway: &Gateway, idle: Duration) -> Result<(), Error> {
    let rounds = 5;
    let from = gateway.list("none/")?.revision + 1;
    let before = link.traffic();
    let start = Instant::now();
    for _ in 0..rounds {
        assert!(gateway.watch("none/", from)?.next().is_none());
    }
    let spent = start.elapsed().saturating_sub(idle * rounds);
    print(
        "watch without events",
        rounds,
        before,
        link.traffic(),
        spent,
    );
    Ok(())
}

/// Prints the cost of a watch's events, without the writes that cause them.
fn cost_of_events(link: &Link, gateway: &Gateway, lease: Lease) -> Result<(), Error> {
    let direct = |round: u32| Swap {
        key: format!("member/z1/{round}"),
        expect: Expect::Absent,
        value: Some(vec![b'x'; 100]),
        lease: Some(lease),
    };
    let from = gateway.list("member/")?.revision + 1;
    let mut watch = gateway.watch("member/", from)?;
    gateway.swap(direct(0))?;
    watch.next();
    let before = link.traffic();
    let start = Instant::now();
    for round in 1..=ROUNDS {
        gateway.swap(direct(round))?;
        watch.next().expect("every change comes")?;
    }
    let name = "swap of 100 B and its event";
    print(name, ROUNDS, before, link.traffic(), start.elapsed());
    Ok(())
}

fn print(name: &str, rounds: u32, before: Traffic, after: Traffic, spent: Duration) {
    let rounds = u64::from(rounds);
    let sent = (after.sent_bytes - before.sent_bytes) / rounds;
    let received = (after.received_bytes - before.received_bytes) / rounds;
    let micros = u64::try_from(spent.as_micros()).unwrap_or(u64::MAX) / rounds;
    println!("{name:<28} {sent:>8} {received:>11} {micros:>7}");
}
