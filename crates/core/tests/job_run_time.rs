//! Run times by queue: callers' estimates that are off are corrected by what runs took.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::SchedulerEvent;
use rhubarbrill_core::job::{Feature, Features, Step};
use rstest::rstest;

mod job_support;

use job_support::{CAPACITY, Simulation, configuration, queue, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Hosts of the pool, each of which runs two tasks at once.
const HOSTS: usize = 4;

/// Time within which a job of two steps is in time: 1.6 times its duration and 0.6 s.
const DEADLINE: Duration = Duration::from_secs(7);

const LEARNING: Features = Features::NONE.with(Feature::RunTimeEstimates);

/// Returns a simulation of pool `a`, which serves the queues `a` and `b`.
fn two_queues(features: Features) -> Simulation {
    let mut configuration = configuration(&["a"]);
    let mut other = queue("b");
    other.pool = "a".to_owned();
    configuration.queues.push(other);
    let mut simulation = Simulation::with_features(configuration, features);
    simulation.add_hosts("a", HOSTS);
    simulation.run_for(SECOND / 5);
    simulation
}

/// Returns how many of 60 jobs of two steps, sent to both queues in turn, end in time if
/// the tasks of queue `b` take `percent` of their estimates.
fn jobs_in_time(features: Features, percent: u64, interval: Duration) -> usize {
    let mut simulation = two_queues(features);
    simulation.run_time_percent.insert("b".to_owned(), percent);
    let first = step(2, CAPACITY.cpu / 2, 2_000);
    let second = Step {
        after: vec![0],
        ..first.clone()
    };
    let mut jobs = Vec::new();
    for queue in ["a", "b"].into_iter().cycle().take(60) {
        let job = spec(vec![first.clone(), second.clone()]);
        jobs.push((simulation.submit(queue, job), simulation.now + DEADLINE));
        simulation.run_for(interval);
    }
    simulation.run_for(30 * SECOND);
    let finished = &simulation.observed.finished;
    let in_time = jobs
        .iter()
        .filter(|(id, deadline)| finished.get(id).is_some_and(|at| at <= deadline));
    in_time.count()
}

/// Load of a pool of which one queue's estimates are too low.
struct LoadCase {
    /// Run time of that queue's tasks, in percent of their estimates.
    percent: u64,
    /// Milliseconds between two jobs.
    interval_ms: u64,
    /// Number of jobs that end in time at least.
    in_time: usize,
}

/// Load pattern: the pool is nearly full, and one of two queues sends estimates that are
/// too low. Ranked by these, its jobs begin too late to end in time and take the capacity
/// of jobs that could.
#[rstest]
#[case::above_capacity(LoadCase { percent: 140, interval_ms: 900, in_time: 33 })]
#[case::near_capacity(LoadCase { percent: 140, interval_ms: 1_100, in_time: 47 })]
fn low_estimates_of_one_queue_cost_fewer_jobs(#[case] case: LoadCase) {
    let interval = Duration::from_millis(case.interval_ms);
    let in_time = jobs_in_time(LEARNING, case.percent, interval);
    let without = jobs_in_time(Features::NONE, case.percent, interval);
    assert!(
        in_time >= case.in_time,
        "{in_time} jobs in time, {without} by the callers' estimates"
    );
}

/// Returns the mean run times that were logged, in order, and clears the log.
fn learned_means(simulation: &mut Simulation) -> Vec<u64> {
    let events = simulation.scheduler.take_events().into_iter();
    events
        .filter_map(|event| match event {
            SchedulerEvent::RunTimesLearned { mean_percent, .. } => Some(mean_percent),
            _ => None,
        })
        .collect()
}

/// Sends jobs of eight tasks to queue `b` for the given number of seconds.
fn send_jobs(simulation: &mut Simulation, seconds: usize, task: &Step) {
    for _ in 0..seconds {
        simulation.submit("b", spec(vec![task.clone()]));
        simulation.run_for(SECOND);
    }
}

/// Runs whose length says nothing about the next ones.
struct UnusableCase {
    task: Step,
    seconds: usize,
    fail_runs: bool,
}

/// Failure: what is learned from runs that aren't comparable replaces a good estimate.
#[rstest]
#[case::too_few(UnusableCase {
    task: step(8, 1_000, 500), seconds: 1, fail_runs: false,
})]
#[case::failed(UnusableCase {
    task: step(8, 1_000, 500), seconds: 8, fail_runs: true,
})]
#[case::far_from_data(UnusableCase {
    task: Step { affinity: "rack9".to_owned(), ..step(8, 1_000, 500) },
    seconds: 8,
    fail_runs: false,
})]
#[case::best_effort(UnusableCase {
    task: Step { best_effort: true, ..step(8, 1_000, 500) },
    seconds: 8,
    fail_runs: false,
})]
fn unusable_runs_leave_the_estimate(#[case] case: UnusableCase) {
    let mut simulation = two_queues(LEARNING);
    simulation.run_time_percent.insert("b".to_owned(), 190);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.fail_runs = case.fail_runs;
    }
    send_jobs(&mut simulation, case.seconds, &case.task);
    simulation.run_for(2 * SECOND);
    assert_eq!(learned_means(&mut simulation), Vec::<u64>::new());
}

/// Failure: a queue changes its kind of work, or its leader is replaced, and what was
/// learned before stays in use.
#[test]
fn learned_run_times_follow_the_load_and_end_with_the_term() {
    let mut simulation = two_queues(LEARNING);
    let task = step(8, 1_000, 500);
    simulation.run_time_percent.insert("b".to_owned(), 190);
    send_jobs(&mut simulation, 10, &task);
    let means = learned_means(&mut simulation);
    assert!(means.last().is_some_and(|mean| (190..=200).contains(mean)));

    simulation.run_time_percent.insert("b".to_owned(), 100);
    send_jobs(&mut simulation, 40, &task);
    let means = learned_means(&mut simulation);
    assert!(means.last().is_some_and(|mean| (100..=120).contains(mean)));

    simulation.run_time_percent.insert("b".to_owned(), 190);
    send_jobs(&mut simulation, 20, &task);
    simulation.run_for(60 * SECOND);
    let means = learned_means(&mut simulation);
    assert_eq!(
        means.last(),
        Some(&100),
        "the estimate stands after a pause"
    );

    simulation.elect_new_leader(false);
    let events = simulation.scheduler.take_events();
    let announced = SchedulerEvent::LearningStarts {
        feature: Feature::RunTimeEstimates,
        term: 2,
    };
    assert!(events.contains(&announced), "{events:?}");
}
