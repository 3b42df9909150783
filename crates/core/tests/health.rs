//! Outlier ejection within budgets, and restoration after probes.

mod support;

use proptest::prelude::*;
use rhubarbrill_core::fleet::HostKey;
use rhubarbrill_core::gate::{Outcome, Status};
use rhubarbrill_core::health::{Change, Monitor, State};
use rhubarbrill_core::verdict::Verdict;
use support::{Fixture, at, submission};

const FAILED: Outcome = Outcome::Failed {
    verdict: Verdict::MayHaveRun,
};

fn monitor(fixture: &Fixture) -> Monitor {
    let mut monitor = Monitor::default();
    monitor.rebuild(&fixture.fleet, &fixture.placement);
    monitor
}

/// Returns the number of hosts that would be ejected for five failures in a row if there
/// were no budget.
fn ejected_without_budget(hosts: &[HostKey], failures: &[(usize, bool)]) -> usize {
    let mut row = vec![0; hosts.len()];
    for &(host, good) in failures {
        row[host] = if good { 0 } else { row[host] + 1 };
    }
    row.iter().filter(|&&count| count >= 5).count()
}

#[test]
fn a_failing_pool_loses_no_more_hosts_than_its_budget() {
    let fixture = Fixture::new(8, 4, &[(1, 100)]);
    let mut monitor = monitor(&fixture);
    let hosts = fixture.hosts();
    let failures: Vec<(usize, bool)> = (0..80).map(|index| (index % 8, false)).collect();
    for &(host, good) in &failures {
        monitor.record(hosts[host], at(0), good);
    }
    assert_eq!(monitor.ejected().count(), 2);
    assert_eq!(
        ejected_without_budget(&hosts, &failures),
        8,
        "without a budget all hosts are ejected"
    );
}

#[test]
fn an_outlier_is_probed_before_it_returns() {
    let fixture = Fixture::new(4, 4, &[(1, 100)]);
    let mut monitor = monitor(&fixture);
    let host = fixture.hosts()[0];
    let changes: Vec<Change> =
        (0..5).map(|_| monitor.record(host, at(0), false)).collect();
    assert_eq!(changes[3..], [Change::None, Change::Ejected]);
    assert!(monitor.begin_probes(at(4_999)).is_empty());
    assert_eq!(monitor.begin_probes(at(5_000)), [host]);
    assert_eq!(monitor.record(host, at(5_001), true), Change::None);
    assert_eq!(monitor.record(host, at(5_002), false), Change::Ejected);
    assert_eq!(
        monitor.next_wake(),
        Some(at(15_002)),
        "the ejection time doubles"
    );
    monitor.begin_probes(at(15_002));
    let changes: Vec<Change> = (0..3)
        .map(|_| monitor.record(host, at(15_003), true))
        .collect();
    assert_eq!(changes, [Change::None, Change::None, Change::Restored]);
    assert_eq!(monitor.state(host), State::Healthy);
}

#[test]
fn hosts_taken_out_by_placement_use_the_budget_first() {
    let mut fixture = Fixture::new(6, 4, &[(1, 100)]);
    let mut monitor = monitor(&fixture);
    let hosts = fixture.hosts();
    let fail = |monitor: &mut Monitor, host| {
        for _ in 0..5 {
            monitor.record(host, at(0), false);
        }
    };
    fail(&mut monitor, hosts[0]);
    fail(&mut monitor, hosts[1]);
    let mut standing = fixture.placement.get(hosts[2]).unwrap();
    standing.accepts = false;
    fixture.placement.set(hosts[2], standing);
    monitor.rebuild(&fixture.fleet, &fixture.placement);
    assert_eq!(
        monitor.ejected().collect::<Vec<_>>(),
        [hosts[1]],
        "the oldest ejection ends"
    );
    fail(&mut monitor, hosts[3]);
    assert_eq!(monitor.ejected().count(), 1);
}

/// A host that fails immediately also frees its slots immediately, so it would attract
/// new requests if it weren't ejected.
#[test]
fn a_fast_failing_host_does_not_attract_requests() {
    let mut fixture = Fixture::new(4, 1, &[(1, 100)]);
    let bad = fixture.hosts()[0];
    let mut sent_to_bad = 0;
    let mut open = Vec::new();
    for round in 0..400_u64 {
        let submission = submission(&fixture, 0, at(90_000));
        let ticket = fixture.gate.submit(at(round), submission).unwrap();
        let starts = fixture.start_all(at(round));
        for start in &starts {
            if start.host == bad {
                sent_to_bad += 1;
                fixture.gate.finish(at(round), start.ticket, FAILED);
            } else {
                open.push((round + 4, start.ticket));
            }
        }
        if starts.is_empty() {
            fixture.gate.cancel(at(round), ticket);
        }
        let (done, still): (Vec<_>, Vec<_>) =
            open.iter().partition(|(end, _)| *end <= round);
        for (_, ticket) in done {
            let latency = std::time::Duration::from_millis(4);
            let status = Status::Success;
            fixture
                .gate
                .finish(at(round), ticket, Outcome::Answered { status, latency });
        }
        open = still;
    }
    assert_eq!(sent_to_bad, 5);
}

proptest! {
    #[test]
    fn ejections_stay_within_every_budget(
        results in prop::collection::vec((0..12_usize, prop::bool::weighted(0.2), 0..2_000_u64), 1..400),
        taken_out in prop::collection::vec(0..12_usize, 0..3),
    ) {
        let mut fixture = Fixture::new(12, 4, &[(1, 100)]);
        let mut pool = fixture.fleet.pools.get(fixture.pool).unwrap().clone();
        pool.budget.max_out = 4;
        pool.budget.max_out_per_rack = 1;
        fixture.fleet.pools.upsert("p", pool.clone());
        let hosts = fixture.hosts();
        let mut monitor = monitor(&fixture);
        let mut now = at(0);
        for (index, &(host, good, pause)) in results.iter().enumerate() {
            now = now + std::time::Duration::from_millis(pause);
            monitor.begin_probes(now);
            monitor.record(hosts[host], now, good);
            if index == results.len() / 2 {
                for &host in &taken_out {
                    let mut standing = fixture.placement.get(hosts[host]).unwrap();
                    standing.accepts = false;
                    fixture.placement.set(hosts[host], standing);
                }
                monitor.rebuild(&fixture.fleet, &fixture.placement);
            }
            let ejected: Vec<HostKey> = monitor.ejected().collect();
            prop_assert!(ejected.len() <= 4);
            for zone in fixture.fleet.zones.iter().map(|(zone, ..)| zone) {
                let declared = |host: &HostKey| fixture.fleet.hosts.get(*host).unwrap();
                let inside = ejected.iter().map(declared).filter(|host| host.zone == zone);
                let mut racks: Vec<_> = inside.map(|host| &host.rack).collect();
                prop_assert!(racks.len() <= 2);
                racks.sort();
                let count = racks.len();
                racks.dedup();
                prop_assert!(racks.len() == count, "two ejected hosts in one rack");
            }
        }
    }
}
