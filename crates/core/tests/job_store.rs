//! Writes of progress to a store that is slow or loses answers.

use std::collections::BTreeSet;
use std::time::Duration;

use rhubarbrill_core::job::State;
use rhubarbrill_core::job::scheduler::{Authority, Command, SaveOutcome};
use rhubarbrill_core::time::Instant;

mod job_support;

use job_support::{CAPACITY, Simulation, configuration, simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Jobs that arrive in the burst.
const JOBS: usize = 120;

/// Load pattern: a burst of 120 jobs in 0.4 s, while no write is answered. Each start waits
/// for a write, so writes that wait for one another hold up all of the burst.
#[test]
fn writes_without_answers_do_not_hold_up_the_starts_of_a_burst() {
    let mut simulation = Simulation::new(configuration(&["a"]));
    simulation.add_hosts("a", 20);
    simulation.run_for(SECOND / 5);
    let mut written = BTreeSet::new();
    for _ in 0..40 {
        for _ in 0..JOBS / 40 {
            simulation.submit("a", spec(vec![step(1, CAPACITY.cpu / 8, 1_000)]));
        }
        simulation.now = simulation.now + SECOND / 100;
        let (now, wall) = (simulation.now, simulation.wall_time());
        for command in simulation.scheduler.poll(now, wall, Authority::Certain) {
            if let Command::Save(saves) = command {
                written.extend(saves.into_iter().map(|save| save.id));
            }
        }
    }
    assert!(
        written.len() >= JOBS * 9 / 10,
        "{} of {JOBS} jobs were written",
        written.len()
    );
}

/// Load pattern: a write times out although it took effect. The write that follows finds
/// another revision and is made again with that one, and the task starts once.
#[test]
fn write_that_took_effect_without_an_answer_is_repeated_at_the_stored_revision() {
    let mut simulation = Simulation::new(configuration(&["a"]));
    simulation.add_hosts("a", 1);
    simulation.run_for(SECOND / 5);
    simulation.submit("a", spec(vec![step(1, 1_000, 1_000)]));
    let mut versions = Vec::new();
    for outcome in [
        SaveOutcome::Unknown,
        SaveOutcome::Conflict(Vec::new()),
        SaveOutcome::Saved(300),
    ] {
        simulation.now = simulation.now + SECOND / 10;
        let (now, wall) = (simulation.now, simulation.wall_time());
        for command in simulation.scheduler.poll(now, wall, Authority::Certain) {
            let Command::Save(saves) = command else {
                continue;
            };
            versions.push(saves[0].version);
            let outcome = match &outcome {
                SaveOutcome::Conflict(_) => {
                    SaveOutcome::Conflict(vec![(saves[0].job, 200)])
                }
                other => other.clone(),
            };
            simulation
                .scheduler
                .handle_save_outcome(now, &saves, &outcome);
        }
    }
    assert_eq!(versions, [0, 0, 200]);
    simulation.run_for(SECOND / 2);
    assert_eq!(simulation.observed.starts.len(), 1);
}

/// The last task of a job ends while the store is away, so that its end can't be saved. The
/// endpoint's registration lapses and comes back, and the endpoint reports the end again,
/// for a job that has no open task any more. The end must not be acknowledged, because the
/// next leader learns of it from the endpoint alone.
#[test]
fn end_reported_again_after_a_lapsed_registration_survives_a_change_of_leader() {
    let mut simulation = Simulation::new(configuration(&["a"]));
    simulation.add_hosts("a", 2);
    simulation.run_for(SECOND / 5);
    let id = simulation.submit("a", spec(vec![step(1, 1_000, 500)]));
    simulation.run_for(SECOND / 5);
    let endpoint_id = simulation
        .endpoints_running(&format!("{id}.0.0.0"))
        .remove(0);
    simulation.store_available = false;
    simulation.run_for(SECOND);
    let registration = simulation.endpoints[&endpoint_id].report.clone();
    simulation
        .scheduler
        .set_endpoint_unregistered(simulation.now, &endpoint_id);
    simulation
        .scheduler
        .set_endpoint(simulation.now, registration);
    simulation.run_for(SECOND);
    simulation.store_available = true;
    simulation.elect_new_leader(false);
    // The simulation fails the test if a task starts after it has completed.
    assert!(simulation.run_until_finished(&id, 3 * SECOND));
    assert_eq!(simulation.observed.starts.len(), 1);
}

/// Load pattern: 350 endpoints under constant load that keeps half of them busy, and an
/// outage of 4.9 s in which the registrations of all endpoints expire. They return 1.1 s
/// after the store. Guards against starts that wait for them or for pauses of the outage.
#[test]
fn starts_reach_the_full_rate_when_the_store_returns() {
    let mut simulation = simulation(350);
    let feed = |simulation: &mut Simulation, duration: Duration| {
        let end = simulation.now + duration;
        while simulation.now < end {
            for _ in 0..3 {
                simulation.submit("a", spec(vec![step(8, 4_000, 500)]));
            }
            simulation.run_for(SECOND / 100);
        }
    };
    feed(&mut simulation, SECOND);
    let steady = simulation.now;
    feed(&mut simulation, SECOND);
    simulation.store_available = false;
    simulation.run_for(SECOND * 11 / 10);
    simulation.authority = Authority::HoldOnly;
    simulation.run_for(SECOND * 38 / 10);
    let returned = simulation.now;
    simulation.store_available = true;
    simulation.authority = Authority::Certain;
    let reports: Vec<_> = simulation
        .endpoints
        .values()
        .map(|e| e.report.clone())
        .collect();
    for report in &reports {
        simulation
            .scheduler
            .expire_registration(returned, &report.id);
    }
    feed(&mut simulation, SECOND * 11 / 10);
    for report in &reports {
        simulation
            .scheduler
            .set_endpoint(simulation.now, report.clone());
    }
    feed(&mut simulation, SECOND);
    let count = |from: Instant, duration: Duration| {
        let starts = simulation.observed.starts.iter();
        starts
            .filter(|(at, ..)| *at >= from && *at < from + duration)
            .count()
    };
    assert!(
        count(returned, SECOND * 3 / 10) > 0,
        "nothing starts within 0.3 s"
    );
    let healthy = count(steady, SECOND / 2);
    let resumed = count(returned + SECOND / 2, SECOND / 2);
    assert!(resumed * 10 >= healthy * 9, "{resumed} starts of {healthy}");
}

/// A host disappears while it is idle, and its registration expires. Guards against starts
/// that are sent to it because it was reachable before.
#[test]
fn idle_endpoint_whose_registration_expired_must_reply_before_it_gets_work() {
    let mut simulation = simulation(2);
    let (id, _) = simulation.endpoints.pop_first().expect("there are two");
    simulation
        .scheduler
        .expire_registration(simulation.now, &id);
    simulation.submit("a", spec(vec![step(8, 4_000, 500)]));
    simulation.run_for(SECOND);
    assert_eq!(simulation.observed.starts.len(), 8);
    assert_eq!(simulation.observed.starts_at_removed_endpoints, 0);
}

/// Guards against a completed job that is shown as running: the first write of its progress got
/// no answer and is executed after its last one.
#[test]
fn first_write_that_is_executed_late_puts_nothing_back() {
    let mut simulation = simulation(1);
    simulation.delays_next_write = true;
    let job = simulation.submit("a", spec(vec![step(1, 1_000, 300)]));
    assert!(simulation.run_until_finished(&job, 3 * SECOND));
    simulation.execute_delayed_writes();
    assert_eq!(simulation.state(&job), State::Completed);
}
