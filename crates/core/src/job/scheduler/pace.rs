//! Pacing: best-effort tasks slow down beside tasks with a latency target.
//!
//! How much the best-effort tasks disturb the others changes within seconds. So they slow
//! down immediately, by half at a time, and stop if that isn't enough. They speed up
//! again in small steps.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Command, OrderOutcome, Pace, Scheduler};
use crate::job::run::Phase;
use crate::job::{EndpointKey, RunKey};
use crate::time::Instant;

/// Time between two changes of pace on one endpoint. The reported tail latency covers
/// half a second, and a change shows after a tenth of a second.
const ADJUST_INTERVAL: Duration = Duration::from_millis(600);

/// Time for which the tail latency may exceed its target before best-effort tasks stop
/// altogether. It is a quarter of what the platform's rules allow, as each observation
/// arrives up to a second late.
const MAX_TIME_ABOVE_TARGET: Duration = Duration::from_millis(1_000);

/// Percentage of the latency target above which best-effort tasks slow down.
const SLOW_DOWN_ABOVE_PERCENT: u64 = 85;

/// Percentage of the latency target below which best-effort tasks speed up.
const SPEED_UP_BELOW_PERCENT: u64 = 60;

/// Increase of the pace in one step, in percent of full speed.
const SPEED_UP_STEP_PERCENT: u32 = 20;

/// State of the pace control, by endpoint.
#[derive(Debug, Default)]
pub(super) struct PaceControl {
    /// When the paces on the endpoint were last changed.
    adjusted_at: BTreeMap<EndpointKey, Instant>,
    /// When the tail latency rose above its target.
    above_target_since: BTreeMap<EndpointKey, Instant>,
}

impl PaceControl {
    /// Removes the state of an endpoint that is gone.
    pub(super) fn forget(&mut self, key: EndpointKey) {
        self.adjusted_at.remove(&key);
        self.above_target_since.remove(&key);
    }

    /// Returns when the paces on an endpoint were last changed.
    pub(super) fn adjusted_at(&self, key: EndpointKey) -> Option<Instant> {
        self.adjusted_at.get(&key).copied()
    }

    /// Records a tail latency, in percent of its target, and returns whether it has been
    /// above the target for too long.
    fn is_above_target_too_long(
        &mut self,
        now: Instant,
        key: EndpointKey,
        tail_percent: u64,
    ) -> bool {
        if tail_percent <= 100 {
            self.above_target_since.remove(&key);
            return false;
        }
        let since = *self.above_target_since.entry(key).or_insert(now);
        now.saturating_since(since) >= MAX_TIME_ABOVE_TARGET
    }
}

impl Scheduler {
    /// Handles the result of an order to change a pace.
    pub fn handle_pace_outcome(
        &mut self,
        now: Instant,
        order: &Pace,
        outcome: OrderOutcome,
    ) {
        if matches!(outcome, OrderOutcome::Done(_)) {
            return;
        }
        if let Some(run) = self.runs.get_mut(order.run) {
            run.pace_sent = false;
            let endpoint = run.endpoint;
            self.handle_reply(now, endpoint, now, outcome);
        }
    }

    /// Returns whether both best-effort tasks and tasks with a latency target run on an
    /// endpoint.
    pub(super) fn needs_pacing(&self, key: EndpointKey) -> bool {
        !self.best_effort_runs(key).is_empty() && self.worst_tail_percent(key).is_some()
    }

    pub(super) fn adjust_paces(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in keys {
            let runs = self.best_effort_runs(key);
            if runs.is_empty() {
                self.pace_control.forget(key);
                continue;
            }
            let tail_percent = self.worst_tail_percent(key).unwrap_or(0);
            let must_stop =
                self.pace_control
                    .is_above_target_too_long(now, key, tail_percent);
            let last = self.pace_control.adjusted_at.get(&key).copied();
            if last.is_some_and(|at| now.saturating_since(at) < ADJUST_INTERVAL) {
                continue;
            }
            let mut changed = false;
            for run in runs {
                let percent = next_pace(self.runs[run].pace, tail_percent, must_stop);
                changed |= self.set_pace(run, percent, commands);
            }
            if changed {
                self.pace_control.adjusted_at.insert(key, now);
            }
        }
    }

    /// Orders an endpoint to change the pace of a run, unless it already knows the pace.
    /// Returns whether an order was issued.
    fn set_pace(
        &mut self,
        key: RunKey,
        percent: u32,
        commands: &mut Vec<Command>,
    ) -> bool {
        let run = &mut self.runs[key];
        if run.pace == percent && run.pace_sent {
            return false;
        }
        run.pace = percent;
        run.pace_sent = true;
        commands.push(Command::Pace(Pace {
            run: key,
            target: self.endpoints[run.endpoint].target(),
            name: run.name.clone(),
            number: run.number,
            percent,
            fencing_token: self.endpoints[run.endpoint].fence.token(),
        }));
        true
    }

    /// Returns the best-effort runs that are executing on an endpoint.
    fn best_effort_runs(&self, key: EndpointKey) -> Vec<RunKey> {
        let runs = self.endpoints[key].runs.iter().copied();
        runs.filter(|&run| {
            let run = &self.runs[run];
            let task = run.task.filter(|_| matches!(run.phase, Phase::Running(_)));
            task.is_some_and(|task| self.step(task).best_effort)
        })
        .collect()
    }

    /// Returns the worst tail latency on an endpoint, in percent of its target.
    fn worst_tail_percent(&self, key: EndpointKey) -> Option<u64> {
        let runs = self.endpoints[key].runs.iter();
        runs.filter_map(|&run| {
            let run = &self.runs[run];
            let target = self.step(run.task?).latency_target_ms;
            (target > 0).then(|| run.gauge * 100 / target)
        })
        .max()
    }
}

/// Returns the next pace of a run, in percent of full speed. `tail_percent` is in percent
/// of its target, and `must_stop` tells whether it has been above the target for too
/// long.
fn next_pace(pace: u32, tail_percent: u64, must_stop: bool) -> u32 {
    if must_stop {
        0
    } else if tail_percent > SLOW_DOWN_ABOVE_PERCENT {
        pace / 2
    } else if tail_percent < SPEED_UP_BELOW_PERCENT {
        (pace + SPEED_UP_STEP_PERCENT).min(100)
    } else {
        pace
    }
}
