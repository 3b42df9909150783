//! What a workspace gets from an entry host that no word of the store reaches.

mod support;

use std::time::{Duration, Instant};

use rhubarbrill_standin::platform::Down;
use rstest::rstest;
use support::call::Call;
use support::cluster::Cluster;
use support::fleet::{Fleet, Workspace};

const WORKSPACE: Workspace = Workspace {
    name: "counter",
    share: 1,
    limit: 16,
};

/// Staleness in the harness's settings, a missed renewal, and the time of a call.
const REFUSED_WITHIN: Duration = Duration::from_secs(3 + 2 + 1);

#[rstest]
#[case::serves("serve", 200, "answered")]
#[case::refuses("refuse", 503, "not-run")]
fn without_the_store(#[case] wish: &str, #[case] status: u16, #[case] verdict: &str) {
    let mut fleet = Fleet::start(&[WORKSPACE], &["z1"], 1);
    let declared = "[team counter]\n";
    let wished = format!("{declared}when-cut-off = {wish}\n");
    fleet.declarations = fleet.declarations.replace(declared, &wished);
    let cluster = Cluster::start(fleet, &["z1"], 1);
    cluster.wait_for_units();
    let call = Call::keyed(&cluster.fleet.tokens[0]);
    let address = cluster.daemons[0].callers;
    assert_eq!(call.post(address, "/quotes").unwrap().status, 200);
    cluster.store.set_down(Some(Down::Refuse));
    let start = Instant::now();
    let told = loop {
        let answer = call.post(address, "/quotes").unwrap();
        if answer.status != 200 || start.elapsed() > REFUSED_WITHIN {
            break answer;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(
        (told.status, told.verdict.as_str()),
        (status, verdict),
        "{told:?}"
    );
    cluster.store.set_down(None);
    let back = Instant::now();
    while call.post(address, "/quotes").unwrap().status != 200 {
        assert!(back.elapsed() < REFUSED_WITHIN, "not back");
        std::thread::sleep(Duration::from_millis(50));
    }
}
