//! Processor time of one look of the spare policy.

use std::hint::black_box;
use std::time::{Duration, Instant as Clock};

use rhubarbrill_core::maintenance::Ledger;
use rhubarbrill_core::spare::{Demand, MoveCost, Policy};
use rhubarbrill_core::time::Instant;

use crate::wave::site::Site;

const CALLS: u32 = 50;
const SLOTS: u32 = 400;
const SECONDS: u64 = 600;
const MILLIS_PER_SEC: u64 = 1_000;

/// Prints the time of a look at which every pool wants a host.
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
        let start = Clock::now();
        for now in 0..SECONDS {
            for (pool, _, _) in fleet.pools.iter() {
                policy.observe(Instant::from_millis(now * MILLIS_PER_SEC), pool, demand);
            }
        }
        let pools = u32::try_from(fleet.pools.len()).unwrap_or(u32::MAX);
        let observe = start.elapsed() / u32::try_from(SECONDS).unwrap_or(1) / pools;
        let ledger = Ledger::default();
        println!(
            "| {} | {pools} | {} | {} | {} |",
            fleet.hosts.len(),
            policy.next(&ledger, &fleet).len(),
            time(|| policy.next(&ledger, &fleet)).as_micros(),
            observe.as_nanos(),
        );
    }
}

fn time<T>(call: impl Fn() -> T) -> Duration {
    let start = Clock::now();
    for _ in 0..CALLS {
        black_box(call());
    }
    start.elapsed() / CALLS
}
