//! Checks that an accepted revision is in force at every entry host within seconds, and
//! that no entry host ever returns to an older one.

mod support;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rhubarbrill_standin::link::Link;
use rhubarbrill_standin::platform::Down;
use rstest::rstest;
use support::cluster::Cluster;
use support::fleet::{Fleet, Workspace};
use support::watch::Watch;

const WORKSPACE: Workspace = Workspace {
    name: "counter",
    share: 1,
    limit: 100,
};

const ZONES: [&str; 2] = ["z1", "z2"];
const ALL_ENTRIES: [usize; 4] = [0, 1, 2, 3];

/// Longest time from acceptance until a revision is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

const MEASURED_CHANGES: u64 = 50;

struct Fixture {
    cluster: Cluster,
    watch: Watch,
    revision: u64,
}

impl Fixture {
    fn start() -> Self {
        let fleet = Fleet::start(&[WORKSPACE], &ZONES, 1);
        let cluster = Cluster::start_linked(fleet, &ZONES, 2);
        cluster.wait_for_revision(1);
        let watch = Watch::start(&cluster.daemons);
        Self {
            cluster,
            watch,
            revision: 1,
        }
    }

    /// Applies a declaration with another limit, and returns the time at which the
    /// command line reported that it was accepted.
    fn change(&mut self) -> Instant {
        self.declare();
        let applied = self.cluster.apply();
        assert!(applied.status.success(), "{applied:?}");
        self.revision += 1;
        Instant::now()
    }

    /// Writes the limit of the next revision (99 plus its number) into the declarations.
    fn declare(&mut self) {
        let limit = |revision| format!("limit = {}\n", 99 + revision);
        let (old, new) = (limit(self.revision), limit(self.revision + 1));
        let declarations = &mut self.cluster.fleet.declarations;
        *declarations = declarations.replace(&old, &new);
    }

    /// Waits until the current revision is in force at `entries`, and returns the time
    /// since `accepted`.
    fn wait_in_force(&self, entries: &[usize], accepted: Instant) -> Duration {
        loop {
            if let Some(at) = self.watch.in_force_at(entries, self.revision) {
                let took = at.saturating_duration_since(accepted);
                assert!(took < IN_FORCE_WITHIN, "in force after {took:?}");
                return took;
            }
            // On a busy machine a poll may return late, so this waits twice as long; the
            // time recorded with the reading decides above.
            assert!(
                accepted.elapsed() < IN_FORCE_WITHIN * 2,
                "the revision is not in force"
            );
            sleep(Duration::from_millis(5));
        }
    }

    fn change_everywhere(&mut self) {
        let accepted = self.change();
        self.wait_in_force(&ALL_ENTRIES, accepted);
    }

    fn restart(&mut self, index: usize) {
        self.cluster.restart(index);
        self.watch
            .follow_restart(index, &self.cluster.daemons[index]);
    }
}

#[rstest]
#[case::relay_killed_midway(|fixture: &mut Fixture| {
    fixture.cluster.store.set_delay(Duration::from_millis(100));
    let accepted = fixture.change();
    fixture.cluster.daemons[0].kill();
    fixture.wait_in_force(&ALL_ENTRIES[1..], accepted);
    fixture.cluster.store.set_delay(Duration::ZERO);
    fixture.restart(0);
})]
#[case::restarts_in_an_outage(|fixture: &mut Fixture| {
    fixture.cluster.store.set_down(Some(Down::Refuse));
    for index in [0, 3, 1] {
        fixture.restart(index);
    }
    fixture.cluster.store.set_down(None);
})]
#[case::restarts_with_stale_reads(|fixture: &mut Fixture| {
    for lag in [1, 8, 40] {
        fixture.cluster.store.set_stale(lag);
        fixture.restart(0);
        fixture.restart(3);
    }
    fixture.cluster.store.set_stale(0);
})]
#[case::zone_cut_from_the_store(|fixture: &mut Fixture| {
    fixture.cluster.links.change_store_links(ZONES[0], Link::cut);
    for _ in 0..3 {
        fixture.change_everywhere();
    }
    fixture.restart(1);
    fixture.change_everywhere();
    fixture.cluster.links.change_store_links(ZONES[0], Link::heal);
})]
fn revision_takes_effect_and_never_regresses(#[case] fault: fn(&mut Fixture)) {
    let mut fixture = Fixture::start();
    for _ in 0..3 {
        fixture.change_everywhere();
    }
    fault(&mut fixture);
    fixture.change_everywhere();
    fixture.watch.assert_no_regression();
}

#[test]
fn concurrent_operators_conflict() {
    let mut fixture = Fixture::start();
    // The delay makes both operators read the revision in force before either one writes.
    fixture.cluster.store.set_delay(Duration::from_millis(50));
    for _ in 0..4 {
        let base = fixture.revision.to_string();
        fixture.declare();
        let cluster = &fixture.cluster;
        let text = &cluster.fleet.declarations;
        let apply_as = |name: &str, share: &str| {
            let text = text.replace("share = 1\n", share);
            let path = cluster.folder.write(&format!("{name}-fleet.ini"), &text);
            let path = path.display().to_string();
            cluster.run_cli_as(name, &["apply", "--base", &base, &path])
        };
        let (first, second) = std::thread::scope(|scope| {
            let first = scope.spawn(|| apply_as("ann", "share = 2\n"));
            let second = apply_as("bob", "share = 3\n");
            (first.join().unwrap(), second)
        });
        fixture.revision += 1;
        let (winner, loser) = match first.status.code() {
            Some(0) => ("ann", &second),
            _ => ("bob", &first),
        };
        let codes = [&first, &second].map(|result| result.status.code().unwrap());
        assert_eq!(codes.into_iter().sum::<i32>(), 3, "{first:?} {second:?}");
        let output = String::from_utf8_lossy(&loser.stdout);
        let expected = format!("conflict: revision {} by {winner}", fixture.revision);
        assert!(output.contains(&expected), "{output}");
        fixture.wait_in_force(&ALL_ENTRIES, Instant::now());
    }
    fixture.watch.assert_no_regression();
}

#[test]
fn measure_time_until_in_force() {
    let mut fixture = Fixture::start();
    let mut times: Vec<Duration> = (0..MEASURED_CHANGES)
        .map(|_| {
            let accepted = fixture.change();
            fixture.wait_in_force(&ALL_ENTRIES, accepted)
        })
        .collect();
    fixture.watch.assert_no_regression();
    times.sort();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "accepted to in force at 4 entry hosts, {MEASURED_CHANGES} changes: \
         p50 {:?}, p99 {:?}, max {:?}",
        at(50),
        at(99),
        at(100),
    );
}
