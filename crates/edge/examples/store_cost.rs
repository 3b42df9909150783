//! Measures the bytes on the wire and the time that each kind of store call takes.
//!
//! Run with `cargo run --release -p rhubarbrill-edge --example store_cost`. The store is
//! the in-process server of `rhubarbrill-standin`, so the times include both the adapter
//! and that server.

use std::time::{Duration, Instant};

use rhubarbrill_edge::record::{self, Backoff, Decision};
use rhubarbrill_edge::store::{Error, Expect, Gateway, Lease, Store, Swap};
use rhubarbrill_standin::link::{Link, Traffic};
use rhubarbrill_standin::platform;

const ITERATIONS: u32 = 200;
const RECORD_KEY: &str = "allowance/07";

fn main() -> Result<(), Error> {
    let store = platform::Store::start();
    let link = Link::start(store.address());
    let idle_timeout = Duration::from_millis(200);
    let gateway = Gateway::try_new([format!("http://{}", link.address())])?
        .with_idle_timeout(idle_timeout);
    let lease = gateway.grant(Duration::from_secs(60))?;
    println!("call                          sent B  received B      µs");
    measure_call(&link, "read, absent", || gateway.get("absent").map(drop));
    measure_call(&link, "renewal of a lease", || {
        gateway.renew(lease).map(drop)
    });
    for bytes in [100, 1_000, 10_000, 100_000] {
        let value = "x".repeat(bytes);
        let mut iteration = 0;
        let next_value = |_: Option<String>| {
            iteration += 1;
            Decision::<_, ()>::Write(format!("{iteration:03}{value}"))
        };
        measure_update(&link, &gateway, bytes, next_value);
        measure_call(&link, &format!("read of a {bytes} B record"), || {
            gateway.get(RECORD_KEY).map(drop)
        });
    }
    measure_idle_watch(&link, &gateway, idle_timeout)?;
    measure_watch_events(&link, &gateway, lease)
}

/// Prints the mean cost of a call, after one warm-up call that isn't measured.
fn measure_call(link: &Link, name: &str, mut call: impl FnMut() -> Result<(), Error>) {
    call().expect("the store responds");
    let before = link.traffic();
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        call().expect("the store responds");
    }
    print_row(name, ITERATIONS, before, link.traffic(), start.elapsed());
}

/// Prints the mean cost of updating a record of `bytes` bytes.
fn measure_update(
    link: &Link,
    gateway: &Gateway,
    bytes: usize,
    mut next_value: impl FnMut(Option<String>) -> Decision<String, ()>,
) {
    let backoff = || Backoff::new(Duration::from_millis(1), Duration::from_millis(9), 9);
    measure_call(link, &format!("update of a {bytes} B record"), || {
        record::update(gateway, RECORD_KEY, backoff(), &mut next_value).map(drop)
    });
}

/// Prints the cost of a watch that receives no event, from its start until its idle
/// timeout. The time printed excludes the idle timeout itself.
fn measure_idle_watch(
    link: &Link,
    gateway: &Gateway,
    idle_timeout: Duration,
) -> Result<(), Error> {
    let iterations = 5;
    let from = gateway.list("none/")?.revision + 1;
    let before = link.traffic();
    let start = Instant::now();
    for _ in 0..iterations {
        assert!(gateway.watch("none/", from)?.next().is_none());
    }
    let elapsed = start.elapsed().saturating_sub(idle_timeout * iterations);
    print_row(
        "watch without events",
        iterations,
        before,
        link.traffic(),
        elapsed,
    );
    Ok(())
}

/// Prints the mean cost of writing a key and receiving its event on an open watch.
fn measure_watch_events(
    link: &Link,
    gateway: &Gateway,
    lease: Lease,
) -> Result<(), Error> {
    let create = |iteration: u32| Swap {
        key: format!("member/z1/{iteration}"),
        expect: Expect::Absent,
        value: Some(vec![b'x'; 100]),
        lease: Some(lease),
    };
    let from = gateway.list("member/")?.revision + 1;
    let mut watch = gateway.watch("member/", from)?;
    gateway.swap(create(0))?;
    watch.next();
    let before = link.traffic();
    let start = Instant::now();
    for iteration in 1..=ITERATIONS {
        gateway.swap(create(iteration))?;
        watch.next().expect("the watch delivers every change")?;
    }
    let name = "swap of 100 B and its event";
    print_row(name, ITERATIONS, before, link.traffic(), start.elapsed());
    Ok(())
}

fn print_row(
    name: &str,
    iterations: u32,
    before: Traffic,
    after: Traffic,
    elapsed: Duration,
) {
    let iterations = u64::from(iterations);
    let sent = (after.sent_bytes - before.sent_bytes) / iterations;
    let received = (after.received_bytes - before.received_bytes) / iterations;
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX) / iterations;
    println!("{name:<28} {sent:>8} {received:>11} {micros:>7}");
}
