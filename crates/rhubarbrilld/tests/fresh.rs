//! An entry host whose news is old sends to hosts of its own zone only.

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

/// Age of the news at which an entry host stops, and the time of one heartbeat and call.
const STOPPED_WITHIN: Duration = Duration::from_millis(4_000 + 500);

/// Time during which nothing may be sent to the other zone.
const WATCHED: Duration = Duration::from_secs(2);

/// Callers at the entry host, more than its own zone's endpoints take.
const CALLERS: usize = 20;

/// What the entry host of zone z2 loses, and whether z1's hosts may still get its work.
#[derive(Clone, Copy, Debug)]
struct Case {
    store: bool,
    peers: bool,
    everyone: bool,
    sends: bool,
}

#[rstest]
#[case::nothing(Case { store: false, peers: false, everyone: false, sends: true })]
#[case::store_cut_peers_heard(
    Case { store: true, peers: false, everyone: false, sends: true })]
#[case::store_and_peers_cut(Case { store: true, peers: true, everyone: false, sends: false })]
#[case::store_down_for_all(Case { store: false, peers: false, everyone: true, sends: true })]
fn spill_to_the_other_zone(#[case] case: Case) {
    let fleet = Fleet::start(&[WORKSPACE], &["z1", "z2"], 1);
    let cluster = Cluster::start_linked(fleet, &["z1", "z2"], 1);
    cluster.wait_for_units();
    let call = Call::keyed(&cluster.fleet.tokens[0]).work(Duration::from_millis(150));
    let load = Load::start(CALLERS, &[cluster.daemons[1].callers], "/quotes", &call);
    sleep(Duration::from_millis(700));
    assert!(sent_to_z1(&cluster, Instant::now() - Duration::from_secs(1)) > 0);
    if case.store {
        cluster.links.to_store("z2", Link::cut);
    }
    if case.peers {
        cluster.links.between_peers(Link::cut);
    }
    if case.everyone {
        cluster.store.set_down(Some(Down::Refuse));
    }
    sleep(STOPPED_WITHIN);
    let since = Instant::now();
    sleep(WATCHED);
    let sent = sent_to_z1(&cluster, since);
    let answered = load.stop();
    assert_eq!(sent > 0, case.sends, "{sent} sent to the other zone");
    let own = answered.iter().filter(|seen| seen.at > since);
    let own = own.filter(|seen| seen.result.as_ref().is_ok_and(|a| a.status == 200));
    assert!(own.count() > 0, "the own zone must go on");
}

/// Returns how many requests zone z1's endpoint has got since then; all come from z2.
fn sent_to_z1(cluster: &Cluster, since: Instant) -> usize {
    let runs = cluster.fleet.endpoints[0].runs();
    runs.iter().filter(|run| run.at > since).count()
}
