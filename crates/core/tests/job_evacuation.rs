//! Evacuation of zones: nothing starts in them, long-running tasks move out with their
//! checkpoints, and their hosts stay where they are.

use std::collections::BTreeSet;
use std::time::Duration;

use rhubarbrill_core::job::Step;
use rhubarbrill_core::job::scheduler::{EvacuationProgress, Rejection, SchedulerEvent};
use rstest::rstest;

mod job_support;

use job_support::{
    CAPACITY, Link, Simulation, TICK, simulation, simulation_with_spare, spec, step,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a step of long-running tasks on separate endpoints.
fn spread_step(count: u32, max_unavailable: Option<u32>) -> Step {
    Step {
        long_running: true,
        max_per_endpoint: 1,
        max_unavailable,
        ..step(count, 1_000, 0)
    }
}

/// Submits a job of 0.5 s tasks that each take half of a host, three for every host.
fn submit_batch(simulation: &mut Simulation) -> String {
    let hosts = u32::try_from(simulation.hosts.len()).expect("there are few hosts");
    simulation.submit("a", spec(vec![step(3 * hosts, CAPACITY.cpu / 2, 500)]))
}

/// Returns the identities of the endpoints in a zone.
fn endpoints_in(simulation: &Simulation, zone: &str) -> BTreeSet<String> {
    let endpoints = simulation.endpoints.iter();
    endpoints
        .filter(|(_, endpoint)| endpoint.report.zone == zone)
        .map(|(id, _)| id.clone())
        .collect()
}

/// Returns the number of runs that are active in a zone.
fn active_in(simulation: &Simulation, zone: &str) -> usize {
    let endpoints = simulation.endpoints.values();
    let in_zone = endpoints.filter(|endpoint| endpoint.report.zone == zone);
    in_zone.map(|endpoint| endpoint.active_runs.len()).sum()
}

fn set_start_rejection(simulation: &mut Simulation, rejection: Option<Rejection>) {
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.start_rejection = rejection;
    }
}

/// Returns the number of starts in a zone, of those with this index and later ones.
fn starts_in(simulation: &Simulation, zone: &str, from: usize) -> usize {
    let ids = endpoints_in(simulation, zone);
    let starts = simulation.observed.starts[from..].iter();
    starts.filter(|(_, _, _, id)| ids.contains(id)).count()
}

/// Nothing starts in evacuated zones from the first poll after the request on, neither
/// waiting tasks nor those that were assigned there while the store didn't respond; all
/// other zones are used.
#[rstest]
#[case::one_zone(&["z0"], &["z1", "z2"])]
#[case::two_zones(&["z0", "z2"], &["z1"])]
#[case::unknown_zone(&["z9"], &["z0", "z1", "z2"])]
fn nothing_starts_in_evacuated_zones(
    #[case] evacuated: &[&str],
    #[case] used: &[&str],
    #[values(true, false)] store_available: bool,
) {
    let mut simulation = simulation(9);
    simulation.store_available = store_available;
    let batch = submit_batch(&mut simulation);
    simulation.run_for(SECOND / 5);
    let from = simulation.observed.starts.len();
    simulation.evacuate(evacuated);
    simulation.store_available = true;
    assert!(simulation.run_until_finished(&batch, 20 * SECOND));
    for zone in evacuated {
        assert_eq!(starts_in(&simulation, zone, from), 0, "{zone}");
    }
    for zone in used {
        assert!(starts_in(&simulation, zone, from) > 0, "{zone}");
    }
}

/// Tasks that end on their own finish in their first run.
#[test]
fn short_tasks_finish_in_an_evacuated_zone() {
    let mut simulation = simulation(3);
    let id = simulation.submit("a", spec(vec![step(6, CAPACITY.cpu / 2, 2_000)]));
    simulation.run_for(SECOND / 2);
    assert_eq!(active_in(&simulation, "z1"), 2);
    simulation.evacuate(&["z1"]);
    assert!(simulation.run_until_finished(&id, 4 * SECOND));
    assert_eq!(simulation.observed.starts.len(), 6, "each task ran once");
}

/// The fault would be a step with fewer tasks in service than it permits, or one that
/// loses its saved work.
#[rstest]
#[case::one_at_a_time(Some(1), 1)]
#[case::two_at_a_time(Some(2), 2)]
#[case::no_limit(None, 1)]
#[case::none_may_stop(Some(0), 0)]
fn long_running_tasks_move_with_their_checkpoints(
    #[case] max_unavailable: Option<u32>,
    #[case] most: usize,
) {
    let mut simulation = simulation(18);
    let id = simulation.submit("a", spec(vec![spread_step(9, max_unavailable)]));
    simulation.run_for(2 * SECOND);
    for endpoint in simulation.endpoints.values_mut() {
        endpoint.checkpoint = "saved".to_owned();
    }
    let tasks = active_in(&simulation, "z0");
    assert!(tasks >= 3, "tasks are spread over the zones");
    simulation.evacuate(&["z0"]);
    // For a second, no endpoint accepts a task that was stopped.
    set_start_rejection(&mut simulation, Some(Rejection::NoCapacity));
    let (mut before, mut out_of_service) = (9, 0);
    for tick in 0..1_000 {
        if tick == 100 {
            set_start_rejection(&mut simulation, None);
        }
        simulation.run_for(SECOND / 100);
        let running = simulation.active_run_count();
        assert!(
            running + 1 >= before,
            "more than one task was stopped at once"
        );
        (before, out_of_service) = (running, out_of_service.max(9 - running));
    }
    assert_eq!(out_of_service, most, "tasks out of service at once");
    let left = if max_unavailable == Some(0) { tasks } else { 0 };
    assert_eq!(active_in(&simulation, "z0"), left);
    assert_eq!(simulation.active_run_count(), 9);
    let resumed = simulation.observed.resumed_from.iter();
    let moved = resumed.filter(|(task, from)| task.starts_with(&id) && *from == "saved");
    assert_eq!(moved.count(), tasks - left);
}

/// The fault would be a step without `max_unavailable` that loses a task although all other
/// endpoints are full.
#[test]
fn task_without_limit_stays_until_there_is_room() {
    let mut simulation = simulation(3);
    let long_running = Step {
        long_running: true,
        ..step(1, CAPACITY.cpu, 0)
    };
    simulation.submit("a", spec(vec![long_running]));
    simulation.run_for(SECOND);
    let endpoints = simulation.endpoints.iter();
    let zone = endpoints
        .filter(|(_, endpoint)| !endpoint.active_runs.is_empty())
        .map(|(_, endpoint)| endpoint.report.zone.clone())
        .next()
        .expect("the task runs");
    let batch = simulation.submit("a", spec(vec![step(2, CAPACITY.cpu, 3_000)]));
    simulation.run_for(SECOND / 2);
    simulation.evacuate(&[&zone]);
    simulation.run_for(SECOND);
    assert_eq!(active_in(&simulation, &zone), 1);
    assert!(simulation.run_until_finished(&batch, 5 * SECOND));
    simulation.run_for(SECOND);
    assert_eq!(active_in(&simulation, &zone), 0);
    assert_eq!(simulation.active_run_count(), 1);
}

/// A start without an answer may arrive seconds later; it is rejected then.
#[test]
fn start_that_arrives_late_is_withdrawn() {
    let mut simulation = simulation(3);
    let late: Vec<String> = endpoints_in(&simulation, "z0").into_iter().collect();
    for id in &late {
        let endpoint = simulation.endpoints.get_mut(id).expect("it was listed");
        endpoint.link = Link::DelayedStarts(3_000);
    }
    let id = simulation.submit("a", spec(vec![step(6, CAPACITY.cpu / 2, 500)]));
    simulation.run_for(SECOND / 20);
    simulation.evacuate(&["z0"]);
    assert!(simulation.run_until_finished(&id, 15 * SECOND));
    assert_eq!(starts_in(&simulation, "z0", 0), 0);
}

/// A pool that loses a zone's hosts grows by hosts of other zones only.
#[test]
fn hosts_of_the_zone_stay() {
    let mut simulation = simulation_with_spare(3, 6);
    simulation.evacuate(&["z1"]);
    for _ in 0..4 {
        simulation.submit("a", spec(vec![step(12, CAPACITY.cpu / 2, 1_000)]));
    }
    simulation.run_for(6 * SECOND);
    let moves = &simulation.observed.moves;
    assert!(moves.iter().any(|(_, _, to)| to == "a"), "the pool grows");
    let of_zone = |host: &str| simulation.hosts[host].zone == "z1";
    assert!(moves.iter().all(|(_, host, _)| !of_zone(host)), "{moves:?}");
}

/// The fault would be pools that share capacity which nothing may start on.
#[test]
fn hosts_of_the_zone_are_not_shared_between_pools() {
    let mut simulation = simulation_with_spare(6, 3);
    simulation.evacuate(&["z0"]);
    simulation.submit("a", spec(vec![step(40, CAPACITY.cpu, 4_000)]));
    simulation.run_for(SECOND / 2);
    let events = simulation.scheduler.take_events();
    let held = events.iter().find_map(|event| match event {
        SchedulerEvent::FleetShortage { held, .. } => Some(held.cpu),
        _ => None,
    });
    assert_eq!(held, Some(6 * CAPACITY.cpu));
}

/// The fault would be a zone that stays unused after its return, because its hosts left
/// or its endpoints remain closed. The first poll after the return must place tasks in it,
/// and the next one must start them, as their assignment is saved in between.
#[test]
fn returned_zone_is_used_at_once() {
    let mut simulation = simulation_with_spare(9, 0);
    simulation.evacuate(&["z0"]);
    simulation.run_for(3 * SECOND);
    for _ in 0..4 {
        submit_batch(&mut simulation);
    }
    simulation.run_for(SECOND / 5);
    let from = simulation.observed.starts.len();
    simulation.scheduler.take_events();
    simulation.evacuate(&[]);
    simulation.run_for(TICK);
    let in_zone = endpoints_in(&simulation, "z0");
    let events = simulation.scheduler.take_events();
    assert!(events.iter().any(|event| matches!(
        event,
        SchedulerEvent::Placed { endpoint, .. } if in_zone.contains(endpoint)
    )));
    simulation.run_for(TICK);
    assert!(starts_in(&simulation, "z0", from) > 0);
}

/// With every zone evacuated nothing starts, long-running tasks continue where they are,
/// and a warning is logged once; jobs start after the return of one zone.
#[test]
fn jobs_wait_while_every_zone_is_evacuated() {
    let mut simulation = simulation(6);
    simulation.submit("a", spec(vec![spread_step(3, Some(1))]));
    simulation.run_for(2 * SECOND);
    simulation.evacuate(&["z0", "z1", "z2"]);
    let batch = submit_batch(&mut simulation);
    let from = simulation.observed.starts.len();
    simulation.run_for(5 * SECOND);
    assert_eq!(simulation.observed.starts.len(), from);
    assert_eq!(simulation.active_run_count(), 3);
    assert!(simulation.scheduler.is_every_zone_evacuated());
    let events = simulation.scheduler.take_events();
    let warning = SchedulerEvent::EveryZoneEvacuated { zones: 3 };
    assert_eq!(events.iter().filter(|event| **event == warning).count(), 1);
    simulation.evacuate(&["z0", "z1"]);
    assert!(simulation.run_until_finished(&batch, 20 * SECOND));
    assert!(!simulation.scheduler.is_every_zone_evacuated());
}

/// A new leader continues the evacuation before its first start.
#[test]
fn evacuation_survives_a_change_of_leader() {
    let mut simulation = simulation(9);
    submit_batch(&mut simulation);
    simulation.run_for(SECOND / 5);
    simulation.evacuate(&["z0"]);
    let from = simulation.observed.starts.len();
    simulation.elect_new_leader(false);
    let batch = submit_batch(&mut simulation);
    assert!(simulation.run_until_finished(&batch, 20 * SECOND));
    assert_eq!(starts_in(&simulation, "z0", from), 0);
}

/// Operators are told what is left, at most once a second, and the report is removed with
/// the request. An unknown zone is logged and not reported on.
#[test]
fn progress_is_reported_until_the_request_is_withdrawn() {
    let mut simulation = simulation(9);
    simulation.submit("a", spec(vec![spread_step(9, Some(1))]));
    submit_batch(&mut simulation);
    simulation.run_for(SECOND / 4);
    simulation.evacuate(&["z0", "z9"]);
    simulation.run_for(8 * SECOND);
    let reports = simulation.observed.evacuations.clone();
    assert!(reports.iter().all(|(_, report)| report.zone == "z0"));
    let first = reports[0].1.progress.expect("there is progress");
    assert!(first.tasks > first.long_running && first.long_running == 3);
    let times: Vec<_> = reports.iter().map(|(at, _)| *at).collect();
    assert!(
        times
            .windows(2)
            .all(|at| at[1].saturating_since(at[0]) >= SECOND)
    );
    let last = reports[reports.len() - 1].1.progress;
    assert_eq!(
        last.map(EvacuationProgress::is_complete),
        Some(false),
        "every other endpoint has a task of the step already"
    );
    let events = simulation.scheduler.take_events();
    let unknown = |event: &&SchedulerEvent| matches!(event, SchedulerEvent::ZoneUnknown { zone } if zone == "z9");
    assert_eq!(events.iter().filter(unknown).count(), 1);
    simulation.evacuate(&[]);
    simulation.run_for(2 * SECOND);
    let removal = &simulation.observed.evacuations[reports.len()..];
    assert_eq!(removal.len(), 1);
    assert_eq!(removal[0].1.progress, None);
}

/// The fault would be an operator who waits in vain for a report on the second request, as
/// the progress is the same as in the last report on the first one.
#[test]
fn second_request_is_reported_on_after_a_quick_return() {
    let mut simulation = simulation(3);
    simulation.evacuate(&["z0"]);
    simulation.run_for(2 * SECOND);
    let reports = simulation.observed.evacuations.len();
    simulation.evacuate(&[]);
    simulation.evacuate(&["z0"]);
    simulation.run_for(2 * SECOND);
    let later = &simulation.observed.evacuations[reports..];
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].1.progress, Some(EvacuationProgress::default()));
}

/// The request was withdrawn while there was no leader. The fault would be a report that
/// stays for ever.
#[test]
fn report_of_an_earlier_leader_is_removed_with_the_request() {
    let mut simulation = simulation(3);
    simulation.scheduler.restore_evacuation_report("z0");
    simulation.store_available = false;
    simulation.run_for(SECOND);
    simulation.store_available = true;
    simulation.run_for(3 * SECOND);
    let reports = simulation.observed.evacuations.iter();
    let removals = reports.filter(|(_, report)| report.progress.is_none());
    assert_eq!(removals.count(), 2, "the first write failed");
}
