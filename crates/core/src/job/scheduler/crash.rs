//! Crashes of endpoints, and the tasks that may have caused them.
//!
//! A task that crashes its endpoint usually does so soon after it starts. The runs that were
//! new at a crash are therefore suspects, and their tasks start on probation: those of each job
//! on endpoints with the least to lose, where no other job's tasks start until the endpoint has
//! outlived the start. If it crashes too, only that job is to blame. The others run to their end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::SlotMap;

use super::{Scheduler, SchedulerEvent};
use crate::job::crash::{Evidence, History, PROBATION, Timing};
use crate::job::endpoint::{Departure, Endpoint};
use crate::job::run::{Phase, Run};
use crate::job::{EndpointKey, JobKey, RunKey, State, TaskRef};
use crate::time::Instant;

mod rate;

pub(super) use rate::Rate;

/// Time after the order to start a run from which a reply shows that the endpoint has outlived
/// the start.
pub(super) const START_TIME: Duration = Duration::from_millis(100);

/// Largest share of the endpoints of a pool on which runs may be on probation at once, in
/// percent.
const MAX_PROBATION_PERCENT: usize = 75;

/// Number of jobs assumed on an endpoint that had crashed before this leader's term.
const UNKNOWN_SUSPECTS: usize = 2;

/// A task that an endpoint may have been executing when it was lost.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct Suspicion {
    pub(super) task: TaskRef,
    evidence: Evidence,
    /// Number of the crash; `None` if an earlier leader may have seen it.
    crash: Option<u64>,
}

/// The loss of an endpoint with what it was executing.
struct Loss<'a> {
    /// When contact was lost.
    at: Instant,
    endpoint: &'a Endpoint,
    /// Confirmed runs that may have caused it: the new ones or, if there are none, all.
    suspects: Vec<&'a Run>,
    /// Runs whose start wasn't confirmed.
    unconfirmed: Vec<&'a Run>,
}

impl<'a> Loss<'a> {
    fn new(now: Instant, endpoint: &'a Endpoint, runs: &'a SlotMap<RunKey, Run>) -> Self {
        let at = endpoint.silent_since.unwrap_or(now);
        let runs = endpoint.runs.iter().map(|&run| &runs[run]);
        let (started, unconfirmed): (Vec<&Run>, Vec<&Run>) = runs
            .filter(|run| !matches!(run.phase, Phase::Planned(_)))
            .partition(|run| is_confirmed(run));
        let new = started.iter().copied();
        let new: Vec<&Run> = new.filter(|run| is_suspect(endpoint, run, at)).collect();
        Self {
            at,
            endpoint,
            suspects: if new.is_empty() { started } else { new },
            unconfirmed,
        }
    }

    /// Returns the number of jobs that may have caused the loss.
    fn count_jobs(&self) -> usize {
        let runs = self.suspects.iter().chain(&self.unconfirmed);
        runs.map(|run| run.job()).collect::<BTreeSet<_>>().len()
    }

    /// Returns whether the start of tasks of a single job explains the loss, so that it says
    /// little about losses by chance.
    fn is_explained(&self) -> bool {
        let mut suspects = self.suspects.iter();
        self.count_jobs() == 1 && suspects.any(|run| run.age(self.at) < PROBATION)
    }
}

impl Suspicion {
    /// Returns a suspicion of a task that an earlier leader started on an endpoint that has
    /// crashed since.
    pub(super) fn inherited(task: TaskRef) -> Self {
        Self {
            task,
            evidence: Evidence::unconfirmed(Timing::Unclear, UNKNOWN_SUSPECTS),
            crash: None,
        }
    }
}

/// Number of endpoints of each pool on which a run is on probation.
pub(super) type ProbationCounts = BTreeMap<String, usize>;

impl Scheduler {
    /// Returns how an endpoint went away whose incarnation has ended.
    pub(super) fn departure(&self, key: EndpointKey) -> Departure {
        if self.endpoints[key].registration.draining || self.hosts.is_ordered_away(key) {
            Departure::Planned
        } else {
            Departure::Crashed
        }
    }

    /// Returns which tasks may have caused the loss of an endpoint.
    pub(super) fn suspicions(
        &mut self,
        now: Instant,
        key: EndpointKey,
        departure: Departure,
    ) -> Vec<Suspicion> {
        // An outage of the store lets the registrations of all idle endpoints expire.
        let endpoint = &self.endpoints[key];
        let has_expired = endpoint.is_idle() && endpoint.unregistered_since.is_some();
        if departure != Departure::Crashed || has_expired {
            return Vec::new();
        }
        let endpoints = self.endpoints.values();
        let up = endpoints.filter(|endpoint| endpoint.silent_since.is_none());
        self.crash_rate.advance(now, up.count());
        let crash = self.crash_rate.next_number();
        let loss = Loss::new(now, &self.endpoints[key], &self.runs);
        if !loss.is_explained() {
            self.crash_rate.record();
        }
        let jobs = loss.count_jobs();
        let suspects = loss.suspects.iter().map(|run| {
            let age = run.age(loss.at);
            let own = self.counted_crashes(run, age < PROBATION);
            let by_chance = self.crash_rate.probability_within(age, own);
            let timing = loss.endpoint.timing(run, age);
            (run.task, Evidence::new(timing, jobs, by_chance))
        });
        let unconfirmed = loss.unconfirmed.iter().map(|run| {
            let timing = if run.phase == Phase::Inherited {
                Timing::Unclear
            } else {
                Timing::Early
            };
            (run.task, Evidence::unconfirmed(timing, jobs))
        });
        let suspicion = |(task, evidence): (Option<TaskRef>, Evidence)| {
            Some(Suspicion {
                task: task?,
                evidence,
                crash: Some(crash),
            })
        };
        suspects.chain(unconfirmed).filter_map(suspicion).collect()
    }

    /// Returns how many of the crashes under the task of a run the rate of crashes contains,
    /// about: all of them if they come late, else the first one, which has other suspects.
    fn counted_crashes(&self, run: &Run, is_early: bool) -> u32 {
        let task = run
            .task
            .and_then(|task| self.jobs.get(task.job)?.task(task));
        let earlier = task.map_or(0, |task| task.crashes.crashes);
        if is_early {
            earlier.min(1)
        } else {
            earlier + 1
        }
    }

    /// Records a crash with the tasks that may have caused it, and gives up those against
    /// which too much speaks.
    pub(super) fn record_suspicions(&mut self, now: Instant, suspicions: &[Suspicion]) {
        for suspicion in suspicions {
            self.record_suspicion(now, suspicion);
        }
    }

    fn record_suspicion(&mut self, now: Instant, suspicion: &Suspicion) {
        let task = suspicion.task;
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        let Some(task_state) = job.task_mut(task).filter(|task| !task.done) else {
            return;
        };
        task_state.crashes.record(suspicion.evidence);
        task_state.crash_numbers.extend(suspicion.crash);
        let history = task_state.crashes;
        let crashes = task_state.crash_numbers.clone();
        job.mark_changed(now);
        self.events.push(SchedulerEvent::Suspected {
            name: self.task_name(task),
            history,
        });
        if history.is_exhausted() {
            self.finish(now, task.job, State::Failed, "a task crashed its endpoints");
            self.exonerate_others(&crashes);
        }
    }

    /// Ends the probation of tasks that are suspected of nothing but one of these crashes, whose
    /// cause is found.
    fn exonerate_others(&mut self, crashes: &[u64]) {
        let open = self.jobs.values_mut().filter(|job| !job.state.is_final());
        let groups = open.flat_map(|job| job.occurrences.values_mut());
        let tasks = groups.flat_map(|occurrence| &mut occurrence.groups);
        for task in tasks.flat_map(|group| &mut group.tasks) {
            if let [only] = task.crash_numbers[..]
                && task.crashes.crashes == 1
                && crashes.contains(&only)
            {
                task.crashes.exonerate();
            }
        }
    }

    /// Forgets the crashes under a task of which a run has ended on an endpoint that outlived
    /// its start.
    pub(super) fn clear_suspicion(&mut self, now: Instant, key: RunKey) {
        let run = &self.runs[key];
        if is_suspect(&self.endpoints[run.endpoint], run, now) {
            return;
        }
        if let Some(task) = run.task
            && let Some(task_state) = self.jobs[task.job].task_mut(task)
        {
            task_state.crashes = History::default();
            task_state.crash_numbers.clear();
        }
    }

    /// Returns for how long after its start the next run of a task is kept apart from others;
    /// `None` if it isn't.
    pub(super) fn probation_of(&self, task: TaskRef) -> Option<Duration> {
        let probation = self.jobs[task.job].task(task)?.crashes.probation()?;
        Some(if self.step(task).long_running {
            PROBATION
        } else {
            probation
        })
    }

    /// Returns the job of which a run on an endpoint is on probation, so that no other job's
    /// tasks may start there.
    pub(super) fn job_on_probation(
        &self,
        now: Instant,
        key: EndpointKey,
    ) -> Option<JobKey> {
        let endpoint = &self.endpoints[key];
        let run = self.runs.get(endpoint.run_on_probation?)?;
        let is_planned = matches!(run.phase, Phase::Planned(_));
        run.job()
            .filter(|_| is_planned || is_suspect(endpoint, run, now))
    }

    /// Returns whether an endpoint is kept free for a job on probation other than this one.
    pub(super) fn is_closed_to(
        &self,
        now: Instant,
        key: EndpointKey,
        job: JobKey,
    ) -> bool {
        let on_probation = self.job_on_probation(now, key);
        on_probation.is_some_and(|other| other != job)
    }

    /// Returns on how many endpoints of each pool a run is on probation.
    pub(super) fn count_probations(&self, now: Instant) -> ProbationCounts {
        let mut counts = ProbationCounts::new();
        for (key, endpoint) in &self.endpoints {
            if self.job_on_probation(now, key).is_some() {
                let pool = endpoint.registration.pool.clone();
                *counts.entry(pool).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the planned runs on probation that must not start yet, as runs of other jobs have
    /// just started on their endpoints. If one of those crashed its endpoint now, it wouldn't be
    /// clear which.
    pub(super) fn runs_awaiting_quiet(&self, now: Instant) -> BTreeSet<RunKey> {
        let on_probation = self.runs.iter().filter(|(_, run)| {
            run.probation.is_some() && matches!(run.phase, Phase::Planned(_))
        });
        on_probation
            .filter(|(_, run)| self.has_starting_runs(now, run.endpoint, run.job()))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns whether a run of another job than this one is starting on an endpoint.
    fn has_starting_runs(
        &self,
        now: Instant,
        key: EndpointKey,
        job: Option<JobKey>,
    ) -> bool {
        let mut runs = self.endpoints[key].runs.iter().map(|&run| &self.runs[run]);
        runs.any(|run| {
            let is_planned = matches!(run.phase, Phase::Planned(_));
            run.job() != job && (is_planned || run.age(now) < START_TIME)
        })
    }

    /// Returns the placement term for suspects: endpoints with a larger one have more to lose
    /// by a crash.
    pub(super) fn exposure(&self, key: EndpointKey) -> (usize, usize) {
        let runs = self.endpoints[key].runs.len();
        (self.count_long_running(key), runs)
    }
}

impl Endpoint {
    /// Returns when the crash of the endpoint came relative to the start of a run that had
    /// this age.
    fn timing(&self, run: &Run, age: Duration) -> Timing {
        if self.has_outlived_start(run) {
            Timing::Late
        } else if age < PROBATION {
            Timing::Early
        } else {
            Timing::Unclear
        }
    }

    /// Returns whether a reply shows that the endpoint has outlived the start of a run.
    fn has_outlived_start(&self, run: &Run) -> bool {
        let start_is_over = run.sent_at + START_TIME;
        self.replied_at.is_some_and(|at| at >= start_is_over)
    }
}

/// Returns on how many endpoints of a pool with `endpoints` of them runs may be on probation
/// at once.
pub(super) fn max_probations(endpoints: usize) -> usize {
    (endpoints * MAX_PROBATION_PERCENT).div_ceil(100)
}

/// Returns whether a run is the first to be suspected if its endpoint crashes at `at`.
fn is_suspect(endpoint: &Endpoint, run: &Run, at: Instant) -> bool {
    let probation = run.probation.unwrap_or(PROBATION);
    let is_start_watched = probation <= PROBATION;
    run.age(at) < probation && !(is_start_watched && endpoint.has_outlived_start(run))
}

/// Returns whether the endpoint has confirmed that a run was executing.
const fn is_confirmed(run: &Run) -> bool {
    matches!(run.phase, Phase::Running(_)) || run.phase.is_stopping()
}
