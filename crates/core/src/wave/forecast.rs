//! Forecasts of when each wave will finish and of what limits it.

use std::collections::BTreeSet;
use std::time::Duration;

use super::estimate::Estimate;
use super::schedule::{Constraint, Micros, NEVER, Schedule};
use super::snapshot::Snapshot;
use crate::fleet::Fleet;
use crate::maintenance::{Ledger, Pause, Phase, Wave};
use crate::time::Timestamp;

/// The forecast of one wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// Name of the wave.
    pub wave: String,
    /// When the last host returns to service if the estimates hold; `None` if no finish
    /// can be predicted.
    pub finish: Option<Timestamp>,
    /// Lower bound of the finish over all orders of the hosts; `None` if no finish can be
    /// predicted.
    pub earliest: Option<Timestamp>,
    /// What determines the lower bound.
    pub bottleneck: Bottleneck,
    /// Whether the wave is expected to meet its deadline.
    pub deadline_status: DeadlineStatus,
}

/// Whether a wave is expected to meet its deadline, which is the wave's `finish_by`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadlineStatus {
    /// The wave has no deadline, or is expected to meet it.
    OnTime,
    /// The wave is expected to miss the deadline by this time, but the lower bound of the
    /// finish doesn't rule out that another order of the hosts meets it.
    Late(Duration),
    /// No order of the hosts within the budgets meets the deadline; it is missed by at
    /// least this time.
    Infeasible(Duration),
    /// No finish can be predicted, or an operator paused the wave.
    NoEstimate,
}

/// What determines the earliest possible finish of a wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Bottleneck {
    /// The budget of the named pool as a whole.
    Pool(String),
    /// The budget of a pool in one availability zone.
    Zone {
        /// Name of the pool.
        pool: String,
        /// Name of the availability zone.
        zone: String,
    },
    /// The budget of a pool in one rack.
    Rack {
        /// Name of the pool.
        pool: String,
        /// Name of the availability zone that the rack is in.
        zone: String,
        /// Name of the rack.
        rack: String,
    },
    /// The outage of the named host alone.
    Host(String),
    /// The remaining outages of hosts that are already out of service; no serving host of
    /// the wave waits to be drained.
    Outages,
    /// An operator paused the wave.
    Operator,
}

/// The times of one wave, combined over the schedules of all pools.
#[derive(Clone, Debug)]
struct WaveTimes {
    finish: Micros,
    earliest: Micros,
    bottleneck: Bottleneck,
}

impl Default for WaveTimes {
    fn default() -> Self {
        Self {
            finish: 0,
            earliest: 0,
            bottleneck: Bottleneck::Outages,
        }
    }
}

/// Returns the forecast of every wave that isn't done.
pub(super) fn all(
    ledger: &Ledger,
    fleet: &Fleet,
    estimate: &Estimate,
    now: Timestamp,
) -> Vec<Forecast> {
    let mut snapshot = Snapshot::new(ledger, fleet, estimate);
    let mut times = vec![WaveTimes::default(); snapshot.waves.len()];
    for schedule in snapshot.schedules.values_mut() {
        simulate(fleet, schedule, &mut times);
    }
    let waves = snapshot.waves.iter().zip(&times);
    let mut forecasts: Vec<_> = waves
        .map(|((name, wave), wave_times)| forecast(name, wave, wave_times, now))
        .collect();
    forecasts.extend(paused(ledger));
    forecasts
}

/// Simulates a schedule until its last outage ends, and records when the outages of each
/// wave end.
fn simulate<'a>(fleet: &'a Fleet, schedule: &mut Schedule<'a>, times: &mut [WaveTimes]) {
    schedule.clear_failed();
    raise_earliest(fleet, schedule, times);
    let mut now = 0;
    loop {
        while let Some(task) = schedule.pick() {
            if let Some(host) = fleet.hosts.get(task.key) {
                schedule.start_outage(host, task, now);
            }
        }
        let Some(outage) = schedule.finish_next_outage() else {
            break;
        };
        now = outage.end;
        if let Some(wave) = outage.wave {
            times[wave].finish = times[wave].finish.max(now);
        }
        if now == NEVER {
            break;
        }
    }
    for wave in schedule.waves_waiting() {
        times[wave].finish = NEVER;
    }
}

/// Raises the earliest finish of each wave to the lower bound of the schedule.
fn raise_earliest(fleet: &Fleet, schedule: &Schedule<'_>, times: &mut [WaveTimes]) {
    let waves: BTreeSet<_> = schedule.waves_waiting().collect();
    for wave in waves {
        let Some((earliest, constraint)) = schedule.lower_bound(wave) else {
            continue;
        };
        if earliest > times[wave].earliest {
            times[wave].earliest = earliest;
            times[wave].bottleneck = bottleneck(fleet, schedule, constraint);
        }
    }
}

fn forecast(name: &str, wave: &Wave, wave_times: &WaveTimes, now: Timestamp) -> Forecast {
    let at = |micros: Micros| (micros != NEVER).then(|| later(now, micros));
    let (finish, earliest) = (at(wave_times.finish), at(wave_times.earliest));
    Forecast {
        wave: name.to_owned(),
        finish,
        earliest,
        bottleneck: wave_times.bottleneck.clone(),
        deadline_status: deadline_status(wave.finish_by, finish, earliest),
    }
}

fn deadline_status(
    finish_by: Option<Timestamp>,
    finish: Option<Timestamp>,
    earliest: Option<Timestamp>,
) -> DeadlineStatus {
    let (Some(finish), Some(earliest)) = (finish, earliest) else {
        return DeadlineStatus::NoEstimate;
    };
    match finish_by {
        Some(by) if earliest > by => {
            DeadlineStatus::Infeasible(earliest.saturating_since(by))
        }
        Some(by) if finish > by => DeadlineStatus::Late(finish.saturating_since(by)),
        _ => DeadlineStatus::OnTime,
    }
}

/// Returns the forecasts of waves that an operator paused.
fn paused(ledger: &Ledger) -> impl Iterator<Item = Forecast> {
    ledger
        .waves()
        .filter(|(_, wave)| wave.phase == Phase::Paused(Pause::Operator))
        .map(|(name, _)| Forecast {
            wave: name.to_owned(),
            finish: None,
            earliest: None,
            bottleneck: Bottleneck::Operator,
            deadline_status: DeadlineStatus::NoEstimate,
        })
}

fn bottleneck(
    fleet: &Fleet,
    schedule: &Schedule<'_>,
    constraint: Constraint<'_>,
) -> Bottleneck {
    let pool = fleet
        .pools
        .name(schedule.pool)
        .unwrap_or_default()
        .to_owned();
    let zone = |zone| fleet.zones.name(zone).unwrap_or_default().to_owned();
    match constraint {
        Constraint::Pool => Bottleneck::Pool(pool),
        Constraint::Zone(key) => Bottleneck::Zone {
            pool,
            zone: zone(key),
        },
        Constraint::Rack(key, rack) => Bottleneck::Rack {
            pool,
            zone: zone(key),
            rack: rack.to_owned(),
        },
        Constraint::Host(host) => Bottleneck::Host(host.to_owned()),
    }
}

fn later(now: Timestamp, micros: Micros) -> Timestamp {
    const MICROS_PER_MILLI: Micros = 1_000;
    Timestamp::from_millis(now.as_millis() + micros.div_ceil(MICROS_PER_MILLI))
}
