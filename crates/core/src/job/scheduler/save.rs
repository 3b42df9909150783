//! Writes the progress of jobs to the store.

use std::time::Duration;

use super::{Command, Progress, Scheduler};
use crate::job::record::AssignedEndpoint;
use crate::job::refused_save::Refusals;
use crate::job::{JobKey, RunKey, State};
use crate::time::Instant;

/// Time for which changes are collected before they are written.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of entries for jobs in one write. The store accepts 32 entries, one of
/// which is the condition that this leader still leads.
const MAX_ENTRIES: usize = 31;

/// Entries for a finished job: a condition, its state and three records that are deleted. Its
/// runs add one more.
const FINAL_ENTRIES: usize = 5;

/// Entries for an unfinished job: a condition and its progress. A changed state adds one
/// more, and so does the first write.
const PROGRESS_ENTRIES: usize = 2;

/// Maximum number of writes in flight. With several writes, a store that is slow or loses
/// answers doesn't hold up the starts of a burst.
const MAX_WRITES: usize = 16;

/// Time after which the next write no longer waits for the one before. Until then changes
/// are collected, since each write has a cost.
const SLOW_WRITE_TIME: Duration = Duration::from_millis(30);

/// The progress of one job, to be written to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Save {
    /// Key of the job.
    pub job: JobKey,
    /// Identity of the job.
    pub id: String,
    /// Progress that the store should hold.
    pub progress: Progress,
    /// Generation of the job that this progress reflects.
    pub generation: u64,
    /// Store revision of the progress that this one replaces; 0 if there is none.
    pub version: u64,
    /// Store revision of the job's record, which must still be there for the first write of
    /// progress. Otherwise one that is executed late would put back the state of a job that is
    /// finished. `None` for other writes.
    pub record_version: Option<u64>,
    /// Whether the state that is published to callers changes.
    pub is_state_new: bool,
    /// Whether an earlier write of the finished job may have stored runs of it that have ended
    /// since.
    pub removes_orphans: bool,
}

impl Save {
    /// Returns whether the job is finished, so that only its state is kept.
    pub const fn is_final(&self) -> bool {
        self.progress.state.is_final()
    }
}

/// The result of a write of progress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SaveOutcome {
    /// Everything was written, at this store revision.
    Saved(u64),
    /// Nothing was written; holds the revisions of the progress that is in the store.
    Conflict(Vec<(JobKey, u64)>),
    /// Nothing was written, and the store would refuse the same write again.
    Refused,
    /// The result is unknown. The same write may be sent again.
    Unknown,
}

impl Scheduler {
    pub(super) fn save(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let waits = self.saves_in_flight > 0
            && now.saturating_since(self.last_save_at) < SLOW_WRITE_TIME;
        if waits {
            return;
        }
        let mut due = self.jobs_to_save(now);
        due.sort_by_key(|&key| self.jobs[key].changed_at);
        let mut due = &due[..];
        while !due.is_empty() && self.saves_in_flight < MAX_WRITES {
            let (batch, rest) = due.split_at(self.batch_size(due));
            due = rest;
            self.saves_in_flight += 1;
            self.last_save_at = now;
            commands.push(Command::Save(self.prepare_saves(batch)));
        }
    }

    /// Returns the jobs whose progress is to be written now: all that have changed, if one of them
    /// can't wait any longer. The ends on an endpoint are then saved with the starts that they
    /// make room for, and can be acknowledged before these are sent.
    fn jobs_to_save(&self, now: Instant) -> Vec<JobKey> {
        let mut changed = Vec::new();
        let mut is_one_due = false;
        for (key, job) in &self.jobs {
            let may_write = !job.save_in_flight && job.refusals.is_due(now);
            let is_published = job.is_publication_due(now);
            if may_write && (!job.is_saved() || is_published) {
                let is_gathered = now.saturating_since(job.changed_at) >= BATCH_DELAY;
                let is_urgent = job.has_planned_starts || job.state.is_final();
                is_one_due |= is_gathered || is_urgent || is_published;
                changed.push(key);
            }
        }
        if is_one_due { changed } else { Vec::new() }
    }

    /// Returns how many of the jobs fit into one write, but at least one.
    fn batch_size(&self, due: &[JobKey]) -> usize {
        let mut entries = 0;
        let fits = due.iter().take_while(|&&key| {
            let job = &self.jobs[key];
            if job.refusals.is_alone() {
                return false;
            }
            entries += if job.state.is_final() {
                let has_orphans = !job.runs.is_empty() || job.has_stored_orphans;
                FINAL_ENTRIES + usize::from(has_orphans)
            } else {
                PROGRESS_ENTRIES
                    + usize::from(job.published_state != job.state)
                    + usize::from(job.is_first_write())
            };
            entries <= MAX_ENTRIES
        });
        fits.count().max(1)
    }

    fn prepare_saves(&mut self, batch: &[JobKey]) -> Vec<Save> {
        let mut saves = Vec::with_capacity(batch.len());
        for &key in batch {
            let save = self.prepare_save(key);
            let job = &mut self.jobs[key];
            job.save_in_flight = true;
            job.has_stored_orphans |=
                save.is_final() && !save.progress.orphans.is_empty();
            saves.push(save);
        }
        saves
    }

    fn prepare_save(&self, key: JobKey) -> Save {
        let job = &self.jobs[key];
        let orphans = self.orphans(key);
        let removes_orphans = job.has_stored_orphans && orphans.is_empty();
        let member = |run, number| {
            let is_named = self.runs.get(run).is_some_and(|run| run.number == number);
            self.assigned_endpoint(run).filter(|_| is_named)
        };
        let mut progress = job.snapshot(member, orphans);
        progress.fit_into(self.options.max_record_bytes);
        Save {
            job: key,
            id: job.id.clone(),
            progress,
            generation: job.generation,
            version: job.progress_version,
            record_version: job.is_first_write().then_some(job.record_version),
            is_state_new: job.published_state != job.state,
            removes_orphans,
        }
    }

    pub(super) fn assigned_endpoint(&self, run: RunKey) -> Option<AssignedEndpoint> {
        let endpoint = self.endpoints.get(self.runs.get(run)?.endpoint)?;
        let registration = &endpoint.registration;
        Some(AssignedEndpoint {
            id: registration.id.clone(),
            born: registration.born,
            address: registration.address,
            pool: registration.pool.clone(),
            host: endpoint.host.clone(),
        })
    }

    /// Handles the result of a write of progress.
    pub fn handle_save_outcome(
        &mut self,
        now: Instant,
        saves: &[Save],
        outcome: &SaveOutcome,
    ) {
        self.saves_in_flight -= 1;
        for save in saves {
            if let Some(job) = self.jobs.get_mut(save.job) {
                job.save_in_flight = false;
            }
        }
        match outcome {
            SaveOutcome::Unknown => {}
            SaveOutcome::Refused => self.handle_refused_save(now, saves),
            SaveOutcome::Conflict(versions) => {
                for &(key, version) in versions {
                    if let Some(job) = self.jobs.get_mut(key) {
                        job.progress_version = version;
                    }
                }
            }
            SaveOutcome::Saved(version) => {
                self.accepted_save_at = Some(now);
                self.newest_revision = self.newest_revision.max(*version);
                for save in saves {
                    if let Some(job) = self.jobs.get_mut(save.job) {
                        // The progress of a finished job is not kept.
                        job.progress_version = if save.is_final() { 0 } else { *version };
                        job.published_state = save.progress.state;
                        job.saved_generation = save.generation;
                        job.has_planned_starts &= job.generation > save.generation;
                        job.changed_at = now;
                        job.refusals = Refusals::default();
                    }
                }
                self.release_saved_ends(now, saves);
                for save in saves {
                    self.drop_if_finished(now, save.job);
                }
            }
        }
    }

    /// Handles a write that the store refuses for good: separates its jobs, or gives up a job
    /// that is refused alone.
    fn handle_refused_save(&mut self, now: Instant, saves: &[Save]) {
        for save in saves {
            let Some(job) = self.jobs.get_mut(save.job) else {
                continue;
            };
            if saves.len() > 1 {
                job.refusals.record_shared();
                continue;
            }
            job.refusals.record_alone(now);
            let is_exhausted = job.refusals.is_exhausted(self.accepted_save_at);
            if is_exhausted && !job.state.is_final() {
                self.finish(
                    now,
                    save.job,
                    State::Failed,
                    "the store refuses its progress",
                );
            }
        }
    }

    /// Lets endpoints forget ends whose effects are now in the store.
    fn release_saved_ends(&mut self, now: Instant, saves: &[Save]) {
        let mut settled_endpoints = Vec::new();
        for (key, endpoint) in &mut self.endpoints {
            let is_settled = endpoint.ends.release(|end| {
                let covers = |save: &Save| {
                    save.job == end.job && save.generation >= end.generation
                };
                saves.iter().any(covers)
            });
            if is_settled {
                settled_endpoints.push(key);
            }
        }
        for key in settled_endpoints {
            self.schedule_hold_after_save(now, key);
        }
    }
}
