//! Endpoints whose capacity shrinks while they run.
//!
//! An endpoint tells its capacity in its registration only, which may be seconds old while the
//! store is unavailable, or while the endpoint can't reach it.
//!
//! A run is planned some time before its start order is sent, as the plan is saved first, and
//! the capacity of its endpoint may shrink in between. Runs that no longer fit are withdrawn,
//! and their tasks wait again. What is executing goes on.

use super::Scheduler;
use crate::job::run::Phase;
use crate::job::{EndpointKey, RunKey, TaskRef};
use crate::time::Instant;

/// Why a planned run is withdrawn.
const REASON: &str = "its endpoint may have less capacity than before";

impl Scheduler {
    /// Updates whether an endpoint accepts overload, from the configuration of its pool. It may if
    /// its pool isn't declared.
    pub(super) fn update_accepts_overload(&mut self, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        let pool = self.configuration.pool(&endpoint.registration.pool);
        endpoint.accepts_overload = pool.is_none_or(|pool| pool.accepts_overload);
    }

    /// Returns whether the capacity of an endpoint is known well enough for a start. An
    /// endpoint that accepts overload doesn't reject a start that exceeds it.
    pub(super) fn is_capacity_current(&self, now: Instant, key: EndpointKey) -> bool {
        let endpoint = &self.endpoints[key];
        if endpoint.is_registration_unreadable {
            return false;
        }
        if !endpoint.accepts_overload {
            return true;
        }
        let since_read = now.saturating_since(endpoint.registered_at);
        let age = endpoint.longest_registration_age(now).unwrap_or(since_read);
        age <= self.options.max_capacity_age
    }

    /// Withdraws planned runs that no longer fit their endpoints, the newest first. A gang is
    /// withdrawn as a whole.
    pub(super) fn withdraw_overcommitted(&mut self, now: Instant) {
        let overcommitted: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .map(|(key, _)| key)
            .filter(|&key| !self.may_start_planned(now, key))
            .collect();
        for key in overcommitted {
            while !self.may_start_planned(now, key)
                && let Some(run) = self.last_planned_run(key)
            {
                self.withdraw(now, run, REASON);
            }
        }
    }

    /// Returns whether the runs that are planned on an endpoint may start.
    fn may_start_planned(&self, now: Instant, key: EndpointKey) -> bool {
        let endpoint = &self.endpoints[key];
        endpoint.used.is_at_most(&endpoint.registration.capacity)
            && self.is_capacity_current(now, key)
    }

    fn last_planned_run(&self, key: EndpointKey) -> Option<RunKey> {
        let runs = self.endpoints[key].runs.iter().rev().copied();
        runs.into_iter().find(|&run| self.is_planned(run))
    }

    fn is_planned(&self, run: RunKey) -> bool {
        matches!(self.runs[run].phase, Phase::Planned(_))
    }

    /// Withdraws a planned run or, if it belongs to a gang, the gang.
    pub(super) fn withdraw(&mut self, now: Instant, key: RunKey, reason: &'static str) {
        if let Some(run) = self.runs.get(key) {
            let (task, number) = (run.task, run.number);
            self.release(now, key, reason);
            self.stop_gang(now, task, number, reason);
        }
    }

    /// Stops the runs of a gang of which one member doesn't start. The others would only wait for
    /// it.
    pub(super) fn stop_gang(
        &mut self,
        now: Instant,
        task: Option<TaskRef>,
        number: u64,
        reason: &'static str,
    ) {
        for member in self.gang_runs(task, number) {
            self.stop(now, member, reason);
        }
    }

    /// Returns the runs with this number of the gang that a task belongs to.
    fn gang_runs(&self, task: Option<TaskRef>, number: u64) -> Vec<RunKey> {
        let open = task.and_then(|task| {
            let job = self.jobs.get(task.job)?;
            let occurrence = job.occurrences.get(&task.occurrence)?;
            occurrence.groups.get(task.step as usize)
        });
        let gang = open.filter(|group| group.is_gang).into_iter();
        gang.flat_map(|group| &group.tasks)
            .flat_map(|member| member.runs.iter().copied())
            .filter(|&run| self.runs[run].number == number)
            .collect()
    }
}
