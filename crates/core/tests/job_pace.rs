//! Tasks that take leftover processor time beside tasks whose users wait.

use std::time::Duration;

use rhubarbrill_core::job::Step;
use rstest::rstest;

mod job_support;

use job_support::{World, configuration, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Longest time for which a latency target may be missed through what runs beside the task.
const HARM_BOUND: Duration = Duration::from_secs(4);

/// Returns a step of one task that lasts and whose users bear a tail of `target_ms`.
fn serving(target_ms: u64) -> Step {
    Step {
        long_running: true,
        latency_target_ms: target_ms,
        ..step(1, 4_000, 0)
    }
}

/// Returns a step of `count` tasks that last and take leftover processor time.
fn filling(count: u32) -> Step {
    Step {
        long_running: true,
        best_effort: true,
        ..step(count, 4_000, 0)
    }
}

/// Returns a world with one endpoint on which `fills` tasks run beside one with users.
fn world(fills: u32, disturbance_ms: u64) -> World {
    let mut world = World::new(configuration(&["a"]));
    world.add_hosts("a", 1);
    world.pass(SECOND / 5);
    set_disturbance(&mut world, disturbance_ms);
    world.submit("a", spec(vec![serving(100)]));
    world.submit("a", spec(vec![filling(fills)]));
    world
}

fn set_disturbance(world: &mut World, disturbance_ms: u64) {
    for endpoint in world.endpoints.values_mut() {
        endpoint.disturbance_ms = disturbance_ms;
    }
}

fn paces(world: &World) -> Vec<u32> {
    let endpoints = world.endpoints.values();
    let live = endpoints.flat_map(|endpoint| &endpoint.live);
    live.filter(|live| live.reserved.cpu == 0)
        .map(|live| live.pace)
        .collect()
}

/// How much the tasks disturb, and how many orders are lost on the way.
struct Disturbance {
    fills: u32,
    each_ms: u64,
    paces_lost: usize,
}

#[rstest]
#[case::little(Disturbance { fills: 2, each_ms: 60, paces_lost: 0 })]
#[case::much(Disturbance { fills: 3, each_ms: 2_000, paces_lost: 0 })]
#[case::first_orders_lost(Disturbance { fills: 2, each_ms: 300, paces_lost: 2 })]
fn users_wait_too_long_only_for_a_short_time(#[case] disturbance: Disturbance) {
    let mut world = world(disturbance.fills, disturbance.each_ms);
    world.paces_lost = disturbance.paces_lost;
    world.pass(20 * SECOND);
    let longest = world.seen.longest_above_target;
    assert!(longest > Duration::ZERO);
    assert!(longest < HARM_BOUND, "above the target for {longest:?}");
}

#[test]
fn a_new_leader_slows_down_what_it_took_over() {
    let mut world = world(2, 300);
    world.pass(SECOND / 2);
    world.elect(false);
    world.pass(10 * SECOND);
    let longest = world.seen.longest_above_target;
    assert!(longest < HARM_BOUND, "above the target for {longest:?}");
}

/// Whether the leader changes before the disturbance ends, and how many orders are lost.
struct Recovery {
    elects: bool,
    paces_lost: usize,
}

#[rstest]
#[case::same_leader(Recovery { elects: false, paces_lost: 0 })]
#[case::orders_lost(Recovery { elects: false, paces_lost: 4 })]
#[case::new_leader(Recovery { elects: true, paces_lost: 0 })]
fn what_was_slowed_down_gets_back_to_full_speed(#[case] recovery: Recovery) {
    let mut world = world(2, 300);
    world.pass(8 * SECOND);
    assert!(paces(&world).iter().all(|&pace| pace < 50));
    set_disturbance(&mut world, 0);
    if recovery.elects {
        world.elect(false);
    }
    world.paces_lost = recovery.paces_lost;
    world.pass(10 * SECOND);
    assert_eq!(paces(&world), [100, 100]);
    let orders = world.seen.paces;
    world.pass(5 * SECOND);
    assert_eq!(world.seen.paces, orders, "orders without a change");
}
