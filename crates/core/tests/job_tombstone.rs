//! Tombstones of jobs that were cancelled before they were accepted: how many an entry host may
//! write, and how long they are kept.

use std::time::Duration;

use rhubarbrill_core::job::Tombstone;
use rhubarbrill_core::job::tombstone::Budget;
use rhubarbrill_core::time::{Instant, Timestamp};
use rstest::rstest;

mod job_support;

use job_support::simulation;

const SECOND: Duration = Duration::from_secs(1);

/// Time for which the simulation's leader keeps finished jobs and tombstones.
const RETENTION: Duration = Duration::from_secs(150);

/// Cancellations of unknown jobs by one workspace, a hundred in each second.
#[derive(Clone, Copy, Debug)]
struct Flood {
    store_writes: Option<u32>,
    entry_hosts: usize,
    seconds: u32,
    /// Most tombstones that are written.
    most: usize,
    /// Most tombstones that another workspace gets at least after that.
    left: usize,
}

/// Guards against cancellations of unknown jobs that use up the store's writes, or the share of
/// other workspaces.
#[rstest]
#[case::small_site(Flood { store_writes: Some(400), entry_hosts: 7, seconds: 60, most: 99, left: 14 })]
#[case::large_site(Flood { store_writes: Some(3_200), entry_hosts: 97, seconds: 60, most: 57, left: 8 })]
#[case::unknown_rate(Flood { store_writes: None, entry_hosts: 8, seconds: 60, most: 87, left: 12 })]
#[case::no_known_entry_host(Flood { store_writes: None, entry_hosts: 0, seconds: 60, most: 87, left: 12 })]
#[case::burst(Flood { store_writes: Some(400), entry_hosts: 8, seconds: 1, most: 13, left: 12 })]
fn one_workspace_writes_few_tombstones(#[case] flood: Flood) {
    let mut budget = Budget::new(flood.store_writes);
    let began = Instant::from_millis(1_000_000);
    let mut now = began;
    let mut written = 0;
    while now < began + SECOND * flood.seconds {
        written += usize::from(budget.take(now, flood.entry_hosts, Some("w")));
        now = now + SECOND / 100;
    }
    assert!(written <= flood.most, "{written}, {flood:?}");
    let mut others = 0;
    while budget.take(now, flood.entry_hosts, Some("v")) {
        others += 1;
    }
    assert!(others >= flood.left, "{others}, {flood:?}");
}

/// When a tombstone was written, by a clock that may be wrong, and when it is removed.
#[derive(Clone, Copy, Debug)]
struct Kept {
    /// Age of the cancellation when the leader learns of it, in seconds; negative if it is in the
    /// future.
    age_s: i64,
    /// Time after which the leader removes it.
    removed_after: Duration,
}

/// Guards against tombstones that stay in the store for good, or that are removed while the write
/// that they keep out may still be executed.
#[rstest]
#[case::fresh(Kept { age_s: 0, removed_after: RETENTION })]
#[case::old(Kept { age_s: 100, removed_after: Duration::from_secs(50) })]
#[case::expired(Kept { age_s: 1_000, removed_after: Duration::from_secs(30) })]
#[case::future(Kept { age_s: -100, removed_after: RETENTION })]
fn tombstone_is_removed_after_its_retention(#[case] kept: Kept) {
    let mut simulation = simulation(1);
    let tombstone = Tombstone {
        id: "00000000000000c1".to_owned(),
        revision: 7,
    };
    let wall_ms = i64::try_from(simulation.wall_time().as_millis()).unwrap();
    let cancelled_ms = u64::try_from(wall_ms - kept.age_s * 1_000).unwrap();
    simulation.scheduler.add_tombstone(
        simulation.now,
        simulation.wall_time(),
        tombstone.clone(),
        Timestamp::from_millis(cancelled_ms),
    );
    simulation.run_for(kept.removed_after - SECOND);
    assert_eq!(simulation.observed.removed_tombstones, [], "{kept:?}");
    simulation.store_available = false;
    simulation.run_for(2 * SECOND);
    assert_eq!(simulation.observed.removed_tombstones, [], "{kept:?}");
    simulation.store_available = true;
    simulation.run_for(SECOND);
    assert_eq!(
        simulation.observed.removed_tombstones,
        [tombstone],
        "{kept:?}"
    );
    simulation.run_for(SECOND);
    assert_eq!(simulation.observed.removed_tombstones.len(), 1, "{kept:?}");
}
