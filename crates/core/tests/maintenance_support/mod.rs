//! A small fleet and a script language for tests of maintenance, waves and spare pools.

#![allow(dead_code)]

use std::time::Duration;

use rhubarbrill_core::fleet::{
    Access, Budget, Fleet, Host, Pool, Queue, Workspace, Zone,
};
use rhubarbrill_core::fleet::{DisconnectedPolicy, HostKey, PoolKey};
use rhubarbrill_core::maintenance::{Command, DrainReport, Evidence, Ledger, Reason};
use rhubarbrill_core::member::Member;

pub const RUN_TIME: Duration = Duration::from_secs(30);
pub const HOSTS_PER_RACK: usize = 4;

/// Returns a fleet with pools `p0..` of `size` hosts each, named `p0-h0..`, and a pool
/// `spare` with one host, `s0`. Hosts are assigned to the zones in turn, and
/// [`HOSTS_PER_RACK`] to a rack.
pub fn fleet(pools: usize, size: usize, zones: usize, budget: Budget) -> Fleet {
    let mut fleet = Fleet::default();
    let region = || Zone { region: "r".into() };
    let zones: Vec<_> = (0..zones)
        .map(|z| fleet.zones.upsert(&format!("z{z}"), region()))
        .collect();
    let workspace = Workspace {
        share: 1,
        limit: 10,
        when_disconnected: DisconnectedPolicy::Serve,
    };
    let workspace = fleet.workspaces.upsert("t", workspace);
    let mut count = vec![0; zones.len()];
    let mut add = |fleet: &mut Fleet, name: &str, pool: PoolKey, index: usize| {
        let zone = index % zones.len();
        let rack = count[zone] / HOSTS_PER_RACK;
        count[zone] += 1;
        let host = Host {
            pool,
            zone: zones[zone],
            rack: format!("rack{rack}"),
            address: ([127, 0, 0, 1], 1).into(),
            slots: 8,
            connections: 64,
        };
        fleet.hosts.upsert(name, host);
    };
    for p in 0..pools {
        let spare = false;
        let pool = fleet.pools.upsert(&format!("p{p}"), Pool { budget, spare });
        let queue = Queue {
            pool,
            path: format!("/p{p}"),
            access: Access::Open(workspace),
            max_run_time: RUN_TIME,
            stops_on_close: true,
            max_waiting: 10,
        };
        fleet.queues.upsert(&format!("q{p}"), queue);
        for h in 0..size {
            add(&mut fleet, &format!("p{p}-h{h}"), pool, h);
        }
    }
    let spare = true;
    let pool = fleet.pools.upsert("spare", Pool { budget, spare });
    add(&mut fleet, "s0", pool, 0);
    fleet.revision = 1;
    fleet
}

pub const fn budget(pool: u32, rack: u32, zone: u32) -> Budget {
    Budget {
        max_out: pool,
        max_out_per_rack: rack,
        max_out_per_zone: zone,
    }
}

pub fn key(fleet: &Fleet, host: &str) -> HostKey {
    fleet.hosts.find(host).expect("host is declared")
}

pub fn member(entry: &str, zone: &str) -> Member {
    Member {
        entry: entry.into(),
        zone: zone.into(),
        incarnation: 1,
    }
}

pub fn idle(generation: u64) -> Evidence {
    Evidence::default().with(member("e0", "z0"), DrainReport::Idle { generation })
}

/// Parses a command such as `drain:HOST:WAVE`, `move:HOST:POOL`, `to:HOST:POOL` or
/// `failed:HOST`.
pub fn command(text: &str) -> Command {
    let mut parts = text.split(':');
    let verb = parts.next().unwrap_or_default();
    let host = parts.next().unwrap_or_default().to_owned();
    let other = parts.next().unwrap_or_default().to_owned();
    match verb {
        "drain" => {
            let reason = Reason::Wave { wave: other };
            Command::BeginDrain { host, reason }
        }
        "move" => {
            let reason = Reason::Move { to: other };
            Command::BeginDrain { host, reason }
        }
        "to" => Command::MoveHost { host, to: other },
        "cancel" => Command::CancelDrain { host },
        "drained" => {
            let evidence = idle(u64::MAX);
            Command::ConfirmDrained { host, evidence }
        }
        "reboot" => Command::BeginReboot { host },
        "returned" => Command::Returned { host },
        "serve" => Command::ResumeService { host },
        "failed" => Command::MarkFailed { host },
        "recovered" => Command::MarkRecovered { host },
        "leaving" => Command::MarkLeaving { host },
        "pause" => Command::PauseWave { wave: host },
        "resume" => Command::ResumeWave { wave: host },
        "forget" => Command::ForgetWave { wave: host },
        "prune" => Command::Prune,
        "wave" => Command::StartWave {
            wave: host,
            selection: rhubarbrill_core::maintenance::Selection::Pool(other),
            finish_by: None,
        },
        _ => panic!("unknown verb {verb}"),
    }
}

/// Applies the commands of a script, separated by spaces, and panics if one is refused.
pub fn run(ledger: &mut Ledger, fleet: &Fleet, script: &str) {
    for text in script.split_whitespace() {
        let seen = ledger.generation();
        if let Err(refusal) = ledger.apply(fleet, seen, &command(text)) {
            panic!("{text}: {refusal}");
        }
    }
}
