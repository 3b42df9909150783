//! Writes to the simulated store.

use rhubarbrill_core::job::JobKey;
use rhubarbrill_core::job::scheduler::{Save, SaveOutcome};
use rhubarbrill_core::time::Instant;

use super::Simulation;

impl Simulation {
    /// Executes the writes that the store has taken its time for.
    pub(super) fn execute_slow_writes(&mut self) {
        let now = self.now;
        let is_due = |(at, _): &(Instant, Vec<Save>)| *at <= now;
        let (due, remaining) = self.slow_writes.drain(..).partition(is_due);
        self.slow_writes = remaining;
        for (_, saves) in due {
            let outcome = self.write(&saves);
            self.scheduler.handle_save_outcome(now, &saves, &outcome);
        }
    }

    /// Saves progress if the store still holds the versions that the saves replace.
    pub(super) fn write(&mut self, saves: &[Save]) -> SaveOutcome {
        if !self.store_available {
            return SaveOutcome::Unknown;
        }
        if std::mem::take(&mut self.delays_next_write) {
            self.delayed_writes.push(saves.to_vec());
            return SaveOutcome::Unknown;
        }
        self.execute_write(saves)
    }

    /// Drops the writes whose answers were lost. The store rejects those of an earlier leader.
    pub fn drop_delayed_writes(&mut self) {
        self.delayed_writes.clear();
    }

    /// Executes the writes whose answers were lost, as far as their conditions hold.
    pub fn execute_delayed_writes(&mut self) {
        for saves in std::mem::take(&mut self.delayed_writes) {
            self.execute_write(&saves);
        }
    }

    fn execute_write(&mut self, saves: &[Save]) -> SaveOutcome {
        let size = |save: &Save| {
            let encoded = serde_json::to_vec(&save.progress);
            encoded.expect("progress can be encoded").len() as u64
        };
        let largest = saves.iter().map(size).max().unwrap_or(0);
        self.observed.largest_record = self.observed.largest_record.max(largest);
        let is_refused = |save: &Save| Some(&save.id) == self.refused_job.as_ref();
        if largest > self.max_record_bytes || saves.iter().any(is_refused) {
            self.observed.refused_writes += 1;
            return SaveOutcome::Refused;
        }
        let stored_version =
            |save: &Save| self.versions.get(&format!("p{}", save.id)).copied();
        let found: Vec<(JobKey, u64)> = saves
            .iter()
            .map(|save| (save.job, stored_version(save).unwrap_or(0)))
            .collect();
        let expected = saves.iter().map(|save| (save.job, save.version));
        if !expected.eq(found.iter().copied()) {
            self.observed.conflicts += 1;
            return SaveOutcome::Conflict(found);
        }
        let lacks_record = |save: &Save| {
            let is_gone = self.finished_jobs.contains(&save.id);
            save.record_version.is_some() && is_gone
        };
        if saves.iter().any(lacks_record) {
            return SaveOutcome::Conflict(found);
        }
        self.revision += 1;
        for save in saves {
            let key = format!("p{}", save.id);
            self.progress.insert(save.id.clone(), save.progress.clone());
            if save.is_final() {
                self.finished_jobs.insert(save.id.clone());
                if save.removes_orphans {
                    self.orphans.remove(&save.id);
                } else if !save.progress.orphans.is_empty() {
                    let orphans = save.progress.orphans.clone();
                    self.orphans.insert(save.id.clone(), orphans);
                }
                self.observed
                    .finished
                    .entry(save.id.clone())
                    .or_insert(self.now);
                self.versions.remove(&key);
            } else {
                self.versions.insert(key, self.revision);
            }
        }
        SaveOutcome::Saved(self.revision)
    }
}
