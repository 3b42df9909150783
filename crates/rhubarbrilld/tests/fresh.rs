//! Checks that an entry host whose view of the fleet is stale sends requests only to
//! hosts in its own availability zone.

mod support;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rhubarbrill_standin::link::Link;
use rhubarbrill_standin::platform::Down;
use rstest::rstest;
use support::call::Call;
use support::cluster::Cluster;
use support::fleet::{Fleet, Workspace};
use support::load::Load;

const WORKSPACE: Workspace = Workspace {
    name: "counter",
    share: 1,
    limit: 64,
};

/// Upper bound on the time until an entry host stops sending to the other zone: the age
/// at which its view counts as stale (4 s), and one heartbeat and one call (500 ms).
const STOPPED_WITHIN: Duration = Duration::from_millis(4_000 + 500);

/// How long requests to the other zone are counted after `STOPPED_WITHIN` has passed.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

/// Number of callers at the entry host; more than the endpoint of its own zone has slots
/// for, so that requests spill over to the other zone.
const CALLERS: usize = 20;

/// The connections that fail, and whether the entry host of zone z2 still sends requests
/// to the endpoint of zone z1.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Cuts the link from zone z2 to the store.
    cut_store: bool,
    /// Cuts the links between entry hosts.
    cut_peers: bool,
    /// Makes the store refuse all requests, also those of zone z1.
    store_down: bool,
    spills: bool,
}

#[rstest]
#[case::no_fault(
    Case { cut_store: false, cut_peers: false, store_down: false, spills: true })]
#[case::store_cut_peers_reachable(
    Case { cut_store: true, cut_peers: false, store_down: false, spills: true })]
#[case::store_and_peers_cut(
    Case { cut_store: true, cut_peers: true, store_down: false, spills: false })]
#[case::store_down_for_all(
    Case { cut_store: false, cut_peers: false, store_down: true, spills: true })]
fn stale_entry_host_stays_in_its_zone(#[case] case: Case) {
    let fleet = Fleet::start(&[WORKSPACE], &["z1", "z2"], 1);
    let cluster = Cluster::start_linked(fleet, &["z1", "z2"], 1);
    cluster.wait_for_units();
    let call = Call::keyed(&cluster.fleet.tokens[0]).work(Duration::from_millis(150));
    let load = Load::start(CALLERS, &[cluster.daemons[1].callers], "/quotes", &call);
    sleep(Duration::from_millis(700));
    assert!(sent_to_z1(&cluster, Instant::now() - Duration::from_secs(1)) > 0);
    if case.cut_store {
        cluster.links.change_store_links("z2", Link::cut);
    }
    if case.cut_peers {
        cluster.links.change_peer_links(Link::cut);
    }
    if case.store_down {
        cluster.store.set_down(Some(Down::Refuse));
    }
    sleep(STOPPED_WITHIN);
    let since = Instant::now();
    sleep(OBSERVATION_TIME);
    let sent = sent_to_z1(&cluster, since);
    let diagnostics = cluster.diagnostics();
    let answered = load.stop();
    assert_eq!(
        sent > 0,
        case.spills,
        "{sent} requests sent to the other zone\n{diagnostics}"
    );
    let in_own_zone = answered.iter().filter(|record| record.at > since);
    let in_own_zone = in_own_zone
        .filter(|record| record.result.as_ref().is_ok_and(|a| a.status == 200));
    assert!(
        in_own_zone.count() > 0,
        "no request was answered in the entry host's own zone"
    );
}

/// Returns how many requests the endpoint of zone z1 has received since `since`. The load
/// runs only against the entry host of zone z2, so all of them come from there.
fn sent_to_z1(cluster: &Cluster, since: Instant) -> usize {
    let runs = cluster.fleet.endpoints[0].runs();
    runs.iter().filter(|run| run.at > since).count()
}
