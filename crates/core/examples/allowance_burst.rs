//! Prints how fast the units of a workspace's limit follow a burst of requests from one
//! set of entry hosts to another, and how many store reads and writes that takes, on a
//! virtual clock.

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
const SAMPLE_SECS: [u64; 5] = [1, 3, 6, 10, 20];

struct EntryHost {
    allocator: Allocator,
    holder: Holder,
}

struct Simulation {
    fleet: Fleet,
    workspace: WorkspaceKey,
    entry_hosts: Vec<EntryHost>,
    membership: Membership,
    record: VersionedLedger,
    swaps: u32,
    attempts: u32,
    reads: u32,
}

impl Simulation {
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
        let entry = |entry| EntryHost {
            allocator: Allocator::new(member(entry), settings),
            holder: Holder::default(),
        };
        Self {
            fleet,
            workspace,
            entry_hosts: (0..ENTRIES).map(entry).collect(),
            membership: Membership {
                revision: u64::MAX,
                members,
            },
            record: VersionedLedger::default(),
            swaps: 0,
            attempts: 0,
            reads: 0,
        }
    }

    /// Steps every entry host once within a second, at evenly spaced times.
    fn step_all(&mut self, second: u64, bursting: &[u64]) {
        for index in 0..ENTRIES {
            let now = Instant::from_millis(second * 1_000 + index * 1_000 / ENTRIES);
            let waiting = if bursting.contains(&index) { LIMIT } else { 0 };
            self.step(usize::try_from(index).unwrap(), now, waiting);
        }
    }

    fn step(&mut self, index: usize, now: Instant, waiting: u32) {
        let shard = Shard::of("quotes");
        let EntryHost { allocator, holder } = &mut self.entry_hosts[index];
        let valid_for = Duration::from_secs(5);
        holder.set_lease(
            Lease {
                id: 1,
                renewed: now,
                valid_for,
            },
            now,
        );
        // Work occupies every usable unit, and all of it ends once the burst has moved
        // on.
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
            self.attempts += 1;
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

    fn usable(&self, bursting: &[u64], now: Instant) -> u32 {
        let index = |&entry: &u64| usize::try_from(entry).unwrap();
        let holders = bursting
            .iter()
            .map(|entry| &self.entry_hosts[index(entry)].holder);
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
        "burst moves from;floor %;after 1 s;3 s;6 s;10 s;20 s;\
         swaps/s;attempts/s;reads/s;static"
    );
    for (name, from, to) in bursts {
        for floor_percent in [0, 25, 50, 100] {
            let mut simulation = Simulation::new(floor_percent);
            (1..=PHASE_SECS).for_each(|at| simulation.step_all(at, from));
            (simulation.swaps, simulation.attempts, simulation.reads) = (0, 0, 0);
            let mut samples = Vec::new();
            for at in 1..=PHASE_SECS {
                simulation.step_all(PHASE_SECS + at, to);
                if SAMPLE_SECS.contains(&at) {
                    let now = Instant::from_millis((PHASE_SECS + at + 1) * 1_000);
                    samples.push(simulation.usable(to, now).to_string());
                }
            }
            let rate = |count: u32| {
                f64::from(count) / f64::from(u32::try_from(PHASE_SECS).unwrap())
            };
            let static_units = LIMIT / u32::try_from(ENTRIES).unwrap()
                * u32::try_from(to.len()).unwrap();
            println!(
                "{name};{floor_percent};{};{:.2};{:.2};{:.2};{static_units}",
                samples.join(";"),
                rate(simulation.swaps),
                rate(simulation.attempts),
                rate(simulation.reads),
            );
        }
    }
}
