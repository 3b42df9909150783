//! Checks how an entry host that has lost the store treats a workspace, depending on the
//! workspace's `when-cut-off` policy.

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

/// Upper bound on the time until calls are refused: `stale-after` in the settings of the
/// test cluster (3 s), a missed renewal (2 s) and the duration of a call (1 s).
const REFUSED_WITHIN: Duration = Duration::from_secs(3 + 2 + 1);

#[rstest]
#[case::serves("serve", 200, "answered")]
#[case::refuses("refuse", 503, "not-run")]
fn cut_off_policy_applies_without_the_store(
    #[case] policy: &str,
    #[case] status: u16,
    #[case] verdict: &str,
) {
    let mut fleet = Fleet::start(&[WORKSPACE], &["z1"], 1);
    let section = "[team counter]\n";
    let with_policy = format!("{section}when-cut-off = {policy}\n");
    fleet.declarations = fleet.declarations.replace(section, &with_policy);
    let cluster = Cluster::start(fleet, &["z1"], 1);
    cluster.wait_for_units();
    let call = Call::keyed(&cluster.fleet.tokens[0]);
    let address = cluster.daemons[0].callers;
    assert_eq!(call.post(address, "/quotes").unwrap().status, 200);
    cluster.store.set_down(Some(Down::Refuse));
    let start = Instant::now();
    let last = loop {
        let answer = call.post(address, "/quotes").unwrap();
        if answer.status != 200 || start.elapsed() > REFUSED_WITHIN {
            break answer;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(
        (last.status, last.verdict.as_str()),
        (status, verdict),
        "{last:?}"
    );
    cluster.store.set_down(None);
    let recovered_at = Instant::now();
    while call.post(address, "/quotes").unwrap().status != 200 {
        assert!(
            recovered_at.elapsed() < REFUSED_WITHIN,
            "calls are still refused after the store recovered"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}
