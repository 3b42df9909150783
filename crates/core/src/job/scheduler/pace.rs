//! Pacing: tasks that take leftover processor time slow down beside tasks whose users wait.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Command, Pace, Scheduler};
use crate::job::run::Phase;
use crate::job::{EndpointKey, RunKey};
use crate::time::Instant;

/// Time between two changes of pace on one endpoint: the tail that it reports covers half a
/// second, and a change shows after a tenth of one.
const ADJUST_INTERVAL: Duration = Duration::from_millis(600);

/// Part of the latency target above which the others slow down, in percent.
const SLOW_ABOVE_PERCENT: u64 = 85;

/// Part of the latency target below which the others go faster, in percent.
const FASTER_BELOW_PERCENT: u64 = 60;

/// How much faster they go at a time, in percent of full speed.
const FASTER_STEP: u32 = 20;

/// When the paces of each endpoint were last changed.
#[derive(Debug, Default)]
pub(super) struct Paces {
    adjusted: BTreeMap<EndpointKey, Instant>,
}

impl Scheduler {
    /// Returns whether both kinds of task run on an endpoint.
    pub(super) fn needs_pacing(&self, key: EndpointKey) -> bool {
        !self.paced_runs(key).is_empty() && self.worst_tail(key).is_some()
    }

    pub(super) fn adjust_paces(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let keys: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in keys {
            let last = self.paces.adjusted.get(&key).copied();
            if last.is_some_and(|at| now.saturating_since(at) < ADJUST_INTERVAL) {
                continue;
            }
            let Some(tail) = self.worst_tail(key) else {
                continue;
            };
            let changed = self.change_paces(key, tail, commands);
            if changed {
                self.paces.adjusted.insert(key, now);
            }
        }
    }

    fn change_paces(
        &mut self,
        key: EndpointKey,
        tail_percent: u64,
        commands: &mut Vec<Command>,
    ) -> bool {
        let mut changed = false;
        for run_key in self.paced_runs(key) {
            let run = &mut self.runs[run_key];
            let percent = if tail_percent > SLOW_ABOVE_PERCENT {
                run.pace / 2
            } else if tail_percent < FASTER_BELOW_PERCENT {
                (run.pace + FASTER_STEP).min(100)
            } else {
                run.pace
            };
            if percent == run.pace {
                continue;
            }
            run.pace = percent;
            changed = true;
            commands.push(Command::Pace(Pace {
                run: run_key,
                target: self.endpoints[key].target(),
                name: run.name.clone(),
                number: run.number,
                percent,
                fence: self.term.fence,
            }));
        }
        changed
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
