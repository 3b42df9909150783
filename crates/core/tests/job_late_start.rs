//! Start orders that get no answer and are carried out late, at endpoints that answer all
//! other orders.

use std::collections::BTreeMap;
use std::time::Duration;

use rhubarbrill_core::job::State;
use rhubarbrill_core::job::scheduler::SchedulerEvent;
use rhubarbrill_core::time::Instant;
use rstest::rstest;

mod job_support;

use job_support::{Link, Simulation, simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Share of start orders that are late, and the load of the endpoints.
struct Case {
    /// Every how many start orders one is late.
    every: usize,
    /// Number of jobs a second, of two tasks of 0.6 s each.
    jobs_per_second: u32,
}

/// Returns how many endpoints were declared lost.
fn count_lost(simulation: &mut Simulation) -> usize {
    let events = simulation.scheduler.take_events();
    let lost = events
        .iter()
        .filter(|event| matches!(event, SchedulerEvent::EndpointLost { .. }));
    lost.count()
}

/// Fault: 5 % or 20 % of the start orders stay unanswered and are carried out 2 s later,
/// while holds are answered.
///
/// If the leader takes an unanswered start for a lost endpoint, the endpoint gets no work
/// until its hold returns, which may wait for 1.5 s, and tasks wait although there is
/// capacity.
#[rstest]
#[case::busy(Case { every: 20, jobs_per_second: 20 })]
#[case::busy_and_many_late(Case { every: 5, jobs_per_second: 20 })]
#[case::quiet(Case { every: 5, jobs_per_second: 4 })]
fn late_start_delays_its_own_task_only(#[case] case: Case) {
    let mut simulation = simulation(2);
    simulation.holds_wait = true;
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.link = Link::SomeStartsDelayed(case.every);
    }
    let mut submitted: BTreeMap<String, Instant> = BTreeMap::new();
    for _ in 0..case.jobs_per_second * 10 {
        let id = simulation.submit("a", spec(vec![step(2, 1_000, 600)]));
        submitted.insert(id, simulation.now);
        simulation.run_for(SECOND / case.jobs_per_second);
    }
    simulation.run_for(10 * SECOND);
    assert!(simulation.observed.delayed_starts > 0);
    assert_eq!(count_lost(&mut simulation), 0, "endpoints declared lost");
    let is_late = |start: &&(Instant, String, u64, String)| {
        let job = start.1.split('.').next().unwrap_or_default();
        start.0 > submitted[job] + SECOND / 5
    };
    let late = simulation.observed.starts.iter().filter(is_late).count();
    assert!(
        late <= simulation.observed.delayed_starts,
        "{late} tasks waited, and {} start orders were late",
        simulation.observed.delayed_starts
    );
    for id in submitted.keys() {
        assert_eq!(simulation.state(id), State::Completed);
    }
}

/// Fault: one of two endpoints answers nothing any more, although orders reach it.
///
/// If single orders without an answer never made an endpoint unreachable, it would go on
/// receiving tasks, each of which waits until the endpoint's lease is over.
#[test]
fn endpoint_that_answers_nothing_is_lost_and_gets_no_more_work() {
    let mut simulation = simulation(2);
    let silent = simulation.endpoints.keys().next().cloned();
    let silent = silent.expect("there are endpoints");
    if let Some(endpoint) = simulation.endpoints.get_mut(&silent) {
        endpoint.link = Link::RepliesLost;
    }
    for _ in 0..40 {
        simulation.submit("a", spec(vec![step(2, 1_000, 600)]));
        simulation.run_for(SECOND / 20);
    }
    assert_eq!(count_lost(&mut simulation), 1);
    let starts = simulation.observed.starts.iter();
    let at_silent = starts.filter(|start| start.3 == silent).count();
    assert!(at_silent <= 2, "{at_silent} tasks started there");
}
