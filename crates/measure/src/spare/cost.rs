//! Measures the time of one decision of the spare policy.

use std::hint::black_box;
use std::time::{Duration, Instant as WallClock};

use rhubarbrill_core::maintenance::Ledger;
use rhubarbrill_core::spare::{Demand, MoveCost, Policy};
use rhubarbrill_core::time::Instant;

use crate::wave::site::Site;

/// Number of calls over which the time of a decision is averaged.
const ITERATIONS: u32 = 50;
/// Slots of each pool, all of them running and as many requests waiting.
const SLOTS: u32 = 400;
/// Seconds of demand that the policy observes before its decision.
const OBSERVED_SECS: u64 = 600;
const MILLIS_PER_SEC: u64 = 1_000;

/// Prints the times of an observation and of a decision in which every pool needs a host.
pub(super) fn print() {
    println!("| hosts | pools | moves | look us | observe ns |\n|--:|--:|--:|--:|--:|");
    for site in [Site::Scaled(5), Site::Scaled(50), Site::Planned] {
        let fleet = site.fleet();
        let mut policy = Policy::new(MoveCost::default());
        let demand = Demand {
            running: SLOTS,
            waiting: SLOTS,
            slots: SLOTS,
            borrowed: 0,
        };
        let start = WallClock::now();
        for now in 0..OBSERVED_SECS {
            for (pool, _, _) in fleet.pools.iter() {
                policy.observe(Instant::from_millis(now * MILLIS_PER_SEC), pool, demand);
            }
        }
        let pools = u32::try_from(fleet.pools.len()).unwrap_or(u32::MAX);
        let observe_time =
            start.elapsed() / u32::try_from(OBSERVED_SECS).unwrap_or(1) / pools;
        let ledger = Ledger::default();
        println!(
            "| {} | {pools} | {} | {} | {} |",
            fleet.hosts.len(),
            policy.next(&ledger, &fleet).len(),
            mean_time(|| policy.next(&ledger, &fleet)).as_micros(),
            observe_time.as_nanos(),
        );
    }
}

/// Returns the mean time of a call.
fn mean_time<T>(call: impl Fn() -> T) -> Duration {
    let start = WallClock::now();
    for _ in 0..ITERATIONS {
        black_box(call());
    }
    start.elapsed() / ITERATIONS
}
