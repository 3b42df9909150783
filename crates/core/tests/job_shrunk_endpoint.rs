//! Endpoints whose capacity shrinks and grows while they run.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::SchedulerEvent;
use rhubarbrill_core::job::{Resource, State, Step};
use rstest::rstest;

mod job_support;

use job_support::{
    CAPACITY, Simulation, configuration, simulation, simulation_with_spare, spec, step,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a share of the usual capacity of an endpoint, in percent.
fn capacity(percent: u64) -> Resource {
    Resource {
        cpu: CAPACITY.cpu * percent / 100,
        memory_mb: CAPACITY.memory_mb * percent / 100,
        gpu: 0,
    }
}

/// Makes every endpoint start whatever it is told to.
fn stop_enforcing(simulation: &mut Simulation) {
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.enforces_capacity = false;
    }
}

fn endpoint_ids(simulation: &Simulation) -> Vec<String> {
    simulation.endpoints.keys().cloned().collect()
}

/// Changes the capacity of all endpoints, and their registrations at once.
fn resize_all(simulation: &mut Simulation, capacity: Resource) {
    for id in endpoint_ids(simulation) {
        simulation.resize(&id, capacity);
        simulation.publish(&id);
    }
}

fn used(simulation: &Simulation) -> u64 {
    let endpoints = simulation.endpoints.values();
    endpoints.map(|endpoint| endpoint.used().cpu).sum()
}

/// Tasks that are waiting while the capacity shrinks.
struct Case {
    step: Step,
    /// Capacity after the change, in percent of the usual one.
    percent: u64,
}

fn gang() -> Step {
    Step {
        gang: true,
        ..step(4, 8_000, 1_000)
    }
}

fn long_running() -> Step {
    Step {
        long_running: true,
        ..step(4, 8_000, 1_000)
    }
}

/// Guards against starts that were planned with the capacity of before: the write that
/// precedes each start may take seconds.
#[rstest]
#[case::tasks(Case { step: step(4, 8_000, 1_000), percent: 50 })]
#[case::gang(Case { step: gang(), percent: 50 })]
#[case::long_running(Case { step: long_running(), percent: 50 })]
#[case::nothing_left(Case { step: step(4, 8_000, 1_000), percent: 0 })]
fn planned_starts_fit_the_capacity_when_they_are_sent(#[case] case: Case) {
    let mut simulation = simulation(2);
    stop_enforcing(&mut simulation);
    simulation.store_available = false;
    simulation.submit("a", spec(vec![case.step]));
    simulation.run_for(SECOND);
    resize_all(&mut simulation, capacity(case.percent));
    simulation.run_for(SECOND);
    simulation.store_available = true;
    simulation.run_for(SECOND);
    assert_eq!(simulation.overloads(), 0);
    resize_all(&mut simulation, CAPACITY);
    simulation.run_for(2 * SECOND);
    assert_eq!(simulation.observed.starts.len(), 4, "every task starts");
}

/// Guards against a gang of which only some members start, as the endpoint of another one has
/// shrunk.
#[test]
fn gang_of_which_one_member_no_longer_fits_waits_as_a_whole() {
    let mut simulation = simulation(2);
    stop_enforcing(&mut simulation);
    simulation.store_available = false;
    let step = Step {
        gang: true,
        ..step(2, 20_000, 1_000)
    };
    let id = simulation.submit("a", spec(vec![step]));
    simulation.run_for(SECOND);
    let shrunk = endpoint_ids(&simulation).remove(0);
    simulation.resize(&shrunk, capacity(25));
    simulation.publish(&shrunk);
    simulation.store_available = true;
    simulation.run_for(SECOND);
    assert_eq!(simulation.observed.starts.len(), 0);
    simulation.resize(&shrunk, CAPACITY);
    simulation.publish(&shrunk);
    assert!(simulation.run_until_finished(&id, 3 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
}

/// Guards against starts on an endpoint that runs more than its shrunk capacity, and against
/// runs that are given up for it.
#[test]
fn endpoint_below_its_usage_gets_no_start_until_there_is_room() {
    let mut simulation = simulation(1);
    stop_enforcing(&mut simulation);
    let lasting = simulation.submit("a", spec(vec![long_running()]));
    simulation.run_for(SECOND);
    assert_eq!(used(&simulation), 32_000);
    resize_all(&mut simulation, capacity(50));
    let id = simulation.submit("a", spec(vec![step(1, 8_000, 500)]));
    simulation.run_for(3 * SECOND);
    assert_eq!(used(&simulation), 32_000, "what runs goes on");
    assert_eq!(simulation.state(&id), State::Queued);
    resize_all(&mut simulation, capacity(125));
    assert!(simulation.run_until_finished(&id, 3 * SECOND));
    assert_eq!(simulation.state(&lasting), State::Running);
    assert_eq!(simulation.overloads(), 0);
}

/// Guards against a pool that counts as large enough by what its hosts once provided.
#[test]
fn pool_of_shrunk_endpoints_gets_further_hosts() {
    let mut simulation = simulation_with_spare(2, 4);
    stop_enforcing(&mut simulation);
    resize_all(&mut simulation, capacity(25));
    for _ in 0..6 {
        simulation.submit("a", spec(vec![step(4, 7_000, 1_500)]));
    }
    simulation.run_for(3 * SECOND);
    assert!(
        simulation.observed.moves.len() >= 3,
        "{} hosts were moved",
        simulation.observed.moves.len()
    );
    assert_eq!(simulation.overloads(), 0);
}

/// Guards against starts by the capacity of before an outage of the store, in which an endpoint
/// can't tell that it has shrunk.
#[test]
fn endpoints_that_start_anything_wait_for_a_fresh_registration_after_an_outage() {
    let mut configuration = configuration(&["a"]);
    configuration.pools[0].accepts_overload = true;
    let mut simulation = Simulation::new(configuration);
    simulation.add_hosts("a", 2);
    stop_enforcing(&mut simulation);
    for id in endpoint_ids(&simulation) {
        simulation.publish(&id);
    }
    simulation.run_for(SECOND);
    simulation.store_available = false;
    for id in endpoint_ids(&simulation) {
        simulation.resize(&id, capacity(50));
    }
    simulation.submit("a", spec(vec![step(8, 8_000, 1_000)]));
    simulation.run_for(6 * SECOND);
    simulation.store_available = true;
    simulation.run_for(SECOND);
    assert_eq!(simulation.overloads(), 0, "before the next heartbeat");
    for id in endpoint_ids(&simulation) {
        simulation.publish(&id);
    }
    simulation.run_for(SECOND);
    assert_eq!(
        simulation.observed.starts.len(),
        4,
        "after the next heartbeat"
    );
    assert_eq!(simulation.overloads(), 0);
}

/// Guards against starts on an endpoint whose registration no longer says what capacity it
/// has.
#[test]
fn endpoint_with_an_unreadable_registration_gets_no_start() {
    let mut simulation = simulation(1);
    simulation.submit("a", spec(vec![step(1, 1_000, 10_000)]));
    simulation.run_for(SECOND);
    let id = endpoint_ids(&simulation).remove(0);
    simulation
        .scheduler
        .suspend_registration(simulation.now, &id);
    let job = simulation.submit("a", spec(vec![step(1, 1_000, 500)]));
    simulation.run_for(5 * SECOND);
    assert_eq!(simulation.observed.starts.len(), 1);
    assert_eq!(simulation.active_run_count(), 1, "what runs goes on");
    simulation.publish(&id);
    assert!(simulation.run_until_finished(&job, 2 * SECOND));
}

/// Guards against a change of capacity that no log shows: each one is recorded, with both values
/// and the amount in use, and a registration that changes nothing isn't.
#[test]
fn change_of_capacity_is_recorded_once() {
    let mut simulation = simulation(1);
    simulation.submit("a", spec(vec![step(2, 8_000, 5_000)]));
    simulation.run_for(SECOND);
    simulation.scheduler.take_events();
    for percent in [55, 55, 100] {
        resize_all(&mut simulation, capacity(percent));
    }
    let events = simulation.scheduler.take_events();
    let changes: Vec<_> = events
        .into_iter()
        .filter_map(|event| match event {
            SchedulerEvent::EndpointResized {
                earlier,
                capacity,
                used,
                ..
            } => Some((earlier, capacity, used.cpu)),
            _ => None,
        })
        .collect();
    let (full, shrunk) = (capacity(100), capacity(55));
    assert_eq!(changes, [(full, shrunk, 16_000), (shrunk, full, 16_000)]);
}

/// Load pattern: a quarter of the endpoints shrink to about half, and a burst arrives. Guards
/// against starts beyond what they have left, and against a burst that waits although the other
/// endpoints have room, also if the leader is lost meanwhile.
#[rstest]
#[case::leader_stays(false)]
#[case::leader_lost(true)]
fn burst_beside_shrunk_endpoints_starts_where_there_is_room(#[case] leader_lost: bool) {
    let mut simulation = simulation(8);
    stop_enforcing(&mut simulation);
    let mut jobs = Vec::new();
    let mut submit = |simulation: &mut Simulation, count| {
        for _ in 0..count {
            jobs.push(simulation.submit("a", spec(vec![step(4, 2_000, 1_000)])));
        }
    };
    submit(&mut simulation, 16);
    simulation.run_for(2 * SECOND);
    for id in endpoint_ids(&simulation).iter().take(2) {
        simulation.resize(id, capacity(55));
        simulation.publish(id);
    }
    submit(&mut simulation, 24);
    if leader_lost {
        simulation.run_for(SECOND / 20);
        simulation.elect_new_leader(false);
        for id in endpoint_ids(&simulation) {
            simulation.publish(&id);
        }
    }
    simulation.run_for(5 * SECOND);
    assert_eq!(simulation.overloads(), 0);
    for job in &jobs {
        assert_eq!(simulation.state(job), State::Completed, "{job}");
    }
}
