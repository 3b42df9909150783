//! The leader's estimate of when new jobs start, and rejection by it.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrill_core::job::estimate::{PoolEstimate, Verdict};
use rhubarbrill_core::job::spec::Recurrence;
use rhubarbrill_core::job::{Estimate, Feature, Features, Spec};
use rhubarbrill_core::time::Timestamp;
use rstest::rstest;

mod job_support;

use job_support::{CAPACITY, Simulation, configuration, queue, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Identity of a job.
const ID: &str = "00000000000000a7";

fn estimate(wait_ms: u64) -> Estimate {
    let pool = PoolEstimate { wait_ms, room: 100 };
    Estimate {
        term: 1,
        pools: BTreeMap::from([("a".to_owned(), pool)]),
    }
}

/// A job of one second, which is of use for 3 x (1.6 + 0.6) = 6.6 seconds.
fn second_long() -> Spec {
    spec(vec![step(1, 1_000, 1_000)])
}

fn long_running() -> Spec {
    let mut step = step(1, 1_000, 1_000);
    step.long_running = true;
    spec(vec![step])
}

fn recurring() -> Spec {
    let recurrence = Recurrence {
        first: Timestamp::from_millis(0),
        interval_ms: 1_000,
        count: 3,
    };
    Spec {
        recurrence: Some(recurrence),
        ..second_long()
    }
}

/// A job is rejected if it can't end while it is of use, and only then.
#[rstest]
#[case::no_wait("a", second_long(), 0, true)]
#[case::ends_just_in_time("a", second_long(), 5_600, true)]
#[case::ends_too_late("a", second_long(), 5_601, false)]
#[case::pool_without_estimate("b", second_long(), 60_000, true)]
#[case::lasts("a", long_running(), 60_000, true)]
#[case::recurs("a", recurring(), 60_000, true)]
fn rejects_what_cannot_be_of_use(
    #[case] name: &str,
    #[case] spec: Spec,
    #[case] wait_ms: u64,
    #[case] admitted: bool,
) {
    let verdict = estimate(wait_ms).verdict(&queue(name), &spec, ID);
    assert_eq!(verdict == Verdict::Admit, admitted, "{verdict:?}");
}

/// Callers are spread over the time in which capacity becomes free, and none returns
/// before the job could be accepted or within a second.
#[test]
fn retries_are_spread_by_identity() {
    let estimate = estimate(8_600);
    let delays: Vec<Duration> = (0..200)
        .map(|id| {
            match estimate.verdict(&queue("a"), &second_long(), &format!("{id:016x}")) {
                Verdict::Reject(delay) => delay,
                Verdict::Admit => Duration::ZERO,
            }
        })
        .collect();
    let least = delays.iter().min().expect("there are delays");
    let most = delays.iter().max().expect("there are delays");
    assert!(*least >= 3 * SECOND, "{least:?}");
    assert!(*most - *least >= 6 * SECOND, "{least:?} to {most:?}");
    let early = delays
        .iter()
        .filter(|delay| **delay - *least < SECOND * 43 / 10);
    assert!((70..=130).contains(&early.count()), "the halves are even");
}

/// A change of up to a tenth isn't worth a write.
#[rstest]
#[case::same(1_000, false)]
#[case::a_tenth_more(1_100, false)]
#[case::more(1_101, true)]
#[case::less(899, true)]
fn small_changes_are_not_written(#[case] wait_ms: u64, #[case] differs: bool) {
    assert_eq!(estimate(wait_ms).differs_from(&estimate(1_000)), differs);
}

fn simulation(features: Features) -> Simulation {
    let mut configuration = configuration(&["a"]);
    configuration.queues[0].target_latency = 30 * SECOND;
    let mut simulation = Simulation::with_features(configuration, features);
    simulation.add_hosts("a", 2);
    simulation.run_for(SECOND / 5);
    simulation
}

/// The wait follows the jobs that will start before a new one, and ends with them.
#[test]
fn wait_follows_the_backlog() {
    let mut simulation = simulation(
        Features::NONE
            .with(Feature::Admission)
            .with(Feature::FeasibleSet),
    );
    let wait_ms = |simulation: &Simulation| {
        let estimate = simulation.scheduler.estimate().expect("the switch is on");
        estimate.pools["a"].wait_ms
    };
    assert_eq!(wait_ms(&simulation), 0);
    for _ in 0..4 {
        simulation.submit("a", spec(vec![step(4, CAPACITY.cpu / 2, 4_000)]));
    }
    simulation.run_for(SECOND / 2);
    let waiting = wait_ms(&simulation);
    assert!(waiting > 0, "jobs wait behind the first");
    simulation.run_for(20 * SECOND);
    assert_eq!(wait_ms(&simulation), 0);
}

/// Without the switch there is no estimate, so nothing is written and nothing rejected.
#[test]
fn no_estimate_without_the_switch() {
    assert_eq!(simulation(Features::NONE).scheduler.estimate(), None);
}
