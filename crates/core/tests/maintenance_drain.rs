//! Tests that a drained host runs no work and receives none, even if zones are
//! partitioned and entry hosts are paused.

mod maintenance_support;

use std::time::Duration;

use maintenance_support::{RUN_TIME, budget, command, fleet, member, run};
use proptest::prelude::*;
use rhubarbrill_core::maintenance::{Command, DrainReport, Evidence, Freshness, Ledger};
use rhubarbrill_core::time::Instant;
use rstest::rstest;

const ZONES: [&str; 4] = ["z0", "z0", "z1", "z1"];
const LEAVES_AT: u64 = 20;
const END: u64 = 150;

/// What a fault affects: the link of zone 0 or 1 to the store, the link between the two
/// zones, or an entry host, which is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultTarget {
    StoreLink(usize),
    ZoneLink,
    EntryHost(usize),
}

/// The target of a fault, and the seconds at which the fault begins and ends.
type Fault = (FaultTarget, u64, u64);

/// The rules in force, so that a test can show that each of them is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rules {
    All,
    /// An entry host sends whatever the age of its copy of the ledger.
    WithoutFreshness,
    /// An entry host goes on sending in its own zone after a pause.
    WithoutPauses,
    /// The grace period also replaces the confirmation of the host's own zone.
    WithoutOwnZone,
}

struct EntryHost {
    freshness: Freshness,
    leaving_seen: bool,
    running_until: u64,
}

/// Simulates the drain of a host in zone 0. Returns when the host was drained, and
/// whether work still ran on it then or began later.
fn simulate(faults: &[Fault], rules: Rules) -> (Option<u64>, bool) {
    let down = |target, now| {
        faults
            .iter()
            .any(|&(faulty, from, to)| faulty == target && (from..to).contains(&now))
    };
    let zone = |entry: usize| entry / 2;
    let fleet = fleet(2, 6, 2, budget(1, 1, 1));
    let mut ledger = Ledger::default();
    let mut entries: Vec<EntryHost> = (0..ZONES.len())
        .map(|_| EntryHost {
            freshness: Freshness::new(Instant::ZERO),
            leaving_seen: false,
            running_until: 0,
        })
        .collect();
    let (mut drained, mut violated) = (None, false);
    let mut first_read = [None; ZONES.len()];
    for now in 0..END {
        let at = Instant::from_millis(now * 1_000);
        if now == LEAVES_AT {
            run(&mut ledger, &fleet, "move:p0-h0:p1");
        }
        for index in
            (0..ZONES.len()).filter(|&entry| !down(FaultTarget::EntryHost(entry), now))
        {
            // A process that resumes after a pause may send before it does anything else.
            let own_zone = zone(index) == 0;
            let sends = |entry: &EntryHost| match rules {
                Rules::WithoutFreshness => true,
                Rules::WithoutPauses if own_zone => true,
                _ => entry.freshness.may_send(at, own_zone),
            };
            if !entries[index].leaving_seen && sends(&entries[index]) {
                entries[index].running_until = now + RUN_TIME.as_secs();
                violated |= drained.is_some();
            }
            entries[index].freshness.tick(at);
            if !down(FaultTarget::StoreLink(zone(index)), now) {
                entries[index].leaving_seen = now >= LEAVES_AT;
                entries[index].freshness.record_sync(at, Duration::ZERO);
            }
            for peer in (0..ZONES.len()).filter(|&peer| peer != index) {
                let same_zone = zone(peer) == zone(index);
                let partitioned = !same_zone && down(FaultTarget::ZoneLink, now);
                if partitioned || down(FaultTarget::EntryHost(peer), now) {
                    continue;
                }
                entries[index].leaving_seen |= entries[peer].leaving_seen;
                if let Some(age) = entries[peer].freshness.age(at) {
                    entries[index].freshness.record_sync(at, age);
                }
                if same_zone {
                    entries[index].freshness.record_zone_contact();
                }
            }
        }
        let planner = (0..ZONES.len()).find(|&entry| {
            !down(FaultTarget::EntryHost(entry), now)
                && !down(FaultTarget::StoreLink(zone(entry)), now)
        });
        let Some(planner) = planner.filter(|_| now >= LEAVES_AT && drained.is_none())
        else {
            continue;
        };
        // A planner waits from when it first read the ledger itself, however long ago
        // other planners read it.
        let since = *first_read[planner].get_or_insert(now);
        let mut evidence = Evidence::after(Duration::from_secs(now - since));
        for (index, entry) in entries.iter().enumerate() {
            let partitioned =
                zone(index) != zone(planner) && down(FaultTarget::ZoneLink, now);
            let report = match entry {
                _ if partitioned || down(FaultTarget::EntryHost(index), now) => {
                    DrainReport::NoAnswer
                }
                entry if entry.running_until > now => DrainReport::Busy,
                entry => DrainReport::Idle {
                    generation: u64::from(entry.leaving_seen),
                },
            };
            let known_zone = if rules == Rules::WithoutOwnZone {
                "elsewhere"
            } else {
                ZONES[index]
            };
            evidence = evidence.with(member(&format!("e{index}"), known_zone), report);
        }
        let host = "p0-h0".into();
        let confirm = Command::ConfirmDrained { host, evidence };
        if ledger.apply(&fleet, ledger.generation(), &confirm).is_ok() {
            drained = Some(now);
            violated |= entries.iter().any(|entry| entry.running_until > now);
        }
    }
    assert!(
        drained.is_none() || ledger.apply(&fleet, 2, &command("to:p0-h0:p1")).is_ok()
    );
    (drained, violated)
}

const PARTITION: [Fault; 2] = [
    (FaultTarget::StoreLink(0), 10, 100),
    (FaultTarget::ZoneLink, 10, 100),
];
const OTHER_PARTITION: [Fault; 2] = [
    (FaultTarget::StoreLink(1), 10, 140),
    (FaultTarget::ZoneLink, 10, 140),
];

#[rstest]
#[case::nothing(&[], Rules::All, Some(50), false)]
#[case::own_zone_partitioned(&PARTITION, Rules::All, Some(130), false)]
#[case::own_zone_not_required(&PARTITION, Rules::WithoutOwnZone, Some(54), true)]
#[case::other_zone_partitioned(&OTHER_PARTITION, Rules::All, Some(54), false)]
#[case::other_zone_without_freshness(&OTHER_PARTITION, Rules::WithoutFreshness, Some(54), true)]
#[case::paused_in_own_zone(&[(FaultTarget::EntryHost(1), 10, 100)], Rules::All, Some(54), false)]
#[case::resumed_in_own_zone(&[(FaultTarget::EntryHost(1), 10, 100)], Rules::WithoutPauses, Some(54), true)]
#[case::paused_in_other_zone(&[(FaultTarget::EntryHost(3), 10, 100)], Rules::All, Some(54), false)]
#[case::resumed_in_other_zone(&[(FaultTarget::EntryHost(3), 10, 100)], Rules::WithoutFreshness, Some(54), true)]
fn drains_under_faults(
    #[case] faults: &[Fault],
    #[case] rules: Rules,
    #[case] drained: Option<u64>,
    #[case] violated: bool,
) {
    assert_eq!(simulate(faults, rules), (drained, violated));
}

fn fault() -> impl Strategy<Value = Fault> {
    let target = prop_oneof![
        (0_usize..2).prop_map(FaultTarget::StoreLink),
        Just(FaultTarget::ZoneLink),
        (0_usize..ZONES.len()).prop_map(FaultTarget::EntryHost),
    ];
    (target, 0..END, 1..100_u64)
        .prop_map(|(target, from, span)| (target, from, from + span))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn no_work_runs_at_a_drained_host(faults in prop::collection::vec(fault(), 0..8)) {
        let (drained, violated) = simulate(&faults, Rules::All);
        prop_assert!(!violated, "drained at {drained:?}");
    }
}
