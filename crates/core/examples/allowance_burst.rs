//! Prints how much of a workspace's limit follows a burst from one set of entry hosts to
//! another, and how many store writes that takes, on a virtual clock.

use std::collections::BTreeSet;
use std::time::Duration;

use rhubarbrill_core::allowance::{
    Allocator, AllowanceSettings, Demand, Holder, Lease, Membership, PlanInput, Shard,
    SwapOutcome, VersionedLedger,
};
use rhubarbrill_core::fleet::{DisconnectedPolicy, Fleet, Workspace, WorkspaceKey};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::Instant;

const ENTRIES: u64 = 8;
const LIMIT: u32 = 80;
const PHASE_SECS: u64 = 30;
const SAMPLES_SECS: [u64; 5] = [1, 3, 6, 10, 20];

struct Entry {
    allocator: Allocator,
    holder: Holder,
}

struct Run {
    fleet: Fleet,
    workspace: WorkspaceKey,
    entries: Vec<Entry>,
    membership: Membership,
    record: VersionedLedger,
    swaps: u32,
    tries: u32,
    reads: u32,
}

impl Run {
    fn new(floor_percent: u32) -> Self {
        let mut fleet = Fleet {
            revision: 1,
            ..Fleet::default()
        };
        let workspace = Workspace {
            share: 1,
            limit: LIMIT,
            when_disconnected: DisconnectedPolicy::Serve,
        };
        let workspace = fleet.workspaces.upsert("quotes", workspace);
        let member = |entry: u64| Member {
            entry: format!("e{entry}"),
            zone: format!("z{}", entry % 3),
            incarnation: entry + 1,
        };
        let members: BTreeSet<Member> = (0..ENTRIES).map(member).collect();
        let settings = AllowanceSettings::default().floor_percent(floor_percent);
        let entry = |entry| Entry {
            allocator: Allocator::new(member(entry), settings),
            holder: Holder::default(),
        };
        Self {
            fleet,
            workspace,
            entries: (0..ENTRIES).map(entry).collect(),
            membership: Membership {
                revision: u64::MAX,
                members,
            },
            record: VersionedLedger::default(),
            swaps: 0,
            tries: 0,
            reads: 0,
        }
    }

    /// Steps every entry host once within a second, spread over it.
    fn second(&mut self, second: u64, hot: &[u64]) {
        for index in 0..ENTRIES {
            let now = Instant::from_millis(second * 1_000 + index * 1_000 / ENTRIES);
            let waiting = if hot.contains(&index) { LIMIT } else { 0 };
            self.step(usize::try_from(index).unwrap(), now, waiting);
        }
    }

    fn step(&mut self, index: usize, now: Instant, waiting: u32) {
        let shard = Shard::of("quotes");
        let Entry { allocator, holder } = &mut self.entries[index];
        let valid_for = Duration::from_secs(5);
        holder.set_lease(
            Lease {
                id: 1,
                renewed: now,
                valid_for,
            },
            now,
        );
        // Work fills what it may, and all of it ends when the burst has moved on.
        while holder.running(self.workspace) > waiting {
            holder.finish(self.workspace);
        }
        while holder.running(self.workspace) < waiting
            && holder.try_start(self.workspace, now).is_ok()
        {}
        let mut demand = Demand::default();
        demand.set(self.workspace, waiting - holder.running(self.workspace));
        for _ in 0..3 {
            let needs_read = allocator.needs_read(shard, holder, now);
            if needs_read {
                self.reads += 1;
                allocator.refresh(shard, self.record.clone(), now, holder);
            }
            let input = PlanInput {
                fleet: &self.fleet,
                demand: &demand,
                membership: &self.membership,
                now,
            };
            let Some(draft) = allocator.plan(shard, input, holder) else {
                if needs_read {
                    return;
                }
                continue;
            };
            self.tries += 1;
            if draft.version == self.record.version {
                self.swaps += 1;
                let version = draft.version + 1;
                self.record = VersionedLedger {
                    version,
                    ledger: draft.ledger,
                };
                return allocator.record_outcome(
                    shard,
                    SwapOutcome::Done(version),
                    holder,
                    now,
                );
            }
            let found = SwapOutcome::Conflict(self.record.clone());
            allocator.record_outcome(shard, found, holder, now);
        }
    }

    fn usable(&self, hot: &[u64], now: Instant) -> u32 {
        let index = |&entry: &u64| usize::try_from(entry).unwrap();
        let holders = hot.iter().map(|entry| &self.entries[index(entry)].holder);
        holders
            .map(|holder| holder.usable_units(self.workspace, now))
            .sum()
    }
}

fn main() {
    let bursts: [(&str, &[u64], &[u64]); 3] = [
        ("one entry host to another", &[0], &[1]),
        ("one zone to another", &[0, 3, 6], &[1, 4, 7]),
        ("one zone to all", &[0, 3, 6], &[0, 1, 2, 3, 4, 5, 6, 7]),
    ];
    println!(
        "limit {LIMIT}, {ENTRIES} entry hosts, 3 zones; units usable where the burst is"
    );
    println!(
        "burst moves from;floor %;after 1 s;3 s;6 s;10 s;20 s;swaps/s;tries/s;reads/s;static"
    );
    for (name, first, second) in bursts {
        for floor_percent in [0, 25, 50, 100] {
            let mut run = Run::new(floor_percent);
            (1..=PHASE_SECS).for_each(|at| run.second(at, first));
            (run.swaps, run.tries, run.reads) = (0, 0, 0);
            let mut cells = Vec::new();
            for at in 1..=PHASE_SECS {
                run.second(PHASE_SECS + at, second);
                if SAMPLES_SECS.contains(&at) {
                    let now = Instant::from_millis((PHASE_SECS + at + 1) * 1_000);
                    cells.push(run.usable(second, now).to_string());
                }
            }
            let rate = |count: u32| {
                f64::from(count) / f64::from(u32::try_from(PHASE_SECS).unwrap())
            };
            let fixed = LIMIT / u32::try_from(ENTRIES).unwrap()
                * u32::try_from(second.len()).unwrap();
            println!(
                "{name};{floor_percent};{};{:.2};{:.2};{:.2};{fixed}",
                cells.join(";"),
                rate(run.swaps),
                rate(run.tries),
                rate(run.reads),
            );
        }
    }
}
