//! Pacing: tasks that take leftover processor time slow down beside tasks whose users wait.
//!
//! How much the one kind disturbs the other changes within seconds. So the disturbing tasks
//! slow down at once, by half at a time, and stop where that isn't enough; they go faster
//! again step by step.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Command, Pace, Scheduler, Settled};
use crate::job::run::Phase;
use crate::job::{EndpointKey, RunKey};
use crate::time::Instant;

/// Time between two changes of pace on one endpoint: the tail that it reports covers half a
/// second, and a change shows after a tenth of one.
const ADJUST_INTERVAL: Duration = Duration::from_millis(600);

/// Time for which the tail may stay above its target before the others stop altogether: a
/// quarter of what the platform's rules bear, as each look comes late by up to a second.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// Part of the latency target above which the others slow down, in percent.
const SLOW_ABOVE_PERCENT: u64 = 85;

/// Part of the latency target below which the others go faster, in percent.
const FASTER_BELOW_PERCENT: u64 = 60;

/// How much faster they go at a time, in percent of full speed.
const FASTER_STEP: u32 = 20;

/// What is remembered of each endpoint.
#[derive(Debug, Default)]
pub(super) struct Paces {
    /// When the paces were last changed.
    adjusted: BTreeMap<EndpointKey, Instant>,
    /// Since when the tail has been above its target.
    above_since: BTreeMap<EndpointKey, Instant>,
}

impl Paces {
    /// Forgets an endpoint that is gone.
    pub(super) fn forget(&mut self, key: EndpointKey) {
        self.adjusted.remove(&key);
        self.above_since.remove(&key);
    }

    /// Notes a tail, and returns whether it has been above its target for too long.
    fn is_out_of_patience(&mut self, now: Instant, key: EndpointKey, tail: u64) -> bool {
        if tail <= 100 {
            self.above_since.remove(&key);
            return false;
        }
        let since = *self.above_since.entry(key).or_insert(now);
        now.saturating_since(since) >= PATIENCE
    }
}

impl Scheduler {
    /// Takes what became of an order to change a pace.
    pub fn paced(&mut self, now: Instant, order: &Pace, settled: Settled) {
        if matches!(settled, Settled::Done(_)) {
            return;
        }
        if let Some(run) = self.runs.get_mut(order.run) {
            run.pace_told = false;
            let endpoint = run.endpoint;
            self.note_contact(now, endpoint, settled);
        }
    }

    /// Returns whether both kinds of task run on an endpoint.
    pub(super) fn needs_pacing(&self, key: EndpointKey) -> bool {
        !self.paced_runs(key).is_empty() && self.worst_tail(key).is_some()
    }

    pub(super) fn adjust_paces(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in keys {
            let runs = self.paced_runs(key);
            if runs.is_empty() {
                self.paces.forget(key);
                continue;
            }
            let tail = self.worst_tail(key).unwrap_or(0);
            let stops = self.paces.is_out_of_patience(now, key, tail);
            let last = self.paces.adjusted.get(&key).copied();
            if last.is_some_and(|at| now.saturating_since(at) < ADJUST_INTERVAL) {
                continue;
            }
            let mut changed = false;
            for run in runs {
                let percent = next_pace(self.runs[run].pace, tail, stops);
                changed |= self.set_pace(run, percent, commands);
            }
            if changed {
                self.paces.adjusted.insert(key, now);
            }
        }
    }

    /// Tells an endpoint the pace of a run, unless it knows; returns whether it was told.
    fn set_pace(
        &mut self,
        key: RunKey,
        percent: u32,
        commands: &mut Vec<Command>,
    ) -> bool {
        let run = &mut self.runs[key];
        if run.pace == percent && run.pace_told {
            return false;
        }
        run.pace = percent;
        run.pace_told = true;
        commands.push(Command::Pace(Pace {
            run: key,
            target: self.endpoints[run.endpoint].target(),
            name: run.name.clone(),
            number: run.number,
            percent,
            fence: self.term.fence,
        }));
        true
    }

    /// Returns the runs on an endpoint that take leftover processor time.
    fn paced_runs(&self, key: EndpointKey) -> Vec<RunKey> {
        let runs = self.endpoints[key].runs.iter().copied();
        runs.filter(|&run| {
            let run = &self.runs[run];
            let task = run.task.filter(|_| matches!(run.phase, Phase::Running(_)));
            task.is_some_and(|task| self.step(task).best_effort)
        })
        .collect()
    }

    /// Returns the worst tail latency on an endpoint, in percent of its target.
    fn worst_tail(&self, key: EndpointKey) -> Option<u64> {
        let runs = self.endpoints[key].runs.iter();
        runs.filter_map(|&run| {
            let run = &self.runs[run];
            let target = self.step(run.task?).latency_target_ms;
            (target > 0).then(|| run.gauge * 100 / target)
        })
        .max()
    }
}

/// Returns the next pace of a run, in percent of full speed; `tail` is in percent of its
/// target, and `stops` tells that it has been too long for a while.
fn next_pace(pace: u32, tail: u64, stops: bool) -> u32 {
    if stops {
        0
    } else if tail > SLOW_ABOVE_PERCENT {
        pace / 2
    } else if tail < FASTER_BELOW_PERCENT {
        (pace + FASTER_STEP).min(100)
    } else {
        pace
    }
}
