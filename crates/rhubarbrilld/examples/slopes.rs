//! Measures what heartbeats, configuration changes and membership changes cost an entry
//! host as the fleet grows, for docs/CAPACITY.md.
//!
//! Run it with `cargo run --release --example slopes`. Sizes in bytes are exact, and each
//! time is the shortest of several rounds.

use std::fmt::Write;
use std::time::{Duration, Instant};

use rhubarbrill_config::declaration::{self, File};
use rhubarbrill_config::document::{Id, Kind, Section};
use rhubarbrill_config::{Delta, Document, Revision};
use rhubarbrill_core::gate::{Gate, Members, Options};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::{Instant as CoreInstant, Timestamp};
use rhubarbrill_peer::{Heartbeat, Load, TransferRequest};
use rhubarbrilld::control::AppliedState;

const ROUNDS: u32 = 9;

/// Size of a fleet that is measured.
#[derive(Clone, Copy, Debug)]
struct Size {
    hosts: usize,
    pools: usize,
    workspaces: usize,
    entries: usize,
}

const SIZES: [Size; 3] = [
    Size {
        hosts: 50,
        pools: 6,
        workspaces: 6,
        entries: 8,
    },
    Size {
        hosts: 500,
        pools: 20,
        workspaces: 50,
        entries: 16,
    },
    Size {
        hosts: 8_100,
        pools: 160,
        workspaces: 300,
        entries: 76,
    },
];

fn main() {
    print_heartbeats();
    println!();
    println!(
        "{:>6} {:>6} {:>6} | {:>10} {:>10} {:>12} {:>11} {:>10}",
        "hosts",
        "pools",
        "teams",
        "change us",
        "gate us",
        "members us",
        "snapshot B",
        "change B"
    );
    for size in SIZES {
        print_fleet(size);
    }
}

/// Prints the size of heartbeats, and the time to serialize and deserialize one.
fn print_heartbeats() {
    println!("{:>6} {:>6} | {:>9} {:>9}", "loads", "known", "bytes", "us");
    for (loads, known) in [(0, 7), (30, 7), (300, 7), (0, 75), (300, 75)] {
        let heartbeat = heartbeat(loads, known);
        let text =
            serde_json::to_string(&heartbeat).expect("a heartbeat can be serialized");
        let time = fastest(|| {
            let text = serde_json::to_string(&heartbeat).unwrap_or_default();
            serde_json::from_str::<Heartbeat>(&text).is_ok()
        });
        println!(
            "{loads:>6} {known:>6} | {:>9} {:>9.1}",
            text.len(),
            micros(time)
        );
    }
}

fn print_fleet(size: Size) {
    let text = declarations(size);
    let files = [File {
        path: "fleet.ini".into(),
        text,
    }];
    let mut document = declaration::parse(&files).expect("the declarations are valid");
    let mut applied = AppliedState::default();
    applied
        .apply_snapshot(1, &document, document.digest())
        .expect("a new keeper has no revision yet");
    let last_revision = 1 + u64::from(ROUNDS);
    let changes: Vec<Revision> = (2..=last_revision)
        .map(|n| change(&mut document, n))
        .collect();
    let mut next = changes.iter();
    let change_time = fastest(|| {
        let revision = next.next().expect("there is one change for each round");
        applied
            .apply_revision(revision)
            .expect("the change follows the previous revision");
    });
    let mut gate = Gate::new(Options::default());
    let placement = applied.placement();
    let now = CoreInstant::ZERO;
    let reconfigure_time = fastest(|| gate.reconfigure(applied.fleet(), &placement, now));
    let members: Vec<Member> = (0..size.entries).map(member).collect();
    let members_time = fastest(|| {
        gate.set_members(Members {
            this: members[0].clone(),
            live: members.clone(),
        });
    });
    let full_transfer = applied.transfer(TransferRequest {
        revision: 0,
        ledger: 0,
    });
    let change_transfer = applied.transfer(TransferRequest {
        revision: last_revision - 1,
        ledger: 0,
    });
    let snapshot_len = full_transfer
        .snapshot
        .map_or(0, |snapshot| snapshot.body.len());
    let change_len: usize = change_transfer
        .changes
        .iter()
        .map(|change| change.body.len())
        .sum();
    println!(
        "{:>6} {:>6} {:>6} | {:>10.0} {:>10.0} {:>12.0} {snapshot_len:>11} \
         {change_len:>10}",
        size.hosts,
        size.pools,
        size.workspaces,
        micros(change_time),
        micros(reconfigure_time),
        micros(members_time),
    );
}

/// Changes the share of a workspace in the document, and returns the change as a
/// revision.
fn change(document: &mut Document, number: u64) -> Revision {
    let id = Id::new(Kind::Workspace, "team-0");
    let properties = document.get(&id).cloned().unwrap_or_default();
    let mut section = Section { id, properties };
    section
        .properties
        .set("share", (number % 50 + 1).to_string());
    let delta = Delta {
        upserts: vec![section],
        removals: Vec::new(),
    };
    document.apply(&delta);
    Revision {
        number,
        digest: document.digest(),
        author: "operator".into(),
        proposed_at: Timestamp::from_millis(1_700_000_000_000),
        delta,
    }
}

fn member(number: usize) -> Member {
    let zone = format!("z{}", number % 19);
    Member {
        entry: format!("{zone}-e{number}"),
        zone,
        incarnation: 1,
    }
}

fn heartbeat(loads: usize, known: usize) -> Heartbeat {
    let workspace_load = |number| Load {
        workspace: format!("team-{number}"),
        pool: format!("pool-{}", number % 160),
        running: 12,
        waiting: 7,
        run_time_ms: Some(150),
    };
    let address = |number: usize| {
        let octet = u8::try_from(number % 256).unwrap_or_default();
        std::net::SocketAddr::from(([10, 0, 0, octet], 8_082))
    };
    Heartbeat {
        member: member(0),
        address: address(0),
        revision: 1_000_000,
        ledger: 100_000,
        store_reachable: true,
        draining: false,
        loads: (0..loads).map(workspace_load).collect(),
        residents: Vec::new(),
        ejected: Vec::new(),
        ledger_age_ms: None,
        slots: Vec::new(),
        known: (0..known).map(address).collect(),
    }
}

fn declarations(size: Size) -> String {
    let mut text = String::new();
    for zone in 0..19 {
        let _ = writeln!(text, "[zone z{zone}]\nregion = r{}\n", zone % 7);
    }
    for workspace in 0..size.workspaces {
        let _ = writeln!(text, "[team team-{workspace}]\nshare = 5\nlimit = 400\n");
    }
    for pool in 0..size.pools {
        let _ = writeln!(
            text,
            "[pool pool-{pool}]\nmax-out = 2\nmax-out-per-rack = 1\nmax-out-per-zone = 2\n\n\
             [queue queue-{pool}]\npool = pool-{pool}\npath = /queue-{pool}\n\
             max-run-time = 30s\nmax-waiting = 500\n"
        );
    }
    for host in 0..size.hosts {
        let _ = writeln!(
            text,
            "[host host-{host}]\npool = pool-{}\nzone = z{}\nrack = rack-{}\n\
             address = 10.{}.{}.{}:9000\nslots = 8\nconnections = 64\n",
            host % size.pools,
            host % 19,
            host / 4,
            host / 65_536,
            host / 256 % 256,
            host % 256,
        );
    }
    text
}

/// Returns the time that the fastest of [`ROUNDS`] calls took.
fn fastest<T>(mut operation: impl FnMut() -> T) -> Duration {
    let measure = |_| {
        let start = Instant::now();
        std::hint::black_box(operation());
        start.elapsed()
    };
    (0..ROUNDS).map(measure).min().unwrap_or_default()
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}
