//! Jobs on a fleet with a virtual clock: order, failures, lost answers, new leaders.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::{
    Authority, Command, HoldOutcome, Rejection, RunReport, SaveOutcome, Wave,
    WaveProgress,
};
use rhubarbrill_core::job::{Resource, State, Step};
use rhubarbrill_core::time::Instant;
use rstest::rstest;

mod job_support;

use job_support::{
    CAPACITY, Link, World, configuration, configuration_with_spare, spec, step,
};

const SECOND: Duration = Duration::from_secs(1);

fn world(hosts: usize) -> World {
    let mut world = World::new(configuration(&["a"]));
    world.add_hosts("a", hosts);
    world.pass(SECOND / 5);
    world
}

fn world_with_spare(hosts: usize, spare: usize) -> World {
    let mut world = World::new(configuration_with_spare(&["a"]));
    world.add_hosts("a", hosts);
    world.add_hosts("spare", spare);
    world.pass(SECOND / 5);
    world
}

fn starts_of<'a>(
    world: &'a World,
    task: &str,
) -> Vec<&'a (Instant, String, u64, String)> {
    world
        .seen
        .starts
        .iter()
        .filter(|start| start.1 == task)
        .collect()
}

#[test]
fn steps_run_in_order() {
    let mut world = world(2);
    let mut second = step(2, 1_000, 500);
    second.after = vec![0];
    let id = world.submit("a", spec(vec![step(3, 1_000, 1_000), second]));
    assert!(world.pass_until_over(&id, 3 * SECOND));
    assert_eq!(world.state(&id), State::Completed);
    let first: Vec<Instant> = (0..3)
        .map(|i| starts_of(&world, &format!("{id}.0.0.{i}"))[0].0)
        .collect();
    let after = starts_of(&world, &format!("{id}.0.1.0"))[0].0;
    assert!(first.iter().all(|&at| at + SECOND <= after));
}

/// What is done to the endpoints while a job runs, and how the job ends.
struct Trouble {
    link: Link,
    fails: bool,
    state: State,
}

#[rstest]
#[case::answers_lost(Trouble { link: Link::AnswersLost, fails: false, state: State::Completed })]
#[case::start_late(Trouble { link: Link::LateStarts(2_000), fails: false, state: State::Completed })]
#[case::start_very_late(Trouble { link: Link::LateStarts(12_000), fails: false, state: State::Completed })]
#[case::always_fails(Trouble { link: Link::Good, fails: true, state: State::Failed })]
fn a_job_ends_whatever_becomes_of_orders(#[case] trouble: Trouble) {
    let mut world = world(2);
    for endpoint in world.endpoints.values_mut() {
        endpoint.link = trouble.link;
        endpoint.fails = trouble.fails;
    }
    let id = world.submit("a", spec(vec![step(4, 1_000, 800)]));
    world.pass(3 * SECOND);
    for endpoint in world.endpoints.values_mut() {
        endpoint.link = Link::Good;
    }
    assert!(world.pass_until_over(&id, 20 * SECOND));
    assert_eq!(world.state(&id), trouble.state);
    // Late starts that were stopped meanwhile come to nothing.
    world.pass(15 * SECOND);
    assert_eq!(world.live(), 0);
}

#[test]
fn a_lost_endpoint_keeps_its_tasks_until_its_lease_is_over() {
    let mut world = world(2);
    let id = world.submit("a", spec(vec![step(1, 1_000, 60_000)]));
    world.pass(SECOND);
    let task = format!("{id}.0.0.0");
    let place = world.places(&task).remove(0);
    world.endpoints.get_mut(&place).expect("it exists").link = Link::Cut;
    let cut = world.now;
    world.pass(4 * SECOND);
    assert_eq!(starts_of(&world, &task).len(), 1, "its lease still runs");
    world.pass(6 * SECOND);
    let starts = starts_of(&world, &task);
    assert_eq!(starts.len(), 2, "its lease is over");
    assert!(starts[1].0 < cut + 8 * SECOND);
    assert!(starts[1].2 > starts[0].2, "run numbers rise");
}

#[rstest]
#[case::still_registered(false)]
#[case::registration_lapsed(true)]
fn a_new_leader_waits_for_endpoints_that_it_cannot_reach(#[case] unlisted: bool) {
    let mut world = world(2);
    let id = world.submit("a", spec(vec![step(1, 1_000, 60_000)]));
    world.pass(SECOND);
    let task = format!("{id}.0.0.0");
    let place = world.places(&task).remove(0);
    world.endpoints.get_mut(&place).expect("it exists").link = Link::Cut;
    world.elect(unlisted);
    world.pass(SECOND);
    if !unlisted {
        // The registration lapses while the new leader looks for the endpoint.
        world.scheduler.set_endpoint_unregistered(world.now, &place);
    }
    // The world's own check finds a second run at once.
    world.pass(5 * SECOND);
    world.pass(15 * SECOND);
    assert_eq!(
        starts_of(&world, &task).len(),
        2,
        "it starts again in the end"
    );
}

#[test]
fn a_new_leader_takes_over_what_runs() {
    let mut world = world(2);
    let id = world.submit("a", spec(vec![step(4, 1_000, 2_000)]));
    world.pass(SECOND);
    world.elect(false);
    assert!(world.pass_until_over(&id, 3 * SECOND));
    assert_eq!(world.seen.starts.len(), 4, "nothing was started twice");
}

#[test]
fn another_life_of_an_endpoint_has_none_of_its_runs() {
    let mut world = world(1);
    let id = world.submit("a", spec(vec![step(1, 1_000, 1_000)]));
    world.pass(SECOND / 2);
    let host = world.endpoints.values().next().expect("one").host.clone();
    let old = world.endpoints.keys().next().expect("one").clone();
    let mut crashed = world.endpoints.remove(&old).expect("it exists");
    crashed.report.born += 100;
    let report = crashed.report.clone();
    let mut fresh = World::new(configuration(&["a"]));
    fresh.add_hosts("a", 1);
    let mut endpoint = fresh.endpoints.values().next().expect("one").clone();
    endpoint.report = report.clone();
    endpoint.host = host;
    world.endpoints.insert(old, endpoint);
    world.scheduler.set_endpoint(world.now, report);
    assert!(world.pass_until_over(&id, 3 * SECOND));
    assert_eq!(world.state(&id), State::Completed);
}

#[test]
fn a_cancelled_job_is_stopped() {
    let mut world = world(1);
    let id = world.submit("a", spec(vec![step(4, 1_000, 60_000)]));
    world.pass(SECOND);
    assert_eq!(world.live(), 4);
    world.scheduler.cancel_job(world.now, &id);
    world.pass(SECOND);
    assert_eq!(world.live(), 0);
    assert_eq!(world.state(&id), State::Cancelled);
    // The runs ended after the job was written as over.
    assert_eq!(world.seen.conflicts, 0);
}

#[test]
fn a_workspace_stays_within_its_limit() {
    let mut configuration = configuration(&["a"]);
    configuration.workspaces[0].limit = Resource {
        cpu: 5_000,
        memory_mb: 0,
        gpu: 0,
    };
    let mut world = World::new(configuration);
    world.add_hosts("a", 3);
    world.pass(SECOND / 5);
    for _ in 0..4 {
        world.submit("a", spec(vec![step(4, 1_000, 1_000)]));
    }
    for _ in 0..50 {
        world.pass(SECOND / 10);
        assert!(world.live() <= 5);
    }
    assert_eq!(world.seen.starts.len(), 16);
}

#[test]
fn tasks_keep_apart_where_their_step_says_so() {
    let mut world = world(4);
    let mut apart = step(4, 1_000, 2_000);
    apart.max_per_endpoint = 1;
    let id = world.submit("a", spec(vec![apart]));
    world.pass(SECOND);
    let mut places: Vec<String> = (0..4)
        .flat_map(|i| world.places(&format!("{id}.0.0.{i}")))
        .collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), 4);
}

#[rstest]
#[case::fits(2, 8)]
#[case::does_not_fit(1, 0)]
fn a_gang_starts_whole_or_not_at_all(#[case] hosts: usize, #[case] live: usize) {
    let mut world = world(hosts);
    let mut gang = step(8, CAPACITY.cpu / 4, 2_000);
    gang.gang = true;
    world.submit("a", spec(vec![gang]));
    world.pass(SECOND);
    assert_eq!(world.live(), live);
}

#[test]
fn tasks_fill_few_endpoints() {
    let mut world = world(6);
    world.submit("a", spec(vec![step(8, 3_000, 2_000)]));
    world.pass(SECOND);
    let busy = world
        .endpoints
        .keys()
        .filter(|id| world.seen.starts.iter().any(|start| &start.3 == *id));
    assert_eq!(busy.count(), 1);
}

#[test]
fn nothing_is_forgotten_while_the_store_is_away() {
    let mut world = world(1);
    let id = world.submit("a", spec(vec![step(2, 1_000, 500)]));
    world.pass(SECOND / 5);
    world.store_answers = false;
    world.pass(2 * SECOND);
    world.store_answers = true;
    world.elect(false);
    assert!(world.pass_until_over(&id, 2 * SECOND));
    assert_eq!(
        world.seen.starts.len(),
        2,
        "the ends were still there to be read"
    );
}

#[test]
fn no_task_is_moved_while_another_of_its_step_is_cut_off() {
    let mut world = world(5);
    let mut lasting = step(2, 1_000, 0);
    lasting.long_running = true;
    lasting.max_per_endpoint = 1;
    lasting.max_unavailable = Some(1);
    let id = world.submit("a", spec(vec![lasting]));
    world.pass(2 * SECOND);
    let cut = world.places(&format!("{id}.0.0.0")).remove(0);
    let other = world.places(&format!("{id}.0.0.1")).remove(0);
    world.endpoints.get_mut(&cut).expect("it exists").link = Link::Cut;
    world.pass(SECOND);
    let host = world.endpoints[&other].host.clone();
    world
        .scheduler
        .add_wave(world.now, wave(vec![host], 1), WaveProgress::default());
    world.pass(3 * SECOND);
    assert_eq!(
        world.places(&format!("{id}.0.0.1")),
        [other],
        "one is away already"
    );
}

#[test]
fn a_pool_whose_only_host_is_emptied_gets_another() {
    let mut world = world_with_spare(1, 2);
    let mut lasting = step(4, 1_000, 0);
    lasting.long_running = true;
    lasting.max_unavailable = Some(1);
    let id = world.submit("a", spec(vec![lasting]));
    world.pass(2 * SECOND);
    let place = world.places(&format!("{id}.0.0.0")).remove(0);
    let host = world.endpoints[&place].host.clone();
    world
        .scheduler
        .add_wave(world.now, wave(vec![host], 1), WaveProgress::default());
    world.pass(20 * SECOND);
    assert_eq!(world.live(), 4, "all tasks are at work again");
    assert_eq!(
        world.seen.maintained.len(),
        1,
        "and the host had its maintenance"
    );
}

fn wave(hosts: Vec<String>, max_at_once: usize) -> Wave {
    Wave {
        number: 1,
        hosts,
        duration: 20 * SECOND,
        max_at_once,
    }
}

#[test]
fn a_new_leader_waits_for_no_endpoint_whose_host_has_moved_away() {
    let mut world = world_with_spare(3, 1);
    let id = world.submit("a", spec(vec![step(1, 1_000, 12_000)]));
    // The idle hosts leave the pool meanwhile.
    world.pass(6 * SECOND);
    assert!(!world.seen.moves.is_empty());
    let mut second = step(1, 1_000, 500);
    second.after = vec![0];
    let chain = world.submit("a", spec(vec![step(1, 1_000, 500), second]));
    world.pass(SECOND / 4);
    world.elect(false);
    assert!(
        world.pass_until_over(&chain, 2 * SECOND),
        "its next step waits for nothing"
    );
    assert!(world.pass_until_over(&id, 8 * SECOND));
}

#[test]
fn a_new_leader_goes_on_with_tasks_that_no_cut_concerns() {
    let mut world = world(2);
    let cut = world.submit("a", spec(vec![step(1, 20_000, 60_000)]));
    world.pass(SECOND / 2);
    let place = world.places(&format!("{cut}.0.0.0")).remove(0);
    let mut second = step(1, 20_000, 500);
    second.after = vec![0];
    let other = world.submit("a", spec(vec![step(1, 20_000, 500), second]));
    world.pass(SECOND / 4);
    world.endpoints.get_mut(&place).expect("it exists").link = Link::Cut;
    world.elect(false);
    assert!(world.pass_until_over(&other, 2 * SECOND));
}

#[test]
fn a_pool_keeps_a_host_for_the_next_job() {
    let mut world = world_with_spare(4, 0);
    world.pass(10 * SECOND);
    let left = world.hosts.values().filter(|host| host.pool == "a").count();
    assert_eq!(left, 1);
}

#[test]
fn no_host_is_fetched_from_a_zone_that_is_cut_off() {
    let mut world = world_with_spare(3, 6);
    let cut = world.hosts["m0"].zone.clone();
    // Each endpoint is busy, so that each is asked and the cut shows.
    let mut one_each = step(3, 20_000, 60_000);
    one_each.max_per_endpoint = 1;
    world.submit("a", spec(vec![one_each]));
    world.pass(SECOND);
    for endpoint in world.endpoints.values_mut() {
        if endpoint.report.zone == cut {
            endpoint.link = Link::Cut;
        }
    }
    world.pass(SECOND);
    world.seen.moves.clear();
    world.submit("a", spec(vec![step(12, 16_000, 1_000)]));
    world.pass(SECOND);
    let fetched: Vec<&String> = world.seen.moves.iter().map(|moved| &moved.1).collect();
    assert!(!fetched.is_empty());
    assert!(fetched.iter().all(|host| world.hosts[*host].zone != cut));
}

#[test]
fn a_pool_grows_little_for_work_that_is_late_anyway() {
    let mut world = world_with_spare(1, 12);
    let mut late = spec(vec![step(24, 16_000, 1_000)]);
    late.steps[0].estimate_ms = 1_000;
    let id = world.submit_at("a", late, 10_000);
    // A job of an earlier term is as old as it says.
    world.elect(false);
    world.pass(SECOND / 2);
    assert!(
        world.seen.moves.len() <= 3,
        "a quarter of twelve hosts' worth"
    );
    assert!(
        world.pass_until_over(&id, 20 * SECOND),
        "and it is done in the end"
    );
}

#[test]
fn a_task_on_an_endpoint_that_stands_still_moves_on() {
    let mut world = world(3);
    let usual = world.submit("a", spec(vec![step(8, 1_000, 1_000)]));
    assert!(world.pass_until_over(&usual, 2 * SECOND));
    let place = world.seen.starts[0].3.clone();
    world.endpoints.get_mut(&place).expect("it exists").slowness = 60;
    let id = world.submit("a", spec(vec![step(2, 1_000, 1_000)]));
    assert!(world.pass_until_over(&id, 5 * SECOND), "not after a minute");
    assert_eq!(world.state(&id), State::Completed);
    // Twice as long as estimated is no reason to start again.
    for endpoint in world.endpoints.values_mut() {
        endpoint.slowness = 2;
    }
    let before = world.seen.starts.len();
    let slow = world.submit("a", spec(vec![step(4, 1_000, 1_000)]));
    assert!(world.pass_until_over(&slow, 4 * SECOND));
    assert_eq!(world.seen.starts.len(), before + 4);
}

#[test]
fn a_clock_that_differs_makes_no_new_job_late() {
    let mut world = world_with_spare(1, 12);
    world.submit_at("a", spec(vec![step(24, 16_000, 1_000)]), 10_000);
    world.pass(SECOND / 2);
    assert_eq!(
        world.seen.moves.len(),
        12,
        "it can be in time with every host"
    );
}

#[test]
fn finished_jobs_are_kept_for_their_time_and_then_removed() {
    let mut world = world(1);
    let id = world.submit("a", spec(vec![step(1, 1_000, 100)]));
    assert!(world.pass_until_over(&id, 2 * SECOND));
    world.pass(140 * SECOND);
    assert!(world.records.contains_key(&id), "it can still be asked for");
    world.pass(15 * SECOND);
    assert!(world.records.is_empty());
}

#[test]
fn an_estimate_that_is_far_off_moves_no_task() {
    let mut world = world(3);
    for endpoint in world.endpoints.values_mut() {
        endpoint.slowness = 8;
    }
    for _ in 0..4 {
        let id = world.submit("a", spec(vec![step(6, 1_000, 200)]));
        assert!(world.pass_until_over(&id, 3 * SECOND));
    }
    assert_eq!(world.seen.starts.len(), 24);
}

#[test]
fn a_new_leader_learns_no_run_time_from_what_it_took_over() {
    let mut world = world(3);
    for endpoint in world.endpoints.values_mut() {
        endpoint.slowness = 8;
    }
    let before = world.submit("a", spec(vec![step(10, 1_000, 200)]));
    world.pass(3 * SECOND / 2);
    world.elect(false);
    assert!(world.pass_until_over(&before, SECOND));
    let after = world.submit("a", spec(vec![step(10, 1_000, 200)]));
    assert!(world.pass_until_over(&after, 3 * SECOND));
    assert_eq!(world.seen.starts.len(), 20);
}

#[rstest]
#[case::no_permission(Rejection::NoPermission)]
#[case::malformed(Rejection::Malformed)]
fn starts_that_any_endpoint_rejects_are_not_tried_without_pause(
    #[case] rejection: Rejection,
) {
    let mut world = world(2);
    for endpoint in world.endpoints.values_mut() {
        endpoint.rejects = Some(rejection);
    }
    world.submit("a", spec(vec![step(2, 1_000, 500)]));
    world.pass(5 * SECOND);
    assert!(world.seen.rejections <= 2 * 5, "{}", world.seen.rejections);
}

/// Load: a burst comes right after idle hosts left, while their endpoints are registered.
#[test]
fn nothing_is_given_to_endpoints_whose_hosts_were_taken_away() {
    let mut world = world_with_spare(6, 1);
    let moved = |world: &World| world.seen.moves.len();
    while moved(&world) < 5 {
        world.pass(SECOND / 10);
    }
    world.pass(SECOND / 2);
    let id = world.submit("a", spec(vec![step(60, 2_000, 800)]));
    assert!(world.pass_until_over(&id, 8 * SECOND));
    assert_eq!(world.seen.starts_at_nothing, 0);
}

/// Load: a wave over half of a pool in which every host is at work for long.
#[test]
fn a_wave_over_busy_hosts_is_done_in_time() {
    let mut world = world(16);
    let lasting = Step {
        long_running: true,
        max_unavailable: Some(2),
        max_per_endpoint: 1,
        ..step(8, 4_000, 0)
    };
    world.submit("a", spec(vec![lasting]));
    for _ in 0..60 {
        world.submit("a", spec(vec![step(16, 2_000, 4_000)]));
    }
    world.pass(SECOND);
    let hosts: Vec<String> = world.hosts.keys().take(8).cloned().collect();
    let mut whole = wave(hosts, 6);
    whole.duration = 10 * SECOND;
    let progress = WaveProgress::default();
    world.scheduler.add_wave(world.now, whole, progress);
    world.pass(10 * SECOND);
    assert_eq!(world.seen.maintained.len(), 8);
    assert!(world.seen.most_in_maintenance <= 6);
}

/// A hold that waits at an endpoint may reach its next life, and lets that forget ends.
#[test]
fn nothing_runs_on_a_new_life_while_a_hold_for_the_last_one_is_on_its_way() {
    let mut world = world(1);
    world.submit("a", spec(vec![step(1, 2_000, 20_000)]));
    world.pass(SECOND);
    let mut now = world.now;
    let poll = |now: Instant, world: &mut World| {
        let wall = world.wall();
        world.scheduler.poll(now, wall, Authority::Certain)
    };
    let sent = loop {
        now = now + SECOND / 100;
        let commands = poll(now, &mut world);
        if commands
            .iter()
            .any(|command| matches!(command, Command::Hold(_)))
        {
            break now;
        }
    };
    let mut report = world.endpoints["e1"].report.clone();
    report.born += 1;
    world.scheduler.set_endpoint(now, report.clone());
    let mut started_at = None;
    while started_at.is_none() && now < sent + 5 * SECOND {
        now = now + SECOND / 100;
        for command in poll(now, &mut world) {
            match command {
                Command::Hold(order) => {
                    let reply = RunReport {
                        born: Some(report.born),
                        clock_ms: 0,
                        running: Vec::new(),
                        ended: Vec::new(),
                    };
                    let held = HoldOutcome::Reported(reply);
                    world.scheduler.handle_hold_outcome(
                        now,
                        order.endpoint,
                        order.sent,
                        held,
                    );
                }
                Command::Save(saves) => {
                    world.scheduler.handle_save_outcome(
                        now,
                        &saves,
                        &SaveOutcome::Saved(1_000),
                    );
                }
                Command::Start(_) => started_at = Some(now),
                _ => {}
            }
        }
    }
    let after = started_at.map(|at| at.saturating_since(sent));
    assert!(after.is_some_and(|after| after >= 2 * SECOND), "{after:?}");
}

/// Load: a burst comes to a new leader right after idle hosts left their pool.
#[test]
fn a_new_leader_fetches_hosts_while_old_registrations_linger() {
    let mut world = world_with_spare(9, 3);
    while world.seen.moves.len() < 8 {
        world.pass(SECOND / 20);
    }
    world.elect(false);
    world.submit("a", spec(vec![step(64, 2_000, 1_500)]));
    let began = world.now;
    world.pass(SECOND);
    let fetched = world.seen.moves.iter().filter(|(_, _, pool)| pool == "a");
    assert!(
        fetched.count() >= 3,
        "within {:?}",
        world.now.saturating_since(began)
    );
}
