//! A drained host is empty and stays so, while zones are cut off and entry hosts freeze.

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

/// What is cut or frozen: a link (zone 0 or 1 to the store, or between them) or an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Victim {
    Store(usize),
    Zones,
    Entry(usize),
}

/// A victim and the seconds from and until which it is down.
type Fault = (Victim, u64, u64);

/// Which part of the rules is left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    Whole,
    /// An entry host sends whatever the age of its news.
    NoFreshness,
    /// An entry host goes on after a pause.
    NoPause,
    /// The planner outwaits also a zone that is silent.
    NoZone,
}

struct Entry {
    freshness: Freshness,
    leaving_seen: bool,
    running_until: u64,
}

/// Returns when the host of zone 0 was drained, and whether work ran or began after that.
fn play(faults: &[Fault], rule: Rule) -> (Option<u64>, bool) {
    let down = |victim, now| {
        faults
            .iter()
            .any(|&(of, from, to)| of == victim && (from..to).contains(&now))
    };
    let zone = |entry: usize| entry / 2;
    let fleet = fleet(2, 6, 2, budget(1, 1, 1));
    let mut ledger = Ledger::default();
    let mut entries: Vec<Entry> = (0..ZONES.len())
        .map(|_| Entry {
            freshness: Freshness::new(Instant::ZERO),
            leaving_seen: false,
            running_until: 0,
        })
        .collect();
    let (mut drained, mut broken) = (None, false);
    let mut first_read = [None; ZONES.len()];
    for now in 0..END {
        let at = Instant::from_millis(now * 1_000);
        if now == LEAVES_AT {
            run(&mut ledger, &fleet, "move:p0-h0:p1");
        }
        for index in (0..ZONES.len()).filter(|&entry| !down(Victim::Entry(entry), now)) {
            // A process that wakes may send before it does anything else.
            let own = zone(index) == 0;
            let sends = |entry: &Entry| match rule {
                Rule::NoFreshness => true,
                Rule::NoPause if own => true,
                _ => entry.freshness.may_send(at, own),
            };
            if !entries[index].leaving_seen && sends(&entries[index]) {
                entries[index].running_until = now + RUN_TIME.as_secs();
                broken |= drained.is_some();
            }
            entries[index].freshness.tick(at);
            if !down(Victim::Store(zone(index)), now) {
                entries[index].leaving_seen = now >= LEAVES_AT;
                entries[index].freshness.record_sync(at, Duration::ZERO);
            }
            for peer in (0..ZONES.len()).filter(|&peer| peer != index) {
                let same = zone(peer) == zone(index);
                let cut = !same && down(Victim::Zones, now);
                if cut || down(Victim::Entry(peer), now) {
                    continue;
                }
                entries[index].leaving_seen |= entries[peer].leaving_seen;
                if let Some(age) = entries[peer].freshness.age(at) {
                    entries[index].freshness.record_sync(at, age);
                }
                if same {
                    entries[index].freshness.record_zone_contact();
                }
            }
        }
        let planner = (0..ZONES.len()).find(|&entry| {
            !down(Victim::Entry(entry), now) && !down(Victim::Store(zone(entry)), now)
        });
        let Some(planner) = planner.filter(|_| now >= LEAVES_AT && drained.is_none())
        else {
            continue;
        };
        // A planner waits from its own first reading, however long ago others read it.
        let since = *first_read[planner].get_or_insert(now);
        let mut evidence = Evidence::after(Duration::from_secs(now - since));
        for (index, entry) in entries.iter().enumerate() {
            let cut = zone(index) != zone(planner) && down(Victim::Zones, now);
            let report = match entry {
                _ if cut || down(Victim::Entry(index), now) => DrainReport::NoAnswer,
                entry if entry.running_until > now => DrainReport::Busy,
                entry => DrainReport::Idle {
                    generation: u64::from(entry.leaving_seen),
                },
            };
            let known = if rule == Rule::NoZone {
                "elsewhere"
            } else {
                ZONES[index]
            };
            evidence = evidence.with(member(&format!("e{index}"), known), report);
        }
        let host = "p0-h0".into();
        let confirm = Command::ConfirmDrained { host, evidence };
        if ledger.apply(&fleet, ledger.generation(), &confirm).is_ok() {
            drained = Some(now);
            broken |= entries.iter().any(|entry| entry.running_until > now);
        }
    }
    assert!(
        drained.is_none() || ledger.apply(&fleet, 2, &command("to:p0-h0:p1")).is_ok()
    );
    (drained, broken)
}

const CUT: [Fault; 2] = [(Victim::Store(0), 10, 100), (Victim::Zones, 10, 100)];
const OTHER_CUT: [Fault; 2] = [(Victim::Store(1), 10, 140), (Victim::Zones, 10, 140)];

#[rstest]
#[case::nothing(&[], Rule::Whole, Some(50), false)]
#[case::own_zone_cut_off(&CUT, Rule::Whole, Some(130), false)]
#[case::own_zone_outwaited(&CUT, Rule::NoZone, Some(54), true)]
#[case::other_zone_cut_off(&OTHER_CUT, Rule::Whole, Some(54), false)]
#[case::other_zone_goes_on(&OTHER_CUT, Rule::NoFreshness, Some(54), true)]
#[case::frozen_in_own_zone(&[(Victim::Entry(1), 10, 100)], Rule::Whole, Some(54), false)]
#[case::woken_in_own_zone(&[(Victim::Entry(1), 10, 100)], Rule::NoPause, Some(54), true)]
#[case::frozen_in_other_zone(&[(Victim::Entry(3), 10, 100)], Rule::Whole, Some(54), false)]
#[case::woken_in_other_zone(&[(Victim::Entry(3), 10, 100)], Rule::NoFreshness, Some(54), true)]
fn drains(
    #[case] faults: &[Fault],
    #[case] rule: Rule,
    #[case] drained: Option<u64>,
    #[case] broken: bool,
) {
    assert_eq!(play(faults, rule), (drained, broken));
}

fn fault() -> impl Strategy<Value = Fault> {
    let victim = prop_oneof![
        (0_usize..2).prop_map(Victim::Store),
        Just(Victim::Zones),
        (0_usize..ZONES.len()).prop_map(Victim::Entry),
    ];
    (victim, 0..END, 1..100_u64)
        .prop_map(|(victim, from, span)| (victim, from, from + span))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, ..ProptestConfig::default() })]

    #[test]
    fn no_work_runs_at_a_drained_host(faults in prop::collection::vec(fault(), 0..8)) {
        let (drained, broken) = play(&faults, Rule::Whole);
        prop_assert!(!broken, "drained at {drained:?}");
    }
}
