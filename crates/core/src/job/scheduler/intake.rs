//! Takes in updates from the store: the configuration, endpoints, jobs and cancellations.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use super::finish::TOO_MANY_FAILURES;
use super::{Scheduler, SchedulerEvent, rank};
use crate::job::live::Job;
use crate::job::{
    Configuration, EndpointKey, JobKey, Progress, Record, Registration, State,
};
use crate::time::{Instant, Timestamp};

/// Upper bound for the age of a job that was accepted in this term. The clocks of two
/// entry hosts may differ by more than this.
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);

/// Time for which the end of an incarnation is remembered. Its registration expires
/// within three heartbeats, but stays while the store is unavailable.
const ENDED_INCARNATION_RETENTION: Duration = Duration::from_secs(30);

/// The end of an incarnation of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedIncarnation {
    born: u64,
    at: Instant,
}

impl Scheduler {
    /// Replaces the configuration with a newer version.
    pub fn set_configuration(&mut self, now: Instant, configuration: Configuration) {
        let index = configuration.index();
        for job in self.jobs.values_mut() {
            job.configure(index.declarations(&job.record), now);
        }
        self.fail_exhausted(now);
        self.configuration = configuration;
        let endpoints: Vec<EndpointKey> = self.endpoints.keys().collect();
        for key in endpoints {
            self.update_accepts_overload(key);
        }
    }

    /// Fails the jobs with a task that has failed as often as their queues allow, which has become
    /// known now.
    fn fail_exhausted(&mut self, now: Instant) {
        let jobs = self.jobs.iter();
        let exhausted: Vec<JobKey> = jobs
            .filter(|(_, job)| !job.state.is_final() && job.has_exhausted_task())
            .map(|(key, _)| key)
            .collect();
        for key in exhausted {
            self.finish(now, key, State::Failed, TOO_MANY_FAILURES);
        }
    }

    /// Adds an endpoint or updates it from its registry entry.
    pub fn set_endpoint(&mut self, now: Instant, registration: Registration) {
        if self.is_ended_incarnation(now, &registration) {
            return;
        }
        let Some(&key) = self.endpoints_by_id.get(&registration.id) else {
            self.add_endpoint(now, registration);
            return;
        };
        match registration
            .born
            .cmp(&self.endpoints[key].registration.born)
        {
            Ordering::Less => {}
            Ordering::Equal => self.update_registration(now, key, registration),
            Ordering::Greater => {
                let successor = self.replace_incarnation(now, key, registration);
                let endpoint = &mut self.endpoints[successor];
                endpoint.unregistered_since = None;
                endpoint.is_registration_unreadable = false;
            }
        }
    }

    /// Takes over a newer registry entry of the same incarnation.
    fn update_registration(
        &mut self,
        now: Instant,
        key: EndpointKey,
        registration: Registration,
    ) {
        let endpoint = &mut self.endpoints[key];
        let earlier = endpoint.registration.capacity;
        endpoint
            .clock
            .record_registration(registration.clock_ms, now);
        endpoint.registration = registration;
        endpoint.registered_at = now;
        let capacity = endpoint.registration.capacity;
        if capacity != earlier {
            self.events.push(SchedulerEvent::EndpointResized {
                endpoint: endpoint.registration.id.clone(),
                earlier,
                capacity,
                used: endpoint.used,
                age: endpoint.least_registration_age(now),
            });
        }
        let endpoint = &mut self.endpoints[key];
        endpoint.is_registration_unreadable = false;
        endpoint.unregistered_since = None;
        self.update_evacuated(key);
        self.update_accepts_overload(key);
        self.update_cold(now, key);
    }

    /// Records that the registration of an endpoint is gone: the endpoint has left or is
    /// cut off from the store.
    pub fn set_endpoint_unregistered(&mut self, now: Instant, id: &str) {
        let Some(&key) = self.endpoints_by_id.get(id) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        endpoint.unregistered_since.get_or_insert(now);
        if endpoint.is_idle() {
            self.remove_endpoint(now, key, "registration gone");
        }
    }

    /// Removes an endpoint on which certainly nothing is executing any more.
    pub(super) fn remove_endpoint(
        &mut self,
        now: Instant,
        key: EndpointKey,
        reason: &'static str,
    ) {
        let runs: Vec<_> = self.endpoints[key].runs.iter().copied().collect();
        self.events.push(SchedulerEvent::EndpointLost {
            endpoint: self.endpoints[key].registration.id.clone(),
            reason,
            runs: runs.len(),
        });
        let departure = self.departure(key);
        let suspicions = self.suspicions(now, key, departure);
        for run in runs {
            self.release_departed(now, run, departure, reason);
        }
        self.forget_endpoint(key);
        self.record_suspicions(now, &suspicions);
    }

    /// Forgets an endpoint that has no runs left.
    pub(super) fn forget_endpoint(&mut self, key: EndpointKey) {
        self.pace_control.forget(key);
        self.recent_starts.forget(key);
        let Some(endpoint) = self.endpoints.remove(key) else {
            return;
        };
        self.has_forgotten_endpoints = true;
        let id = &endpoint.registration.id;
        if self.endpoints_by_id.get(id) == Some(&key) {
            self.endpoints_by_id.remove(id);
        }
    }

    /// Removes an endpoint whose incarnation has ended, although its registration may
    /// remain.
    pub(super) fn end_incarnation(
        &mut self,
        now: Instant,
        key: EndpointKey,
        reason: &'static str,
    ) {
        let registration = &self.endpoints[key].registration;
        let ended = EndedIncarnation {
            born: registration.born,
            at: now,
        };
        self.ended_incarnations
            .insert(registration.id.clone(), ended);
        self.remove_endpoint(now, key, reason);
    }

    /// Returns whether a registry entry belongs to an incarnation that has ended.
    fn is_ended_incarnation(
        &mut self,
        now: Instant,
        registration: &Registration,
    ) -> bool {
        self.ended_incarnations.retain(|_, ended| {
            now.saturating_since(ended.at) < ENDED_INCARNATION_RETENTION
        });
        let ended = self.ended_incarnations.get(&registration.id);
        ended.is_some_and(|ended| registration.born <= ended.born)
    }

    /// Adds an accepted job, with its saved progress and the store revision of that
    /// progress.
    ///
    /// `version` is the store revision at which the job was accepted.
    pub fn add_job(
        &mut self,
        now: Instant,
        wall: Timestamp,
        id: &str,
        version: u64,
        record: Record,
        progress: Option<(Progress, u64)>,
    ) {
        if self.jobs_by_id.contains_key(id) || self.finished_jobs.contains_key(id) {
            return;
        }
        let (progress, progress_version) =
            progress.map_or((None, 0), |(progress, version)| (Some(progress), version));
        let apparent_age = wall.saturating_since(record.submitted);
        let age = if version >= self.term.start_revision {
            apparent_age.min(MAX_FRESH_AGE)
        } else {
            apparent_age
        };
        self.events.push(SchedulerEvent::Received {
            job: id.to_owned(),
            age: apparent_age,
        });
        let arrived_at = now.saturating_sub(age);
        let declared = self.configuration.declarations(&record);
        let assigned_runs = progress
            .as_ref()
            .map(Progress::assigned_runs)
            .unwrap_or_default();
        let orphans = progress.as_ref().map(|progress| progress.orphans.clone());
        let mut job = Job::new(id.to_owned(), record, declared, progress, arrived_at);
        job.record_version = version;
        job.progress_version = progress_version;
        job.over_submission_rate = !self.is_within_submission_rate(now, &job.record);
        if version >= self.term.start_revision
            && !job.over_submission_rate
            && !rank::is_late(&job, now)
        {
            self.arrivals
                .record_job(now, apparent_age, &job.pool, &job.record);
        }
        let key = self.jobs.insert(job);
        self.jobs_by_id.insert(id.to_owned(), key);
        for assigned in assigned_runs {
            self.inherit(now, key, assigned);
        }
        self.take_over_unnamed(now, key, &orphans.unwrap_or_default());
        if self.jobs[key].has_exhausted_task() {
            self.finish(now, key, State::Failed, TOO_MANY_FAILURES);
        }
    }

    /// Cancels a job at the request of a caller.
    pub fn cancel_job(&mut self, now: Instant, id: &str) {
        let Some(&key) = self.jobs_by_id.get(id) else {
            return;
        };
        if !self.jobs[key].state.is_final() {
            self.finish(now, key, State::Cancelled, "cancelled by a caller");
        }
    }

    /// Returns the number of jobs that the scheduler holds.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs that wait for their first start, by queue.
    pub fn pending(&self) -> BTreeMap<String, usize> {
        let mut pending = BTreeMap::new();
        for job in self.jobs.values() {
            if job.state == State::Queued {
                *pending.entry(job.record.queue.clone()).or_default() += 1;
            }
        }
        pending
    }

    pub(super) fn open_occurrences(&mut self, now: Instant, wall: Timestamp) {
        for job in self.jobs.values_mut() {
            if !job.state.is_final() {
                job.open_due(now, wall, self.options.max_record_bytes);
            }
        }
    }
}
