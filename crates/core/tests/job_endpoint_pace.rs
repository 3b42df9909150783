//! Endpoint pace: tasks avoid endpoints that are slower than others, and endpoints that are
//! far slower or fail get one task at a time.

use std::collections::BTreeSet;
use std::time::Duration;

use rhubarbrill_core::job::scheduler::{RunLimit, SchedulerEvent};
use rhubarbrill_core::job::{Feature, Features};
use rhubarbrill_core::time::Instant;
use rstest::rstest;

mod job_support;

use job_support::{CAPACITY, Simulation, configuration, spec, step};

const SECOND: Duration = Duration::from_secs(1);

const PACE: Features = Features::NONE.with(Feature::EndpointPace);

fn simulation(features: Features, hosts: usize) -> Simulation {
    let mut simulation = Simulation::with_features(configuration(&["a"]), features);
    simulation.add_hosts("a", hosts);
    simulation.run_for(SECOND / 5);
    simulation
}

/// Sends a job of `tasks` tasks of half a second each tenth of a second. Four tasks fill an
/// endpoint.
fn send_jobs(simulation: &mut Simulation, tasks: u32, duration: Duration) {
    let end = simulation.now + duration;
    while simulation.now < end {
        simulation.submit("a", spec(vec![step(tasks, CAPACITY.cpu / 4, 500)]));
        simulation.run_for(SECOND / 10);
    }
}

/// Returns the number of starts on an endpoint since `from`.
fn starts_on(simulation: &Simulation, endpoint: &str, from: Instant) -> usize {
    let starts = simulation.observed.starts.iter();
    starts
        .filter(|(at, _, _, id)| *at >= from && id == endpoint)
        .count()
}

/// Returns the changes of run limits, in order, and clears the log.
fn limits(simulation: &mut Simulation) -> Vec<(String, RunLimit)> {
    let events = simulation.scheduler.take_events().into_iter();
    events
        .filter_map(|event| match event {
            SchedulerEvent::RunLimitChanged {
                endpoint, limit, ..
            } => Some((endpoint, limit)),
            _ => None,
        })
        .collect()
}

/// Load pattern: one endpoint of six takes 1.8 times as long, which is too little to stop
/// its runs, and half of the pool is enough for the load. Packing fills the slow endpoint
/// like the others.
#[test]
fn slow_endpoint_gets_no_work_that_others_can_take() {
    let mut simulation = simulation(PACE, 6);
    let slow = simulation.endpoints.get_mut("e1").expect("it was started");
    slow.run_time_percent = 180;
    send_jobs(&mut simulation, 2, 5 * SECOND);
    let from = simulation.now;
    send_jobs(&mut simulation, 2, 5 * SECOND);
    let starts = starts_on(&simulation, "e1", from);
    assert!(starts <= 5, "{starts} of 100 tasks started on it");
}

/// Failure: differences of a few percent spread tasks over all endpoints, so that none
/// becomes idle and no host can move to another pool.
#[test]
fn small_differences_leave_the_packing() {
    let used_endpoints = |features| {
        let mut simulation = simulation(features, 6);
        // Packing fills the slowest endpoint first.
        for (faster, endpoint) in (0..).step_by(2).zip(simulation.endpoints.values_mut())
        {
            endpoint.run_time_percent = 106 - faster;
        }
        send_jobs(&mut simulation, 2, 6 * SECOND);
        let from = simulation.now.saturating_sub(3 * SECOND);
        let starts = simulation.observed.starts.iter();
        let recent = starts.filter(|(at, _, _, _)| *at >= from);
        recent
            .map(|(_, _, _, id)| id.clone())
            .collect::<BTreeSet<_>>()
    };
    assert_eq!(used_endpoints(PACE), used_endpoints(Features::NONE));
}

/// How an endpoint misbehaves.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Slow,
    Failing,
}

/// Failure: an endpoint is far slower than the others or fails every run, while the pool
/// is full, so that tasks start on it in spite of its pace. It gets one probe at a time, and
/// all of its capacity again once it is sound.
#[rstest]
#[case::slow(Fault::Slow)]
#[case::failing(Fault::Failing)]
fn outlier_is_ejected_in_steps_and_returns(#[case] fault: Fault) {
    let mut simulation = simulation(PACE, 4);
    send_jobs(&mut simulation, 3, 2 * SECOND);
    let endpoint = simulation.endpoints.get_mut("e1").expect("it was started");
    match fault {
        Fault::Slow => endpoint.slowdown = 4,
        Fault::Failing => endpoint.fail_runs = true,
    }
    send_jobs(&mut simulation, 5, 25 * SECOND);
    let expected = |limits: &[RunLimit]| -> Vec<(String, RunLimit)> {
        limits
            .iter()
            .map(|&limit| ("e1".to_owned(), limit))
            .collect()
    };
    let ejected = limits(&mut simulation);
    assert_eq!(ejected, expected(&[RunLimit::Few, RunLimit::Probe]));

    let endpoint = simulation.endpoints.get_mut("e1").expect("it was started");
    endpoint.slowdown = 1;
    endpoint.fail_runs = false;
    send_jobs(&mut simulation, 5, 40 * SECOND);
    let returned = limits(&mut simulation);
    assert_eq!(returned, expected(&[RunLimit::Few, RunLimit::Unlimited]));
}

/// Failure: a fault of many endpoints leaves a pool without capacity.
#[test]
fn no_more_than_a_third_of_a_pool_is_ejected() {
    let mut simulation = simulation(PACE, 6);
    send_jobs(&mut simulation, 4, 2 * SECOND);
    for endpoint in simulation.endpoints.values_mut().take(4) {
        endpoint.fail_runs = true;
    }
    send_jobs(&mut simulation, 8, 20 * SECOND);
    let ejected: BTreeSet<String> = limits(&mut simulation)
        .into_iter()
        .map(|(endpoint, _)| endpoint)
        .collect();
    assert_eq!(ejected.len(), 2, "{ejected:?}");
}
