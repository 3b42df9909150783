//! Running work of a workspace stays within its limit, whatever fails.

mod support;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rhubarbrill_standin::link::{Link, NewConnections};
use rhubarbrill_standin::platform::Down;
use rstest::rstest;
use support::call::Call;
use support::cluster::Cluster;
use support::fleet::{Fleet, Workspace};
use support::load::Load;

const WORKSPACES: [Workspace; 2] = [
    Workspace {
        name: "counter",
        share: 3,
        limit: 16,
    },
    Workspace {
        name: "appraisal",
        share: 1,
        limit: 8,
    },
];

const ZONES: [&str; 2] = ["z1", "z2"];
const ENTRIES: u32 = 2;

/// Callers of each workspace at each entry host; together more than any limit.
const CALLERS: usize = 5;

const WORK: Duration = Duration::from_millis(150);

/// Longer than the lease, and than the longest pause that a process trusts.
const PAST_THE_LEASE: Duration = Duration::from_millis(2500);

/// Longest time until a lowered limit is in force: a revision's, and a run's.
const LOWERED_WITHIN: Duration = Duration::from_secs(4 + 5);

/// Longest time until an entry host serves again after a fault; one lease and two steps.
const BACK_WITHIN: Duration = Duration::from_secs(10);

/// A cluster under a load of more callers than the limits allow.
struct Bench {
    cluster: Cluster,
    loads: Vec<Load>,
}

impl Bench {
    fn start(workspaces: &[Workspace]) -> Self {
        let fleet = Fleet::start(workspaces, &ZONES, 2);
        let cluster = Cluster::start_linked(fleet, &ZONES, ENTRIES);
        cluster.wait_for_units();
        let mut bench = Self {
            cluster,
            loads: Vec::new(),
        };
        for index in 0..bench.cluster.daemons.len() {
            let load = bench.load(index);
            bench.loads.push(load);
        }
        sleep(Duration::from_secs(1));
        bench
    }

    fn load(&self, index: usize) -> Load {
        let calls: Vec<Call> = self
            .cluster
            .fleet
            .tokens
            .iter()
            .map(|token| call(token))
            .collect();
        let address = self.cluster.daemons[index].callers;
        Load::start_each(CALLERS, address, "/quotes", &calls)
    }

    /// Waits until every one of the entry hosts has answered again.
    fn answers_at(&self, entries: &[usize]) {
        let since = Instant::now();
        while !entries
            .iter()
            .all(|&index| self.loads[index].answered_since(since) > 0)
        {
            assert!(since.elapsed() < BACK_WITHIN, "no work at {entries:?}");
            sleep(Duration::from_millis(20));
        }
    }

    fn max_running(&self) -> [u32; 2] {
        WORKSPACES
            .map(|workspace| self.cluster.fleet.tally.usage(workspace.name).max_running)
    }

    /// Applies a change to the first zone's way to the store and to all ways of peers.
    fn around_first_zone(&self, change: fn(&Link)) {
        self.cluster.links.to_store(ZONES[0], change);
        self.cluster.links.between_peers(change);
    }

    fn outage(&self, down: Down) {
        self.cluster.store.set_down(Some(down));
        sleep(PAST_THE_LEASE);
        self.answers_at(&[0, 1, 2, 3]);
        self.cluster.store.set_down(None);
    }

    fn cut_off(&self, change: fn(&Link)) {
        self.around_first_zone(change);
        sleep(PAST_THE_LEASE);
        self.answers_at(&[0, 1, 2, 3]);
        self.around_first_zone(Link::heal);
    }
}

fn call(token: &str) -> Call {
    Call::keyed(token)
        .work(WORK)
        .header("rhubarbrill-timeout-ms", "2000")
}

#[rstest]
#[case::nothing_wrong(|_: &mut Bench| ())]
#[case::killed_and_restarted(|bench: &mut Bench| {
    bench.cluster.restart(0);
    bench.answers_at(&[1, 2, 3]);
    sleep(PAST_THE_LEASE);
})]
#[case::frozen_past_the_lease(|bench: &mut Bench| {
    bench.cluster.daemons[0].signal("STOP");
    sleep(PAST_THE_LEASE);
    bench.answers_at(&[1, 2, 3]);
    bench.cluster.daemons[0].signal("CONT");
})]
#[case::frozen_and_replaced(|bench: &mut Bench| {
    bench.cluster.daemons[0].signal("STOP");
    sleep(PAST_THE_LEASE);
    let mut former = bench.cluster.replace(0);
    bench.loads.push(bench.load(0));
    former.signal("CONT");
    bench.answers_at(&[1, 2, 3]);
    former.wait();
})]
#[case::zone_cut_off(|bench: &mut Bench| bench.cut_off(Link::cut))]
#[case::zone_silent(|bench: &mut Bench| bench.cut_off(|link| link.freeze(NewConnections::Freeze)))]
#[case::store_refuses(|bench: &mut Bench| bench.outage(Down::Refuse))]
#[case::store_hangs(|bench: &mut Bench| bench.outage(Down::Hang))]
#[case::answers_lost(|bench: &mut Bench| {
    for _ in 0..20 {
        bench.cluster.store.lose_responses(2);
        sleep(Duration::from_millis(100));
    }
    bench.cluster.store.lose_responses(0);
    bench.answers_at(&[0, 1, 2, 3]);
})]
fn running_work_stays_within_the_limit(#[case] fault: fn(&mut Bench)) {
    let mut bench = Bench::start(&WORKSPACES);
    fault(&mut bench);
    sleep(Duration::from_secs(1));
    bench.answers_at(&[1, 2, 3]);
    let max = bench.max_running();
    println!("most running: {max:?} of 16 and 8");
    for (max, workspace) in max.into_iter().zip(WORKSPACES) {
        assert!(
            max <= workspace.limit,
            "{}: {max} of {}",
            workspace.name,
            workspace.limit
        );
        // Floors are half of a limit, and stay usable whatever else fails.
        assert!(max >= workspace.limit / 2, "{}: only {max}", workspace.name);
    }
}

/// Each entry host counts the whole limit for itself, as if it were alone.
#[test]
fn a_static_count_at_each_entry_host_passes_the_limit() {
    let entries = ZONES.len() as u32 * ENTRIES;
    let alone = WORKSPACES.map(|workspace| Workspace {
        limit: workspace.limit * entries,
        ..workspace
    });
    let bench = Bench::start(&alone);
    sleep(Duration::from_secs(1));
    let max = bench.max_running();
    println!("most running with static counts: {max:?} of 16 and 8");
    let passed = max.into_iter().zip(WORKSPACES);
    assert!(
        passed
            .into_iter()
            .any(|(max, workspace)| max > workspace.limit)
    );
}

#[test]
fn lowered_limit_holds_under_load() {
    const LOWERED: u32 = 4;
    let mut bench = Bench::start(&WORKSPACES);
    let fleet = &mut bench.cluster.fleet;
    fleet.declarations = fleet.declarations.replace("limit = 16", "limit = 4");
    let applied = bench.cluster.apply();
    assert!(applied.status.success(), "{applied:?}");
    let accepted = Instant::now();
    while !bench.is_in_force(LOWERED) {
        assert!(accepted.elapsed() < LOWERED_WITHIN, "not in force");
    }
    println!("in force after {:?}", accepted.elapsed());
    bench.cluster.fleet.tally.reset_max();
    let since = Instant::now();
    sleep(Duration::from_secs(3));
    let [max, _] = bench.max_running();
    assert!(max <= LOWERED, "{max} of {LOWERED}");
    let answered = |load: &Load| load.answered_since(since);
    assert!(bench.loads.iter().map(answered).sum::<usize>() > 0);
}

impl Bench {
    /// Returns whether every status shows the limit, and no more units held in all.
    fn is_in_force(&self, limit: u32) -> bool {
        let mut held = 0;
        for daemon in &self.cluster.daemons {
            let status = daemon.status();
            let workspace = status["teams"].as_array().and_then(|workspaces| {
                workspaces
                    .iter()
                    .find(|workspace| workspace["name"] == WORKSPACES[0].name)
            });
            let Some(workspace) =
                workspace.filter(|workspace| workspace["limit"] == limit)
            else {
                return false;
            };
            held += workspace["floor"].as_u64().unwrap()
                + workspace["loan"].as_u64().unwrap();
        }
        held <= u64::from(limit)
    }
}
