//! Preemption: runs of lower priority are stopped to make room for a job that can't wait.
//!
//! A stopped run loses the work since its last checkpoint. Runs are therefore stopped
//! only for a job that would otherwise be late, and on the endpoint where the least work
//! is lost.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rank::{Class, Rank};
use super::{Scheduler, SchedulerEvent};
use crate::job::run::Phase;
use crate::job::{EndpointKey, JobKey, Resource, RunKey, TaskRef};
use crate::time::Instant;

/// Time before a job's latest start at which room is made for it. A stop and a start take
/// this long.
const PREEMPTION_LEAD_TIME: Duration = Duration::from_millis(300);

/// Time that a long-running task waits before room is made for it. A host joins the pool
/// in less time.
const LONG_RUNNING_MAX_WAIT: Duration = Duration::from_secs(3);

/// Runs that are to be stopped, and the capacity that this frees.
#[derive(Default)]
struct Victims {
    runs: Vec<RunKey>,
    /// Lost work, in thousandths of a core times milliseconds.
    lost: u64,
    /// Used resources of each affected endpoint after the stops and the starts that
    /// follow.
    used: BTreeMap<EndpointKey, Resource>,
}

impl Scheduler {
    /// Stops runs of lower priority to make room for tasks of an urgent job, as far as
    /// possible.
    pub(super) fn preempt(
        &mut self,
        now: Instant,
        rank: Rank,
        tasks: &[TaskRef],
        endpoints: &[EndpointKey],
    ) {
        let Some(&first) = tasks.first() else {
            return;
        };
        if !self.is_urgent(now, rank, first.job)
            || !self.is_within_limit(first, &self.step(first).demand)
            || self.is_preemption_pending(rank.priority, endpoints)
        {
            return;
        }
        let mut victims = Victims::default();
        for &task in tasks {
            if !self.add_victims(now, rank.priority, task, endpoints, &mut victims) {
                break;
            }
        }
        if victims.runs.is_empty() {
            return;
        }
        self.events.push(SchedulerEvent::Preempting {
            job: self.jobs[first.job].id.clone(),
            runs: victims.runs.len(),
            lost: victims.lost / 1_000,
        });
        for run in victims.runs {
            self.stop(now, run, "preempted by a job of higher priority");
        }
    }

    /// Adds the runs to stop for one more task, on the endpoint where the least work is
    /// lost. Returns whether there are any.
    fn add_victims(
        &self,
        now: Instant,
        priority: u32,
        task: TaskRef,
        endpoints: &[EndpointKey],
        victims: &mut Victims,
    ) -> bool {
        let reserved = self.step(task).reserved();
        let best = endpoints
            .iter()
            .filter(|&&key| {
                self.is_suitable(now, task, key)
                    && self.is_within_run_limit(key)
                    && !self.is_cold(now, key)
            })
            .filter_map(|&key| {
                let (lost, runs) =
                    self.victims_on(now, priority, key, &reserved, victims)?;
                Some((lost, runs, key))
            })
            .min_by_key(|(lost, _, _)| *lost);
        let Some((lost, runs, key)) = best else {
            return false;
        };
        let used = victims.used.entry(key).or_insert(self.endpoints[key].used);
        for &run in &runs {
            used.subtract(&self.runs[run].reserved);
        }
        used.add(&reserved);
        victims.lost += lost;
        victims.runs.extend(runs);
        true
    }

    fn is_urgent(&self, now: Instant, rank: Rank, job: JobKey) -> bool {
        match rank.class {
            Class::LongRunning => {
                let arrived_at = self.jobs[job].arrived_at;
                now.saturating_since(arrived_at) >= LONG_RUNNING_MAX_WAIT
            }
            Class::InTime => {
                rank.latest_start.saturating_since(now) <= PREEMPTION_LEAD_TIME
            }
            Class::Infeasible | Class::OverSubmissionRate | Class::Late => false,
        }
    }

    /// Returns whether a run of lower priority, or of an unknown job, is already being
    /// stopped.
    fn is_preemption_pending(&self, priority: u32, endpoints: &[EndpointKey]) -> bool {
        endpoints.iter().any(|&key| {
            let mut runs = self.endpoints[key].runs.iter();
            runs.any(|&run| {
                self.runs[run].phase.is_stopping()
                    && self.priority_of(run).is_none_or(|other| other > priority)
            })
        })
    }

    fn priority_of(&self, run: RunKey) -> Option<u32> {
        let job = self.jobs.get(self.runs[run].task?.job)?;
        Some(job.parameters.priority)
    }

    /// Returns the runs whose end frees enough capacity on an endpoint, and the work that
    /// is lost with them. Runs that lose the least work come first.
    fn victims_on(
        &self,
        now: Instant,
        priority: u32,
        key: EndpointKey,
        reserved: &Resource,
        victims: &Victims,
    ) -> Option<(u64, Vec<RunKey>)> {
        let endpoint = &self.endpoints[key];
        let mut used = victims.used.get(&key).copied().unwrap_or(endpoint.used);
        let mut candidates: Vec<(u64, RunKey)> = endpoint
            .runs
            .iter()
            .filter(|&run| !victims.runs.contains(run))
            .filter(|&&run| self.may_be_preempted(priority, run))
            .map(|&run| (self.work_lost(now, run), run))
            .collect();
        candidates.sort_unstable();
        let mut runs = Vec::new();
        let mut total_lost = 0;
        for (lost, run) in candidates {
            if reserved.fits(&used, &endpoint.registration.capacity) {
                break;
            }
            used.subtract(&self.runs[run].reserved);
            total_lost += lost;
            runs.push(run);
        }
        reserved
            .fits(&used, &endpoint.registration.capacity)
            .then_some((total_lost, runs))
    }

    /// Returns whether a run may be stopped. Long-running tasks are exempt, and so are
    /// gangs, which would fail as a whole.
    fn may_be_preempted(&self, priority: u32, key: RunKey) -> bool {
        let run = &self.runs[key];
        let Some(task) = run.task else {
            return false;
        };
        let step = self.step(task);
        matches!(run.phase, Phase::Running(_))
            && !step.long_running
            && !step.gang
            && self.jobs[task.job].parameters.priority > priority
    }

    /// Returns the work done since the run's start or, if its step saves checkpoints,
    /// since its last report, which carries its newest checkpoint.
    fn work_lost(&self, now: Instant, key: RunKey) -> u64 {
        let run = &self.runs[key];
        let since = run.task.map_or(run.sent_at, |task| {
            if self.step(task).checkpoints {
                run.percent_at
            } else {
                run.sent_at
            }
        });
        let millis = now.saturating_since(since).as_millis();
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        run.reserved.cpu.saturating_mul(millis)
    }
}
