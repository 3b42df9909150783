//! A randomized soak: entry hosts as processes, under faults from outside.
//!
//! Callers submit, cancel and ask for jobs while processes are killed, paused, stopped and
//! started, links to the store and to endpoints are delayed, reset, silenced or cut, the store
//! misbehaves, endpoints begin new lives and their clocks run fast or slow. What callers and
//! endpoints see is checked while it runs and once all has healed.
//!
//! Every choice follows from the seed; how processes interleave doesn't. `SOAK_SEED` plays one
//! seed, `SOAK_SEEDS` that many fresh ones, `SOAK_SECONDS` says for how long there are faults.

use std::time::Duration;

use rstest::rstest;

#[path = "../support/mod.rs"]
mod support;

mod callers;
mod deployment;
mod fault;
mod promise;

/// Time with faults of a seed where no other is asked for.
const SPAN: Duration = Duration::from_secs(6);

fn play(seed: u64) {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|text| text.parse().ok());
    let span = seconds.map_or(SPAN, Duration::from_secs);
    let broken = deployment::soak(seed, span);
    assert!(
        broken.is_empty(),
        "seed {seed}, {} s: {broken:#?}",
        span.as_secs()
    );
}

/// Seeds of the checks that every change passes.
#[rstest]
#[case::first(1)]
#[case::second(2)]
#[case::third(3)]
fn promises_hold_under_faults(#[case] seed: u64) {
    play(seed);
}

/// Seeds that broke a promise once.
#[rstest]
// A hold for an endpoint's last life reached the next one, which forgot ends unseen.
#[case::hold_for_the_life_before(7_687_684_131_986_738_010)]
// The same, by a stand-in whose holds went on waiting through a restart.
#[case::hold_through_a_restart(4_314_660_000_304_695_158)]
// A signal before the process heeded any: a fault of this test.
#[case::signal_at_the_start(17_514_227_705_860_410_971)]
fn promises_hold_again(#[case] seed: u64) {
    play(seed);
}

/// Plays the seeds that the environment asks for.
#[test]
fn promises_hold_for_chosen_seeds() {
    let variable = |name| std::env::var(name).ok()?.parse().ok();
    if let Some(seed) = variable("SOAK_SEED") {
        play(seed);
    }
    let fresh: u64 = variable("SOAK_SEEDS").unwrap_or(0);
    for _ in 0..fresh {
        play(rand::random());
    }
}
