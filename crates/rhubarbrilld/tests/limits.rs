//! Checks that the number of concurrently running requests of a workspace stays within
//! its limit under process, network and store faults.

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

/// Number of callers of each workspace at each entry host; their total exceeds every
/// limit.
const CALLERS: usize = 5;

const WORK: Duration = Duration::from_millis(150);

/// Longer than the lease, and than the longest pause after which a process still trusts
/// its units.
const PAST_THE_LEASE: Duration = Duration::from_millis(2500);

/// Longest time until a lowered limit is in force: the time until a revision is in force
/// everywhere (4 s) and the longest run of a request (5 s).
const LOWERED_WITHIN: Duration = Duration::from_secs(4 + 5);

/// Longest time until an entry host serves again after a fault: one lease and two steps.
const RECOVERED_WITHIN: Duration = Duration::from_secs(10);

/// A cluster under load from more callers than the limits allow.
struct Fixture {
    cluster: Cluster,
    loads: Vec<Load>,
}

impl Fixture {
    fn start(workspaces: &[Workspace]) -> Self {
        let fleet = Fleet::start(workspaces, &ZONES, 2);
        let cluster = Cluster::start_linked(fleet, &ZONES, ENTRIES);
        cluster.wait_for_units();
        let mut fixture = Self {
            cluster,
            loads: Vec::new(),
        };
        for index in 0..fixture.cluster.daemons.len() {
            let load = fixture.load(index);
            fixture.loads.push(load);
        }
        sleep(Duration::from_secs(1));
        fixture
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

    /// Waits until each entry host in `entries` has answered a request sent after this
    /// call.
    fn wait_for_answers_at(&self, entries: &[usize]) {
        let since = Instant::now();
        while !entries
            .iter()
            .all(|&index| self.loads[index].answered_since(since) > 0)
        {
            assert!(
                since.elapsed() < RECOVERED_WITHIN,
                "no requests answered at {entries:?}"
            );
            sleep(Duration::from_millis(20));
        }
    }

    fn max_running(&self) -> [u32; 2] {
        WORKSPACES
            .map(|workspace| self.cluster.fleet.tally.usage(workspace.name).max_running)
    }

    /// Applies a change to the first zone's link to the store and to all links between
    /// peers.
    fn change_first_zone_links(&self, change: fn(&Link)) {
        self.cluster.links.change_store_links(ZONES[0], change);
        self.cluster.links.change_peer_links(change);
    }

    fn store_outage(&self, down: Down) {
        self.cluster.store.set_down(Some(down));
        sleep(PAST_THE_LEASE);
        self.wait_for_answers_at(&[0, 1, 2, 3]);
        self.cluster.store.set_down(None);
    }

    fn cut_off_first_zone(&self, change: fn(&Link)) {
        self.change_first_zone_links(change);
        sleep(PAST_THE_LEASE);
        self.wait_for_answers_at(&[0, 1, 2, 3]);
        self.change_first_zone_links(Link::heal);
    }
}

fn call(token: &str) -> Call {
    Call::keyed(token)
        .work(WORK)
        .header("rhubarbrill-timeout-ms", "2000")
}

#[rstest]
#[case::no_fault(|_: &mut Fixture| ())]
#[case::killed_and_restarted(|fixture: &mut Fixture| {
    fixture.cluster.restart(0);
    fixture.wait_for_answers_at(&[1, 2, 3]);
    sleep(PAST_THE_LEASE);
})]
#[case::frozen_past_the_lease(|fixture: &mut Fixture| {
    fixture.cluster.daemons[0].signal("STOP");
    sleep(PAST_THE_LEASE);
    fixture.wait_for_answers_at(&[1, 2, 3]);
    fixture.cluster.daemons[0].signal("CONT");
})]
#[case::frozen_and_replaced(|fixture: &mut Fixture| {
    fixture.cluster.daemons[0].signal("STOP");
    sleep(PAST_THE_LEASE);
    let mut previous = fixture.cluster.replace(0);
    fixture.loads.push(fixture.load(0));
    previous.signal("CONT");
    fixture.wait_for_answers_at(&[1, 2, 3]);
    previous.wait();
})]
#[case::zone_cut_off(|fixture: &mut Fixture| fixture.cut_off_first_zone(Link::cut))]
#[case::zone_links_frozen(
    |fixture: &mut Fixture| fixture.cut_off_first_zone(|link| link.freeze(NewConnections::Freeze)))]
#[case::store_refuses(|fixture: &mut Fixture| fixture.store_outage(Down::Refuse))]
#[case::store_hangs(|fixture: &mut Fixture| fixture.store_outage(Down::Hang))]
#[case::store_responses_lost(|fixture: &mut Fixture| {
    for _ in 0..20 {
        fixture.cluster.store.lose_responses(2);
        sleep(Duration::from_millis(100));
    }
    fixture.cluster.store.lose_responses(0);
    fixture.wait_for_answers_at(&[0, 1, 2, 3]);
})]
fn running_work_stays_within_the_limit(#[case] fault: fn(&mut Fixture)) {
    let mut fixture = Fixture::start(&WORKSPACES);
    fault(&mut fixture);
    sleep(Duration::from_secs(1));
    fixture.wait_for_answers_at(&[1, 2, 3]);
    let max = fixture.max_running();
    println!("most running: {max:?} of 16 and 8");
    for (max, workspace) in max.into_iter().zip(WORKSPACES) {
        assert!(
            max <= workspace.limit,
            "{}: {max} running, limit {}",
            workspace.name,
            workspace.limit
        );
        // Floors make up half of the limit and stay usable under every fault.
        assert!(
            max >= workspace.limit / 2,
            "{}: only {max} running",
            workspace.name
        );
    }
}

/// Control case: shows that the load exceeds the limit when each entry host may use the
/// whole limit on its own.
#[test]
fn static_limit_at_each_entry_host_exceeds_the_limit() {
    let entries = ZONES.len() as u32 * ENTRIES;
    let undivided = WORKSPACES.map(|workspace| Workspace {
        limit: workspace.limit * entries,
        ..workspace
    });
    let fixture = Fixture::start(&undivided);
    sleep(Duration::from_secs(1));
    let max = fixture.max_running();
    println!("most running with static counts: {max:?} of 16 and 8");
    let exceeded = max.into_iter().zip(WORKSPACES);
    assert!(
        exceeded
            .into_iter()
            .any(|(max, workspace)| max > workspace.limit)
    );
}

#[test]
fn lowered_limit_holds_under_load() {
    const LOWERED_LIMIT: u32 = 4;
    let mut fixture = Fixture::start(&WORKSPACES);
    let fleet = &mut fixture.cluster.fleet;
    fleet.declarations = fleet.declarations.replace("limit = 16", "limit = 4");
    let applied = fixture.cluster.apply();
    assert!(applied.status.success(), "{applied:?}");
    let accepted = Instant::now();
    while !fixture.is_in_force(LOWERED_LIMIT) {
        assert!(
            accepted.elapsed() < LOWERED_WITHIN,
            "the lowered limit is not in force"
        );
    }
    println!("in force after {:?}", accepted.elapsed());
    fixture.cluster.fleet.tally.reset_max();
    let since = Instant::now();
    sleep(Duration::from_secs(3));
    let [max, _] = fixture.max_running();
    assert!(max <= LOWERED_LIMIT, "{max} running, limit {LOWERED_LIMIT}");
    let answered = |load: &Load| load.answered_since(since);
    assert!(fixture.loads.iter().map(answered).sum::<usize>() > 0);
}

impl Fixture {
    /// Returns whether every entry host reports `limit` as the first workspace's limit,
    /// and all of them together hold at most `limit` units.
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
