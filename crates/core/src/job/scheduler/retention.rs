//! Retention of finished jobs.

use super::{Command, Scheduler};
use crate::time::Instant;

/// Maximum number of jobs in one removal. The store accepts 32 entries per write, one of
/// which is the condition that this leader still leads.
const MAX_JOBS: usize = 31;

impl Scheduler {
    /// Records a job that had finished before this term.
    pub fn add_finished_job(&mut self, now: Instant, id: &str) {
        self.finished_jobs.entry(id.to_owned()).or_insert(now);
    }

    /// Issues the removal of finished jobs whose retention time is over.
    pub(super) fn remove_finished(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if self.removal_in_flight {
            return;
        }
        let over = self
            .finished_jobs
            .iter()
            .filter(|(_, at)| now.saturating_since(**at) >= self.options.retention);
        let ids: Vec<String> = over.map(|(id, _)| id.clone()).take(MAX_JOBS).collect();
        if !ids.is_empty() {
            self.removal_in_flight = true;
            commands.push(Command::Remove(ids));
        }
    }

    /// Handles the result of a removal. `done` tells whether the jobs were removed from
    /// the store.
    pub fn handle_removal_outcome(&mut self, ids: &[String], done: bool) {
        self.removal_in_flight = false;
        if done {
            for id in ids {
                self.finished_jobs.remove(id);
            }
        }
    }
}
