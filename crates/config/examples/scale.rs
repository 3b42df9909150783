//! Measures parsing, storing and applying declarations of a large fleet: 8,100 hosts,
//! 300 workspaces and 160 pools.
//!
//! Run with `cargo run --release -p rhubarbrill-config --example scale`.

#[path = "scale/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use rhubarbrill_config::declaration::{self, File};
use rhubarbrill_config::document::{Id, Kind, Section};
use rhubarbrill_config::{Document, key};
use rhubarbrill_core::fleet::Fleet;

/// Runs per measured duration, and values per measured memory size.
const ROUNDS: u32 = 50;

fn main() {
    let files = [File {
        path: "fleet.ini".to_owned(),
        text: fleet::declarations(),
    }];
    let document = declaration::parse(&files).expect("the declarations are valid");
    println!(
        "declarations: {} sections, {} bytes",
        document.len(),
        files[0].text.len()
    );
    let json = serde_json::to_vec(&document).expect("a document serializes as JSON");
    println!("document as JSON: {} bytes", json.len());
    let mut fleet = Fleet::default();
    document
        .update_fleet(&mut fleet, 1)
        .expect("the document is valid");
    println!(
        "memory of a document: {} KB",
        bytes_per_value(|| document.clone()) / 1_000
    );
    println!(
        "memory of a fleet: {} KB",
        bytes_per_value(|| fleet.clone()) / 1_000
    );

    report(
        "parse and check all declarations",
        median_time(|| declaration::parse(&files)),
    );
    report("digest", median_time(|| document.digest()));
    report("write JSON", median_time(|| serde_json::to_vec(&document)));
    report(
        "read JSON",
        median_time(|| serde_json::from_slice::<Document>(&json)),
    );
    report("clone", median_time(|| document.clone()));

    report(
        "update the whole fleet",
        median_time(|| document.update_fleet(&mut fleet, 1)),
    );
    let token = key::grant("team-7", "first").expect("the names are valid");
    let mut keyed = document.clone();
    keyed.insert(token.section);
    keyed
        .update_fleet(&mut fleet, 2)
        .expect("the document is valid");
    report(
        "verify a token",
        median_time(|| key::verify(&fleet, &token.token)),
    );
    report("diff of one change", median_time(|| document.diff(&keyed)));
    report_change(
        &document,
        "a change of a workspace's limit",
        Kind::Workspace,
        "team-7",
        "limit",
        "77",
    );
    report_change(
        &document,
        "a change of a host's slots",
        Kind::Host,
        "host-70",
        "slots",
        "7",
    );
    report_change(
        &document,
        "a change of a host's pool",
        Kind::Host,
        "host-70",
        "pool",
        "pool-7",
    );
}

/// Reports how long it takes to apply a change of one key to a document and its fleet.
fn report_change(
    base: &Document,
    label: &str,
    kind: Kind,
    name: &str,
    key: &str,
    value: &str,
) {
    let mut document = base.clone();
    let mut fleet = Fleet::default();
    document
        .update_fleet(&mut fleet, 1)
        .expect("the document is valid");
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
    let elapsed = median_time(|| {
        document.apply(&delta);
        document.apply_delta_to_fleet(&delta, &mut fleet, 2)
    });
    report(&format!("apply {label}"), elapsed);
}

/// Returns the median duration of [`ROUNDS`] runs.
fn median_time<T>(mut run: impl FnMut() -> T) -> Duration {
    let mut durations: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            std::hint::black_box(run());
            start.elapsed()
        })
        .collect();
    durations.sort();
    durations[durations.len() / 2]
}

/// Returns the mean growth of resident memory per value made, in bytes.
fn bytes_per_value<T>(make: impl Fn() -> T) -> u64 {
    let before = resident_bytes();
    let values: Vec<T> = (0..u64::from(ROUNDS)).map(|_| make()).collect();
    (resident_bytes() - before) / values.len() as u64
}

/// Returns the resident memory of this process in bytes, or zero on systems without
/// `/proc/self/statm`.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn report(label: &str, elapsed: Duration) {
    println!("{label}: {:.1} us", elapsed.as_secs_f64() * 1e6);
}
