//! Builds the schedule of every pool from the current ledger.

use std::time::Duration;

use slotmap::SecondaryMap;

use super::estimate::Estimate;
use super::schedule::{Micros, NEVER, Schedule, Task, WaveIndex};
use crate::fleet::{Fleet, HostKey, PoolKey};
use crate::maintenance::{Charge, Ledger, Pause, Phase, Reason, Record, Step, Wave};

/// The waves that are running or paused by budgets, and the schedule of every pool in
/// which hosts wait to be drained or are out of service.
pub(super) struct Snapshot<'a> {
    fleet: &'a Fleet,
    ledger: &'a Ledger,
    estimate: &'a Estimate,
    pub(super) waves: Vec<(&'a str, &'a Wave)>,
    pub(super) schedules: SecondaryMap<PoolKey, Schedule<'a>>,
}

impl<'a> Snapshot<'a> {
    /// Collects the hosts that wait to be drained and those that are out of service.
    pub(super) fn new(
        ledger: &'a Ledger,
        fleet: &'a Fleet,
        estimate: &'a Estimate,
    ) -> Self {
        let waves = ledger
            .waves()
            .filter(|(_, wave)| may_start_drains(wave.phase))
            .collect();
        let mut snapshot = Self {
            fleet,
            ledger,
            estimate,
            waves,
            schedules: SecondaryMap::new(),
        };
        snapshot.collect_out();
        snapshot.collect_waiting();
        for schedule in snapshot.schedules.values_mut() {
            schedule.sort();
        }
        snapshot
    }

    fn collect_out(&mut self) {
        for (name, record) in self.ledger.records() {
            let Some((key, host)) = self.host(name) else {
                continue;
            };
            let end = micros(self.remaining(key, record));
            let wave = self.wave_of(name, record);
            for pool in Charge::of(self.fleet, host, record).pools() {
                if let Some(schedule) = self.schedule(pool) {
                    schedule.add_outage(host, end, wave);
                }
            }
        }
    }

    fn collect_waiting(&mut self) {
        for index in 0..self.waves.len() {
            let wave = self.waves[index].1;
            for (key, name) in wave.pending(self.fleet) {
                self.collect_pending(index, key, name);
            }
        }
    }

    fn collect_pending(&mut self, wave: WaveIndex, key: HostKey, name: &'a str) {
        let record = self.ledger.record(name);
        let (Some((_, host)), Some(pool)) =
            (self.host(name), self.ledger.pool(self.fleet, key))
        else {
            return;
        };
        let duration = micros(Some(self.estimate.outage(key)));
        let task = Task {
            key,
            host: name,
            wave,
            duration,
        };
        let Some(schedule) = self.schedule(pool) else {
            return;
        };
        match record {
            Some(record) if !record.may_drain() => {}
            Some(record) if record.step == Step::Failed => schedule.add_failed(task),
            Some(_) | None => schedule.add(host, task),
        }
    }

    /// Returns the estimated time until a host returns to service; `None` for a host that
    /// serves a pool other than its declared one, as nothing ends that by itself.
    fn remaining(&self, key: HostKey, record: &Record) -> Option<Duration> {
        let estimate = self.estimate;
        match (record.step, &record.reason) {
            (Step::Serving, _) => None,
            (Step::Failed, _) | (_, Reason::Failure | Reason::PlatformLeaving) => {
                Some(estimate.repair())
            }
            (Step::Leaving { .. }, _) => Some(estimate.outage(key)),
            (Step::Drained | Step::Moving | Step::Rebooting, _) => {
                Some(estimate.restart())
            }
            (Step::Returning, _) => Some(estimate.probe()),
        }
    }

    fn host(&self, name: &str) -> Option<(HostKey, &'a crate::fleet::Host)> {
        let key = self.fleet.hosts.find(name)?;
        Some((key, self.fleet.hosts.get(key)?))
    }

    /// Returns the wave that waits for the return of a host: the one that the host is out
    /// of service for, or, for a failed host, the first one in which it is pending.
    fn wave_of(&self, name: &str, record: &Record) -> Option<WaveIndex> {
        match (record.wave(), record.step) {
            (Some(wave), _) => self.index(wave),
            (None, Step::Failed) => self
                .waves
                .iter()
                .position(|(_, wave)| wave.is_pending(name)),
            (None, _) => None,
        }
    }

    fn index(&self, wave: &str) -> Option<WaveIndex> {
        self.waves
            .binary_search_by_key(&wave, |(name, _)| name)
            .ok()
    }

    fn schedule(&mut self, pool: PoolKey) -> Option<&mut Schedule<'a>> {
        let budget = self.fleet.pools.get(pool)?.budget;
        let entry = self.schedules.entry(pool)?;
        Some(entry.or_insert_with(|| Schedule::new(pool, budget)))
    }
}

/// Returns whether hosts of a wave in this phase may be drained as the budgets allow.
fn may_start_drains(phase: Phase) -> bool {
    matches!(phase, Phase::Running | Phase::Paused(Pause::Budget))
}

fn micros(duration: Option<Duration>) -> Micros {
    let micros =
        |duration: Duration| Micros::try_from(duration.as_micros()).unwrap_or(NEVER);
    duration.map_or(NEVER, micros)
}
