//! How long finished jobs are kept.

use super::{Command, Scheduler};
use crate::time::Instant;

/// Most jobs in one removal: the store takes 32 entries at once, one of which is the condition
/// of leadership.
const MAX_JOBS: usize = 31;

impl Scheduler {
    /// Takes note of a job that was over before this term.
    pub fn note_finished(&mut self, now: Instant, id: &str) {
        self.ended.entry(id.to_owned()).or_insert(now);
    }

    /// Has the states of jobs removed from the store whose retention time is over.
    pub(super) fn remove_finished(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if self.removal_in_flight {
            return;
        }
        let over = self
            .ended
            .iter()
            .filter(|(_, at)| now.saturating_since(**at) >= self.options.retention);
        let ids: Vec<String> = over.map(|(id, _)| id.clone()).take(MAX_JOBS).collect();
        if !ids.is_empty() {
            self.removal_in_flight = true;
            commands.push(Command::Remove(ids));
        }
    }

    /// Takes whether jobs were removed from the store.
    pub fn removed(&mut self, ids: &[String], done: bool) {
        self.removal_in_flight = false;
        if done {
            for id in ids {
                self.ended.remove(id);
            }
        }
    }
}
