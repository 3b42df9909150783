//! Measures the time of one planning step of a wave.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant};

use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Ledger, Selection};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_core::wave::{Estimate, Planner};

use super::site::Site;

/// Minimum time over which the calls of one measurement are repeated.
const MIN_MEASURE_TIME: Duration = Duration::from_millis(300);

/// Measures one plan, one forecast and one applied command; returns a Markdown table.
///
/// Applying a command is timed on a clone of the ledger, and the time of the clone is
/// subtracted.
pub fn table() -> String {
    let sites = [Site::Scaled(5), Site::Scaled(50), Site::Planned];
    let mut text = String::from(
        "| hosts | hosts out | plan us | forecast us | command us | record bytes |\n\
         |--:|--:|--:|--:|--:|--:|\n",
    );
    for site in sites {
        let fleet = site.fleet();
        let estimate = Estimate::default();
        let ledger = ledger_under_maintenance(&fleet, &estimate);
        let plan_time = mean_micros(|| Planner.next(&ledger, &fleet, &estimate));
        let now = Timestamp::default();
        let forecast_time =
            mean_micros(|| Planner.forecast(&ledger, &fleet, &estimate, now));
        let host = ledger
            .records()
            .next()
            .map_or("", |(host, _)| host)
            .to_owned();
        let cancel = Command::CancelDrain { host };
        let clone_time = mean_micros(|| ledger.clone());
        let command_time =
            mean_micros(|| ledger.clone().apply(&fleet, ledger.generation(), &cancel));
        let bytes = serde_json::to_vec(&ledger).map_or(0, |bytes| bytes.len());
        let _ = writeln!(
            text,
            "| {} | {} | {:.0} | {:.0} | {:.0} | {bytes} |",
            fleet.hosts.len(),
            ledger.records().count(),
            plan_time,
            forecast_time,
            (command_time - clone_time).max(0.0),
        );
    }
    text
}

/// Returns a ledger with a wave over each pool, in which the planner's drains use up
/// every budget.
fn ledger_under_maintenance(fleet: &Fleet, estimate: &Estimate) -> Ledger {
    let mut ledger = Ledger::default();
    for (_, pool, _) in fleet.pools.iter() {
        let start = Command::StartWave {
            wave: pool.to_owned(),
            selection: Selection::Pool(pool.to_owned()),
            finish_by: None,
        };
        let _ = ledger.apply(fleet, ledger.generation(), &start);
    }
    let generation = ledger.generation();
    for command in Planner.next(&ledger, fleet, estimate) {
        let _ = ledger.apply(fleet, generation, &command);
    }
    ledger
}

/// Returns the mean time of a call in microseconds, after one warm-up call.
fn mean_micros<T>(mut call: impl FnMut() -> T) -> f64 {
    black_box(call());
    let start = Instant::now();
    let mut calls = 0_u32;
    while start.elapsed() < MIN_MEASURE_TIME {
        black_box(call());
        calls += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}
