//! Facts from the store: configuration, endpoints, jobs, cancellations.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Note, Scheduler, rank};
use crate::job::endpoint::Endpoint;
use crate::job::live::{Job, Terms};
use crate::job::{Configuration, EndpointKey, Progress, Record, Report, State};
use crate::time::{Instant, Timestamp};

/// Most that a job was on its way which came in this term: clocks of two entry hosts may
/// differ by more.
const MAX_FRESH_AGE: Duration = Duration::from_secs(1);

/// Longest time for which a hold may wait at an endpoint or be on its way. One that was meant for
/// an earlier life and reaches the next lets it forget ends that nobody has seen, so nothing
/// runs there until then.
const HOLD_BOUND: Duration = Duration::from_millis(2_300);

/// Time for which the end of an endpoint is remembered: its registration lapses within three
/// heartbeats, and stays on while the store is away.
const BURIAL_MEMORY: Duration = Duration::from_secs(30);

/// The end of a life of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Burial {
    born: u64,
    at: Instant,
}

impl Scheduler {
    /// Takes a newer configuration.
    pub fn set_configuration(&mut self, configuration: Configuration) {
        for job in self.jobs.values_mut() {
            if let Some(queue) = configuration.queue(&job.record.queue) {
                job.terms = Terms::new(&job.record, Some(queue));
            }
        }
        self.configuration = configuration;
    }

    /// Takes what an endpoint says of itself in the registry.
    pub fn set_endpoint(&mut self, now: Instant, report: Report) {
        if self.is_buried(now, &report) {
            return;
        }
        let mut usable_from = now;
        if let Some(&key) = self.by_id.get(&report.id) {
            let known = &self.endpoints[key].report;
            if report.born < known.born {
                return;
            }
            if report.born == known.born {
                let endpoint = &mut self.endpoints[key];
                endpoint.report = report;
                endpoint.unlisted_since = None;
                return;
            }
            if let Some(sent) = self.endpoints[key].hold_sent {
                usable_from = sent + HOLD_BOUND;
            }
            self.bury(now, key, "another life began");
        }
        self.notes.push(Note::EndpointUp {
            endpoint: report.id.clone(),
            pool: report.pool.clone(),
            born: report.born,
        });
        self.arrivals.host_came(&report.pool);
        let id = report.id.clone();
        let mut endpoint = Endpoint::new(report, now);
        endpoint.shunned_until = endpoint.shunned_until.max(usable_from);
        let key = self.endpoints.insert(endpoint);
        self.by_id.insert(id, key);
    }

    /// Notes that an endpoint's registration is gone: it left, or it is cut off.
    pub fn unlist_endpoint(&mut self, now: Instant, id: &str) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        let endpoint = &mut self.endpoints[key];
        endpoint.unlisted_since.get_or_insert(now);
        if endpoint.is_idle() {
            self.bury(now, key, "registration gone");
        }
    }

    /// Forgets an endpoint of which it is certain that nothing runs there any more.
    pub(super) fn bury(&mut self, now: Instant, key: EndpointKey, reason: &'static str) {
        let runs: Vec<_> = self.endpoints[key].runs.iter().copied().collect();
        self.notes.push(Note::EndpointLost {
            endpoint: self.endpoints[key].report.id.clone(),
            reason,
            runs: runs.len(),
        });
        for run in runs {
            self.release(now, run, reason);
        }
        self.paces.forget(key);
        let Some(endpoint) = self.endpoints.remove(key) else {
            return;
        };
        let id = &endpoint.report.id;
        if self.by_id.get(id) == Some(&key) {
            self.by_id.remove(id);
        }
    }

    /// Forgets an endpoint whose life is over, although it may stay registered.
    pub(super) fn end_life(
        &mut self,
        now: Instant,
        key: EndpointKey,
        reason: &'static str,
    ) {
        let report = &self.endpoints[key].report;
        let burial = Burial {
            born: report.born,
            at: now,
        };
        self.buried.insert(report.id.clone(), burial);
        self.bury(now, key, reason);
    }

    /// Returns whether a report is of a life of an endpoint that is over.
    fn is_buried(&mut self, now: Instant, report: &Report) -> bool {
        self.buried
            .retain(|_, burial| now.saturating_since(burial.at) < BURIAL_MEMORY);
        let burial = self.buried.get(&report.id);
        burial.is_some_and(|burial| report.born <= burial.born)
    }

    /// Takes an accepted job, with what the store knows of its progress.
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
        if self.by_job.contains_key(id) || self.ended.contains_key(id) {
            return;
        }
        let (progress, progress_version) =
            progress.map_or((None, 0), |(progress, version)| (Some(progress), version));
        let age = wall.saturating_since(record.submitted);
        let age = if version >= self.term.since {
            age.min(MAX_FRESH_AGE)
        } else {
            age
        };
        let came = now.saturating_sub(age);
        let queue = self.configuration.queue(&record.queue);
        let given = progress.as_ref().map(Progress::given).unwrap_or_default();
        let mut job = Job::new(id.to_owned(), record, queue, progress, came);
        job.progress_version = progress_version;
        job.over_share = !self.is_within_share(now, &job.record);
        if version >= self.term.since && !job.over_share && !rank::is_late(&job, now) {
            let pool = self.pool_of(&job.record).to_owned();
            self.arrivals.job_came(now, &pool, &job.record);
        }
        let key = self.jobs.insert(job);
        self.by_job.insert(id.to_owned(), key);
        for given in given {
            self.inherit(now, key, given);
        }
    }

    /// Takes note that a caller cancelled a job.
    pub fn cancel_job(&mut self, now: Instant, id: &str) {
        let Some(&key) = self.by_job.get(id) else {
            return;
        };
        if !self.jobs[key].state.is_final() {
            self.finish(now, key, State::Cancelled, "cancelled by a caller");
        }
    }

    /// Returns how many jobs of each queue wait for their first start.
    pub fn pending(&self) -> BTreeMap<String, usize> {
        let mut pending = BTreeMap::new();
        for job in self.jobs.values() {
            if job.state == State::Queued {
                *pending.entry(job.record.queue.clone()).or_default() += 1;
            }
        }
        pending
    }

    /// Returns the pool whose endpoints run a job now.
    pub(super) fn pool_of<'a>(&'a self, record: &'a Record) -> &'a str {
        self.configuration
            .queue(&record.queue)
            .map_or(record.pool.as_str(), |queue| queue.pool.as_str())
    }

    pub(super) fn open_occurrences(&mut self, now: Instant, wall: Timestamp) {
        for job in self.jobs.values_mut() {
            if !job.state.is_final() {
                let before = job.next_occurrence;
                job.open_due(now, wall);
                if before != job.next_occurrence && before != 0 {
                    job.touch(now);
                }
            }
        }
    }
}
