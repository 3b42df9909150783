//! Costs of configuration revisions at the planned size: 8,100 hosts, 300 workspaces, 160
//! pools.
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
use rhubarbrill_registry::configuration::{Configuration, Loaded, News, Proposal};

const ROUNDS: u64 = 50;
const CHANGES_PER_DAY: u64 = 20_000;

fn main() {
    let files = [File {
        path: "fleet.ini".to_owned(),
        text: fleet::declarations(),
    }];
    let mut document = declaration::parse(&files).expect("the declarations are sound");
    let store = Memory::new();
    let configuration = Configuration::new(&store);
    let mut loaded = Loaded::default();
    let span = accept(&configuration, &mut loaded, &document);
    println!("accept all declarations: {:.1} ms", millis(span));
    sizes(&store, "config/part/");

    let mut in_force = ActiveConfiguration::default();
    in_force
        .apply_document(loaded.revision, &document, loaded.digest)
        .expect("the digest fits");
    let mut spans = Spans::default();
    for round in 0..ROUNDS {
        limit(&mut document, "team-7", round);
        spans
            .accept
            .push(accept(&configuration, &mut loaded, &document));
        let start = Instant::now();
        let news = configuration.fetch_since(in_force.revision());
        spans.fetch.push(start.elapsed());
        let Ok(News::Revisions(revisions)) = news else {
            panic!("the last revision is kept");
        };
        let start = Instant::now();
        in_force
            .apply_revision(&revisions[0])
            .expect("the revision is the next");
        spans.take.push(start.elapsed());
    }
    spans.print();
    let revision = store.get("config/revision/00000000000000000002");
    let bytes = revision
        .expect("the store answers")
        .map_or(0, |entry| entry.value.len());
    println!("record of one change: {bytes} bytes");
    println!(
        "records of a day: {} KB",
        bytes as u64 * CHANGES_PER_DAY / 1_000
    );

    limit(&mut document, "team-7", ROUNDS);
    let snapshotting = Configuration::new(&store).snapshot_interval(1);
    let span = accept(&snapshotting, &mut loaded, &document);
    println!(
        "accept one change and write a snapshot: {:.1} ms",
        millis(span)
    );
    sizes(&store, "config/snapshot/");
    let start = Instant::now();
    configuration.load().expect("the records fit together");
    println!("load from the snapshot: {:.1} ms", millis(start.elapsed()));
}

#[derive(Default)]
struct Spans {
    accept: Vec<Duration>,
    fetch: Vec<Duration>,
    take: Vec<Duration>,
}

impl Spans {
    fn print(&mut self) {
        let rows = [
            ("accept one change, store in memory", &mut self.accept),
            ("fetch one change, store in memory", &mut self.fetch),
            ("put one change in force", &mut self.take),
        ];
        for (what, spans) in rows {
            spans.sort();
            let (median, longest) = (spans[spans.len() / 2], spans[spans.len() - 1]);
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
    loaded: &mut Loaded,
    document: &Document,
) -> Duration {
    let proposal = Proposal::try_new(loaded, document, "ann", Timestamp::default())
        .expect("the document is sound");
    let start = Instant::now();
    configuration.accept(&proposal).expect("the store answers");
    let span = start.elapsed();
    loaded.revision += 1;
    loaded.document = document.clone();
    loaded.digest = document.digest();
    span
}

fn limit(document: &mut Document, workspace: &str, limit: u64) {
    let id = Id::new(Kind::Workspace, workspace);
    let mut properties = document.get(&id).cloned().unwrap_or_default();
    properties.set("limit", limit.to_string());
    document.insert(Section { id, properties });
}

fn sizes(store: &Memory, prefix: &str) {
    let listing = store.list(prefix).expect("the store answers");
    let sizes: Vec<usize> = listing
        .entries
        .iter()
        .map(|entry| entry.value.len())
        .collect();
    println!("{prefix}: {} values of {sizes:?} bytes", sizes.len());
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
