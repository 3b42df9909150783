//! Costs of declarations at the planned size: 8,100 hosts, 300 workspaces, 160 pools.
//!
//! Run with `cargo run --release -p rhubarbrill-config --example scale`.

#[path = "scale/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use rhubarbrill_config::declaration::{self, File};
use rhubarbrill_config::document::{Id, Kind, Section};
use rhubarbrill_config::{Document, key};
use rhubarbrill_core::fleet::Fleet;

const ROUNDS: u32 = 50;

fn main() {
    let files = [File {
        path: "fleet.ini".to_owned(),
        text: fleet::declarations(),
    }];
    let document = declaration::parse(&files).expect("the declarations are sound");
    println!(
        "declarations: {} sections, {} bytes",
        document.len(),
        files[0].text.len()
    );
    let json = serde_json::to_vec(&document).expect("a document has a JSON form");
    println!("document as JSON: {} bytes", json.len());
    let mut fleet = Fleet::default();
    document
        .update_fleet(&mut fleet, 1)
        .expect("the document is sound");
    println!(
        "memory of a document: {} KB",
        memory(|| document.clone()) / 1_000
    );
    println!("memory of a fleet: {} KB", memory(|| fleet.clone()) / 1_000);

    report(
        "check all declarations",
        time(|| declaration::parse(&files)),
    );
    report("digest", time(|| document.digest()));
    report("write JSON", time(|| serde_json::to_vec(&document)));
    report(
        "read JSON",
        time(|| serde_json::from_slice::<Document>(&json)),
    );
    report("clone", time(|| document.clone()));

    report(
        "update the whole fleet",
        time(|| document.update_fleet(&mut fleet, 1)),
    );
    let token = key::grant("team-7", "first").expect("the name is well formed");
    let mut keyed = document.clone();
    keyed.insert(token.section);
    keyed
        .update_fleet(&mut fleet, 2)
        .expect("the document is sound");
    report("verify a token", time(|| key::verify(&fleet, &token.token)));
    report("diff of one change", time(|| document.diff(&keyed)));
    change(
        &document,
        "limit of a team",
        Kind::Workspace,
        "team-7",
        "limit",
        "77",
    );
    change(
        &document,
        "slots of a host",
        Kind::Host,
        "host-70",
        "slots",
        "7",
    );
    change(
        &document,
        "pool of a host",
        Kind::Host,
        "host-70",
        "pool",
        "pool-7",
    );
}

fn change(whole: &Document, what: &str, kind: Kind, name: &str, key: &str, value: &str) {
    let mut document = whole.clone();
    let mut fleet = Fleet::default();
    document
        .update_fleet(&mut fleet, 1)
        .expect("the document is sound");
    let mut section = Section {
        id: Id::new(kind, name),
        properties: document
            .get(&Id::new(kind, name))
            .cloned()
            .unwrap_or_default(),
    };
    section.properties.set(key, value);
    let mut changed = document.clone();
    changed.insert(section);
    let delta = document.diff(&changed);
    let span = time(|| {
        document.apply(&delta);
        document.apply_delta_to_fleet(&delta, &mut fleet, 2)
    });
    report(&format!("apply {what}"), span);
}

/// Returns the median time of one run.
fn time<T>(mut run: impl FnMut() -> T) -> Duration {
    let mut spans: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            std::hint::black_box(run());
            start.elapsed()
        })
        .collect();
    spans.sort();
    spans[spans.len() / 2]
}

/// Returns what one of many copies adds to the resident memory, in bytes.
fn memory<T>(make: impl Fn() -> T) -> u64 {
    let before = resident_bytes();
    let held: Vec<T> = (0..u64::from(ROUNDS)).map(|_| make()).collect();
    (resident_bytes() - before) / held.len() as u64
}

/// Returns the resident memory of this process; zero where the system doesn't tell.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn report(what: &str, span: Duration) {
    println!("{what}: {:.1} us", span.as_secs_f64() * 1e6);
}
