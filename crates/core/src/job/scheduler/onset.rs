//! Recognizes that the demand of a pool has risen for certain.
//!
//! While it is uncertain whether the rate of arrivals has risen, estimates from short
//! windows are lowered by their standard error, and a rise is recognized only in part. If
//! the work that arrived in a window exceeds the usual demand by several standard errors,
//! the rise is certain, and its mean is the best estimate.

use std::time::Duration;

use super::forecast::{Arrival, lower_estimate, sum};
use crate::job::Resource;
use crate::time::Instant;

/// Lengths of the windows in which a rise is looked for. Longer ones don't lie in the first
/// half second of a rise.
const WINDOWS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(300),
    Duration::from_millis(400),
    Duration::from_millis(500),
];

/// Number of standard errors by which a rise exceeds the usual demand. It also bounds the
/// standard error of the estimate to a quarter.
const CERTAIN_ERRORS: u64 = 4;

/// Returns the capacity that arrivals keep busy since demand rose, or `None` if no rise is
/// certain.
///
/// `usual` is the demand before, and `newest_first` holds the arrivals.
pub(super) fn risen_demand<'a>(
    now: Instant,
    usual: &Resource,
    newest_first: impl Iterator<Item = &'a Arrival> + Clone,
) -> Option<Resource> {
    let rises = WINDOWS.iter().filter_map(|&window| {
        let arrivals = newest_first
            .clone()
            .take_while(move |arrival| now.saturating_since(arrival.at) <= window);
        let total = sum(arrivals.clone());
        let error = total.cpu - lower_estimate(arrivals).cpu;
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        let rise = total.cpu.saturating_sub(usual.cpu * window_ms);
        let errors = rise * 10 / error.max(1);
        (errors >= CERTAIN_ERRORS * 10)
            .then(|| (errors, upper_estimate(&total, error).divided_by(window)))
    });
    rises
        .max_by_key(|&(errors, _)| errors)
        .map(|(_, demand)| demand)
}

/// Returns the work in a window, raised by half the standard error of its CPU work.
///
/// A host that is missing makes jobs late, and one too many leaves once it is idle.
fn upper_estimate(total: &Resource, error: u64) -> Resource {
    let raised = |work: u64| {
        let scaled = u128::from(work) * u128::from(2 * total.cpu + error);
        u64::try_from(scaled / u128::from(2 * total.cpu.max(1))).unwrap_or(u64::MAX)
    };
    Resource {
        cpu: raised(total.cpu),
        memory_mb: raised(total.memory_mb),
        gpu: raised(total.gpu),
    }
}
