//! An accepted revision is in force everywhere within seconds, and never older again.

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
const EVERYWHERE: [usize; 4] = [0, 1, 2, 3];

/// Longest time from acceptance until a revision is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

const MEASURED_CHANGES: u64 = 50;

struct Bench {
    cluster: Cluster,
    watch: Watch,
    revision: u64,
}

impl Bench {
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

    /// Accepts another limit; returns when the command line had said so.
    fn change(&mut self) -> Instant {
        self.declare();
        let applied = self.cluster.apply();
        assert!(applied.status.success(), "{applied:?}");
        self.revision += 1;
        Instant::now()
    }

    /// Declares the limit that belongs to the next revision.
    fn declare(&mut self) {
        let limit = |revision| format!("limit = {}\n", 99 + revision);
        let (old, new) = (limit(self.revision), limit(self.revision + 1));
        let declarations = &mut self.cluster.fleet.declarations;
        *declarations = declarations.replace(&old, &new);
    }

    /// Waits until the revision is in force, and returns how long that took.
    fn in_force(&self, entries: &[usize], accepted: Instant) -> Duration {
        loop {
            if let Some(at) = self.watch.in_force_at(entries, self.revision) {
                let took = at.saturating_duration_since(accepted);
                assert!(took < IN_FORCE_WITHIN, "in force after {took:?}");
                return took;
            }
            // A poll may answer late on a busy machine; its reading is what counts.
            assert!(accepted.elapsed() < IN_FORCE_WITHIN * 2, "not in force");
            sleep(Duration::from_millis(5));
        }
    }

    fn change_everywhere(&mut self) {
        let accepted = self.change();
        self.in_force(&EVERYWHERE, accepted);
    }

    fn restart(&mut self, index: usize) {
        self.cluster.restart(index);
        self.watch.moved(index, &self.cluster.daemons[index]);
    }
}

#[rstest]
#[case::relay_killed_midway(|bench: &mut Bench| {
    bench.cluster.store.set_delay(Duration::from_millis(100));
    let accepted = bench.change();
    bench.cluster.daemons[0].kill();
    bench.in_force(&EVERYWHERE[1..], accepted);
    bench.cluster.store.set_delay(Duration::ZERO);
    bench.restart(0);
})]
#[case::restarts_in_an_outage(|bench: &mut Bench| {
    bench.cluster.store.set_down(Some(Down::Refuse));
    for index in [0, 3, 1] {
        bench.restart(index);
    }
    bench.cluster.store.set_down(None);
})]
#[case::restarts_with_stale_reads(|bench: &mut Bench| {
    for lag in [1, 8, 40] {
        bench.cluster.store.set_stale(lag);
        bench.restart(0);
        bench.restart(3);
    }
    bench.cluster.store.set_stale(0);
})]
#[case::zone_cut_from_the_store(|bench: &mut Bench| {
    bench.cluster.links.to_store(ZONES[0], Link::cut);
    for _ in 0..3 {
        bench.change_everywhere();
    }
    bench.restart(1);
    bench.change_everywhere();
    bench.cluster.links.to_store(ZONES[0], Link::heal);
})]
fn revision_is_in_force_and_never_older(#[case] fault: fn(&mut Bench)) {
    let mut bench = Bench::start();
    for _ in 0..3 {
        bench.change_everywhere();
    }
    fault(&mut bench);
    bench.change_everywhere();
    bench.watch.assert_never_older();
}

#[test]
fn of_two_operators_one_gets_a_conflict() {
    let mut bench = Bench::start();
    // Both have read the revision in force before either one writes.
    bench.cluster.store.set_delay(Duration::from_millis(50));
    for _ in 0..4 {
        let base = bench.revision.to_string();
        bench.declare();
        let cluster = &bench.cluster;
        let text = &cluster.fleet.declarations;
        let operate = |name: &str, share: &str| {
            let text = text.replace("share = 1\n", share);
            let path = cluster.folder.write(&format!("{name}-fleet.ini"), &text);
            let path = path.display().to_string();
            cluster.operate(name, &["apply", "--base", &base, &path])
        };
        let (first, second) = std::thread::scope(|scope| {
            let first = scope.spawn(|| operate("ann", "share = 2\n"));
            let second = operate("bob", "share = 3\n");
            (first.join().unwrap(), second)
        });
        bench.revision += 1;
        let (winner, loser) = match first.status.code() {
            Some(0) => ("ann", &second),
            _ => ("bob", &first),
        };
        let codes = [&first, &second].map(|output| output.status.code().unwrap());
        assert_eq!(codes.into_iter().sum::<i32>(), 3, "{first:?} {second:?}");
        let told = String::from_utf8_lossy(&loser.stdout);
        let expected = format!("conflict: revision {} by {winner}", bench.revision);
        assert!(told.contains(&expected), "{told}");
        bench.in_force(&EVERYWHERE, Instant::now());
    }
    bench.watch.assert_never_older();
}

#[test]
fn time_from_acceptance_to_force() {
    let mut bench = Bench::start();
    let mut taken: Vec<Duration> = (0..MEASURED_CHANGES)
        .map(|_| {
            let accepted = bench.change();
            bench.in_force(&EVERYWHERE, accepted)
        })
        .collect();
    bench.watch.assert_never_older();
    taken.sort();
    let at = |percent: usize| taken[(taken.len() - 1) * percent / 100];
    println!(
        "accepted to in force at 4 entry hosts, {MEASURED_CHANGES} changes: \
         p50 {:?}, p99 {:?}, max {:?}",
        at(50),
        at(99),
        at(100),
    );
}
