//! Retention of finished jobs, and of tombstones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Command, Scheduler};
use crate::job::Tombstone;
use crate::time::{Instant, Timestamp};

/// Maximum number of jobs in one removal. The store accepts 32 entries per write, one of
/// which is the condition that this leader still leads.
const MAX_JOBS: usize = 31;

/// Maximum number of tombstones in one removal, each of which takes two entries.
const MAX_TOMBSTONES: usize = 15;

/// Shortest time for which a leader keeps a tombstone, whatever the clocks say. No submission is
/// under way for longer.
const MIN_TOMBSTONE_TIME: Duration = Duration::from_secs(30);

/// The tombstones in the store.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    /// When the retention time of each one is over.
    expiries: BTreeMap<Tombstone, Instant>,
    removal_in_flight: bool,
}

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

    /// Records a tombstone of a job that was cancelled at `cancelled`. It is kept as long as the
    /// state of a finished job.
    pub fn add_tombstone(
        &mut self,
        now: Instant,
        wall: Timestamp,
        tombstone: Tombstone,
        cancelled: Timestamp,
    ) {
        let age = wall.saturating_since(cancelled);
        let left = self.options.retention.saturating_sub(age);
        let expiry = now + left.max(MIN_TOMBSTONE_TIME);
        self.tombstones.expiries.entry(tombstone).or_insert(expiry);
    }

    /// Issues the removal of tombstones whose retention time is over.
    pub(super) fn remove_tombstones(
        &mut self,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        if self.tombstones.removal_in_flight {
            return;
        }
        let expiries = self.tombstones.expiries.iter();
        let over = expiries.filter(|&(_, &expiry)| expiry <= now);
        let tombstones: Vec<Tombstone> = over
            .map(|(tombstone, _)| tombstone.clone())
            .take(MAX_TOMBSTONES)
            .collect();
        if !tombstones.is_empty() {
            self.tombstones.removal_in_flight = true;
            commands.push(Command::RemoveTombstones(tombstones));
        }
    }

    /// Handles the result of a removal of tombstones; `gone` are those that the store no longer
    /// holds.
    pub fn handle_tombstone_removal_outcome(&mut self, gone: &[Tombstone]) {
        self.tombstones.removal_in_flight = false;
        for tombstone in gone {
            self.tombstones.expiries.remove(tombstone);
        }
    }
}
