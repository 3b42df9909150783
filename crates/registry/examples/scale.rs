//! Measures the cost of configuration revisions at the planned fleet size: 8,100 hosts,
//! 300 workspaces and 160 pools.
//!
//! Run with `cargo run --release -p rhubarbrill-registry --example scale`.

#[path = "../../config/examples/scale/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use rhubarbrill_config::declaration::{self, File};
use rhubarbrill_config::document::{Id, Kind, Section};
use rhubarbrill_config::{ActiveConfiguration, Document};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_edge::store::{Memory, Store};
use rhubarbrill_registry::configuration::{
    Configuration, ConfigurationUpdate, LoadedConfiguration, Proposal,
};

const ROUNDS: u64 = 50;
const CHANGES_PER_DAY: u64 = 20_000;

fn main() {
    let files = [File {
        path: "fleet.ini".to_owned(),
        text: fleet::declarations(),
    }];
    let mut document = declaration::parse(&files).expect("the declarations are valid");
    let store = Memory::new();
    let configuration = Configuration::new(&store);
    let mut loaded = LoadedConfiguration::default();
    let elapsed = accept(&configuration, &mut loaded, &document);
    println!("accept all declarations: {:.1} ms", millis(elapsed));
    print_sizes(&store, "config/part/");

    let mut in_force = ActiveConfiguration::default();
    in_force
        .apply_document(loaded.revision, &document, loaded.digest)
        .expect("the digest matches");
    let mut timings = Timings::default();
    for round in 0..ROUNDS {
        set_limit(&mut document, "team-7", round);
        timings
            .accept
            .push(accept(&configuration, &mut loaded, &document));
        let start = Instant::now();
        let news = configuration.fetch_since(in_force.revision());
        timings.fetch.push(start.elapsed());
        let Ok(ConfigurationUpdate::Revisions(revisions)) = news else {
            panic!("expected the newest revision, got the full configuration");
        };
        let start = Instant::now();
        in_force
            .apply_revision(&revisions[0])
            .expect("the revision follows the one in force");
        timings.take.push(start.elapsed());
    }
    timings.print();
    let revision = store.get("config/revision/00000000000000000002");
    let bytes = revision
        .expect("the store responds")
        .map_or(0, |entry| entry.value.len());
    println!("record of one change: {bytes} bytes");
    println!(
        "records per day: {} KB",
        bytes as u64 * CHANGES_PER_DAY / 1_000
    );

    set_limit(&mut document, "team-7", ROUNDS);
    let snapshotting = Configuration::new(&store).snapshot_interval(1);
    let elapsed = accept(&snapshotting, &mut loaded, &document);
    println!(
        "accept one change and write a snapshot: {:.1} ms",
        millis(elapsed)
    );
    print_sizes(&store, "config/snapshot/");
    let start = Instant::now();
    configuration.load().expect("the records are consistent");
    println!("load from the snapshot: {:.1} ms", millis(start.elapsed()));
}

#[derive(Default)]
struct Timings {
    accept: Vec<Duration>,
    fetch: Vec<Duration>,
    take: Vec<Duration>,
}

impl Timings {
    fn print(&mut self) {
        let rows = [
            ("accept one change, store in memory", &mut self.accept),
            ("fetch one change, store in memory", &mut self.fetch),
            ("put one change in force", &mut self.take),
        ];
        for (what, timings) in rows {
            timings.sort();
            let (median, longest) =
                (timings[timings.len() / 2], timings[timings.len() - 1]);
            println!(
                "{what}: median {:.2} ms, longest {:.2} ms",
                millis(median),
                millis(longest)
            );
        }
    }
}

fn accept(
    configuration: &Configuration<'_, Memory>,
    loaded: &mut LoadedConfiguration,
    document: &Document,
) -> Duration {
    let proposal = Proposal::try_new(loaded, document, "ann", Timestamp::default())
        .expect("the document is valid");
    let start = Instant::now();
    configuration.accept(&proposal).expect("the store responds");
    let elapsed = start.elapsed();
    loaded.revision += 1;
    loaded.document = document.clone();
    loaded.digest = document.digest();
    elapsed
}

fn set_limit(document: &mut Document, workspace: &str, limit: u64) {
    let id = Id::new(Kind::Workspace, workspace);
    let mut properties = document.get(&id).cloned().unwrap_or_default();
    properties.set("limit", limit.to_string());
    document.insert(Section { id, properties });
}

fn print_sizes(store: &Memory, prefix: &str) {
    let listing = store.list(prefix).expect("the store responds");
    let sizes: Vec<usize> = listing
        .entries
        .iter()
        .map(|entry| entry.value.len())
        .collect();
    println!("{prefix}: {} values of {sizes:?} bytes", sizes.len());
}

fn millis(elapsed: Duration) -> f64 {
    elapsed.as_secs_f64() * 1e3
}
