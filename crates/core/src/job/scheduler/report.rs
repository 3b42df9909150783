//! Processes the reports of endpoints: which runs are active and which have ended.

use std::cmp::Ordering;

use super::absence::Proof;
use super::finish::ReportedEnd;
use super::outcome::{ActiveRun, EndedRun, HoldOutcome, OrderOutcome, Rejection};
use super::reply::RETRY_PAUSE;
use super::{Scheduler, SchedulerEvent};
use crate::job::acknowledgement::UnsavedEnd;
use crate::job::endpoint::Reachability;
use crate::job::gang::Work;
use crate::job::run::Phase;
use crate::job::{EndpointKey, Registration, RunEnd, RunKey, TaskName, TaskRef};
use crate::time::Instant;

impl Scheduler {
    /// Handles the result of a hold that was issued at `sent`.
    pub fn handle_hold_outcome(
        &mut self,
        now: Instant,
        key: EndpointKey,
        sent: Instant,
        hold_outcome: HoldOutcome,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        if endpoint.hold_sent_at == Some(sent) {
            endpoint.hold_sent_at = None;
        }
        match hold_outcome {
            HoldOutcome::NotReported(outcome) => {
                endpoint.next_hold = now + RETRY_PAUSE;
                let acknowledged = endpoint.ends.record_failure();
                if let Some(acknowledged) = acknowledged
                    && outcome == OrderOutcome::Unknown
                {
                    endpoint.fence.use_up();
                    self.events.push(SchedulerEvent::AcknowledgementUnanswered {
                        endpoint: endpoint.registration.id.clone(),
                        born: endpoint.registration.born,
                        acknowledged,
                    });
                }
                if let OrderOutcome::Rejected(Rejection::Fenced, _) = outcome {
                    self.handle_fenced(now, key, sent);
                }
                self.update_reachability(now, key, sent, outcome);
            }
            HoldOutcome::Reported(report) => {
                let Some(key) = self.reporting_incarnation(now, key, report.born) else {
                    return;
                };
                let endpoint = &mut self.endpoints[key];
                endpoint.ends.record_report(sent);
                self.update_reachability(
                    now,
                    key,
                    sent,
                    OrderOutcome::Done(Some(report.clock_ms)),
                );
                self.process_ends(now, key, &report.ended);
                let proof = Proof::new(sent, report.coverage);
                self.process_running(now, key, proof, &report.running);
                self.learn_interference(now, key);
                self.schedule_next_hold(now, key);
            }
        }
    }

    /// Returns the incarnation of an endpoint that a report is from, which may be newer than the
    /// known one; `None` if it is an earlier one. A report without a start time counts as one of
    /// the known incarnation.
    fn reporting_incarnation(
        &mut self,
        now: Instant,
        key: EndpointKey,
        born: Option<u64>,
    ) -> Option<EndpointKey> {
        let registration = &self.endpoints[key].registration;
        match born.map_or(Ordering::Equal, |born| born.cmp(&registration.born)) {
            Ordering::Less => None,
            Ordering::Equal => Some(key),
            Ordering::Greater => {
                let registration = Registration {
                    born: born?,
                    clock_ms: 0,
                    ..registration.clone()
                };
                Some(self.replace_incarnation(now, key, registration))
            }
        }
    }

    fn process_ends(&mut self, now: Instant, key: EndpointKey, ended: &[EndedRun]) {
        for reported in ended {
            let endpoint = &mut self.endpoints[key];
            if !endpoint.ends.begin(reported.sequence) {
                continue;
            }
            if reported.outcome == RunEnd::Done {
                endpoint.record_success();
            }
            let id = endpoint.registration.id.clone();
            self.events.push(SchedulerEvent::Ended {
                name: reported.name.clone(),
                number: reported.number,
                endpoint: id,
                end: reported.outcome,
            });
            self.process_end(now, key, reported);
        }
    }

    fn process_end(&mut self, now: Instant, key: EndpointKey, reported: &EndedRun) {
        if let Some(run) = self.find_run(key, &reported.name, reported.number) {
            if reported.outcome == RunEnd::Done {
                self.learn_run_time(now, run);
                self.observe_run_time(now, run);
                self.observe_pace(now, run);
            }
            self.clear_suspicion(now, run);
            self.remove_run(now, run);
        }
        let end = ReportedEnd {
            number: reported.number,
            outcome: reported.outcome,
            checkpoint: &reported.checkpoint,
            endpoint: key,
        };
        if let Some(task) = self.find_task(&reported.name) {
            self.jobs[task.job].begin(now);
            self.handle_run_end(now, task, &end);
        }
        // An end that is reported again may belong to an occurrence that is closed already,
        // but not yet in the store.
        let Some(&job) = self.jobs_by_id.get(&reported.name.job) else {
            return;
        };
        if !self.jobs[job].is_saved() {
            let unsaved = UnsavedEnd {
                sequence: reported.sequence,
                job,
                generation: self.jobs[job].generation,
            };
            self.endpoints[key].ends.add_unsaved(unsaved);
        }
        self.drop_if_finished(now, job);
    }

    fn process_running(
        &mut self,
        now: Instant,
        key: EndpointKey,
        proof: Proof,
        running: &[ActiveRun],
    ) {
        let mut listed = Vec::with_capacity(running.len());
        for reported in running {
            match self.find_run(key, &reported.name, reported.number) {
                Some(run) => {
                    listed.push(run);
                    self.update_run(now, run, reported);
                }
                None => listed.extend(self.adopt(now, key, reported)),
            }
        }
        let missing: Vec<RunKey> = self.endpoints[key]
            .runs
            .iter()
            .copied()
            .filter(|run| !listed.contains(run))
            .collect();
        self.handle_missing_runs(now, &missing, proof);
        let endpoint = &mut self.endpoints[key];
        if endpoint.reachability == Reachability::Unknown {
            endpoint.reachability = Reachability::Reachable;
        }
    }

    pub(super) fn update_run(&mut self, now: Instant, key: RunKey, reported: &ActiveRun) {
        self.begin_job_of(now, key);
        let run = &mut self.runs[key];
        run.percent = reported.percent;
        run.percent_at = now;
        run.gauge = reported.gauge;
        run.is_reported = true;
        run.suspicion = None;
        if matches!(
            run.phase,
            Phase::Inherited | Phase::Starting | Phase::Unconfirmed
        ) {
            run.phase = Phase::Running(now);
        }
        if let Some(task) = run.task {
            let done = Work::Percent(reported.percent);
            let (value, number) = (&reported.checkpoint, reported.number);
            self.jobs[task.job].record_checkpoint(task, value, number, done);
        }
    }

    pub(super) fn find_run(
        &self,
        endpoint: EndpointKey,
        name: &TaskName,
        number: u64,
    ) -> Option<RunKey> {
        let endpoint = self.endpoints.get(endpoint)?;
        endpoint.runs.iter().copied().find(|&key| {
            let run = &self.runs[key];
            run.number == number && run.name == *name
        })
    }

    pub(super) fn find_task(&self, name: &TaskName) -> Option<TaskRef> {
        let job = *self.jobs_by_id.get(&name.job)?;
        let task = TaskRef {
            job,
            occurrence: name.occurrence,
            step: name.step,
            index: name.index,
        };
        self.jobs[job].task(task).map(|_| task)
    }
}
