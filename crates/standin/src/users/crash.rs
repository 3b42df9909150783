//! Tasks that crash the endpoints that start them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::state::State;

/// Time from the start of such a task to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Time for which an endpoint is away after a crash.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// Number of crashes under one task from which further starts are counted.
const COUNTED_CRASHES: u32 = 3;

/// Number of starts after these crashes that is a violation.
const FORBIDDEN_STARTS: u32 = 3;

/// What the platform knows of tasks that crash endpoints.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// Payload of the jobs whose tasks crash endpoints; `None` if there are none.
    pub(crate) payload: Option<String>,
    by_task: BTreeMap<String, TaskCrashes>,
}

/// Crashes that one task has caused, and its starts after that.
#[derive(Clone, Copy, Debug, Default)]
struct TaskCrashes {
    crashes: u32,
    later_starts: u32,
}

impl State {
    /// Records the start of a run, and schedules the crash of its endpoint if the payload of
    /// its job is one that crashes endpoints.
    pub(crate) fn record_crashing_start(&mut self, id: &str, task: &str, payload: &str) {
        if self.crashes.payload.as_deref() != Some(payload) {
            return;
        }
        let known = self.crashes.by_task.entry(task.to_owned()).or_default();
        if known.crashes >= COUNTED_CRASHES {
            known.later_starts += 1;
            if known.later_starts == FORBIDDEN_STARTS {
                self.violations.push(format!(
                    "{task} started three times more after three endpoints had crashed \
                     under it"
                ));
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let crash = (Instant::now() + CRASH_DELAY, task.to_owned());
            endpoint.crash.get_or_insert(crash);
        }
    }

    /// Takes down the endpoints whose crash is due, and restarts those that were away for
    /// long enough.
    pub(crate) fn advance_crashes(&mut self) {
        let now = Instant::now();
        let ids: Vec<String> = self.endpoints.keys().cloned().collect();
        for id in ids {
            let endpoint = self.endpoints.get_mut(&id);
            let endpoint = endpoint.expect("its key was just listed");
            if let Some((_, task)) = endpoint.crash.take_if(|(at, _)| *at <= now) {
                endpoint.down_until = Some(now + RESTART_TIME);
                endpoint.live.clear();
                endpoint.ended.clear();
                self.crashes.by_task.entry(task).or_default().crashes += 1;
            }
            let endpoint = self.endpoints.get_mut(&id);
            let endpoint = endpoint.expect("its key was just listed");
            if endpoint.down_until.take_if(|at| *at <= now).is_some() {
                self.restart_after_crash(&id);
            }
        }
    }

    /// Starts an endpoint under a new identity.
    fn restart_after_crash(&mut self, id: &str) {
        self.remove_registration(id);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.instance = format!("{id}b{}", endpoint.born);
        }
        self.restart_now(id);
    }

    /// Returns whether an endpoint is away after a crash.
    pub(crate) fn is_down(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.down_until.is_some())
    }
}
