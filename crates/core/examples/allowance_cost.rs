//! Prints the time that an entry host spends on planning allowance swaps each second, by
//! the size of the fleet.

use std::collections::BTreeSet;
use std::time::Instant as Clock;

use rhubarbrill_core::allowance::{
    Allocator, AllowanceSettings, Demand, Holder, Membership, PlanInput, SHARDS, Shard,
    SwapOutcome, VersionedLedger,
};
use rhubarbrill_core::fleet::{DisconnectedPolicy, Fleet, Workspace};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::time::Instant;

const SECONDS: u64 = 20;

fn main() {
    println!(
        "workspaces;entry hosts;planning ms per second;longest plan ms;largest record kB"
    );
    for (workspaces, entries) in [(6, 8), (60, 20), (300, 20), (300, 60)] {
        measure(workspaces, entries);
    }
}

fn measure(workspaces: u64, entries: u64) {
    let mut fleet = Fleet {
        revision: 1,
        ..Fleet::default()
    };
    for workspace in 0..workspaces {
        let when_disconnected = DisconnectedPolicy::Serve;
        let declared = Workspace {
            share: 1,
            limit: 200,
            when_disconnected,
        };
        fleet
            .workspaces
            .upsert(&format!("team-{workspace}"), declared);
    }
    let member = |entry: u64| Member {
        entry: format!("entry-{entry}"),
        zone: format!("zone-{}", entry % 19),
        incarnation: entry + 1,
    };
    let members: BTreeSet<Member> = (0..entries).map(member).collect();
    let membership = Membership {
        revision: u64::MAX,
        members,
    };
    let mut records = vec![VersionedLedger::default(); usize::from(SHARDS)];
    let mut entry_hosts: Vec<(Allocator, Holder)> = (0..entries)
        .map(|entry| {
            (
                Allocator::new(member(entry), AllowanceSettings::default()),
                Holder::default(),
            )
        })
        .collect();
    let demand = Demand::default();
    let (mut total_ms, mut longest_ms) = (0.0, 0.0_f64);
    for second in 1..=SECONDS {
        let now = Instant::from_millis(second * 1_000);
        for (index, (allocator, holder)) in entry_hosts.iter_mut().enumerate() {
            for (shard, record) in Shard::all().zip(&mut records) {
                allocator.refresh(shard, record.clone(), now, holder);
                let input = PlanInput {
                    fleet: &fleet,
                    demand: &demand,
                    membership: &membership,
                    now,
                };
                let start = Clock::now();
                let draft = allocator.plan(shard, input, holder);
                let elapsed_ms = start.elapsed().as_secs_f64() * 1_000.0;
                if index == 0 && second > 3 {
                    total_ms += elapsed_ms;
                    longest_ms = longest_ms.max(elapsed_ms);
                }
                if let Some(draft) = draft {
                    let version = draft.version + 1;
                    *record = VersionedLedger {
                        version,
                        ledger: draft.ledger,
                    };
                    allocator.record_outcome(
                        shard,
                        SwapOutcome::Done(version),
                        holder,
                        now,
                    );
                }
            }
        }
    }
    let size = |record: &VersionedLedger| {
        serde_json::to_vec(&record.ledger).map_or(0, |bytes| bytes.len())
    };
    let largest = records.iter().map(size).max().unwrap_or_default() / 1_000;
    let ms_per_second = total_ms / (SECONDS - 3) as f64;
    println!("{workspaces};{entries};{ms_per_second:.2};{longest_ms:.2};{largest}");
}
