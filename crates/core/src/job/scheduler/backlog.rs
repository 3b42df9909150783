//! The backlog of each pool: how long a job that arrives now would wait for its start, and
//! how fast capacity becomes free.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::job::estimate::{Estimate, PoolEstimate};
use crate::job::{Feature, RunKey};

/// Thousandths of a core in a core.
const CORE: u64 = 1_000;

impl Scheduler {
    /// Returns the estimate for entry hosts, or `None` unless jobs may be rejected.
    ///
    /// The wait is the shortest one: a new job starts after those that are in the feasible
    /// set and haven't begun. A job that entry hosts reject by it can't be in time.
    pub fn estimate(&self) -> Option<Estimate> {
        if !self.has_feature(Feature::Admission) {
            return None;
        }
        let mut pools: BTreeMap<String, PoolEstimate> = BTreeMap::new();
        for (pool, wait) in self.feasibility.waits() {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            pools.insert(pool.to_owned(), PoolEstimate { wait_ms, room: 0 });
        }
        for key in self.runs.keys() {
            if let Some((pool, room)) = self.room_of(key)
                && let Some(estimate) = pools.get_mut(pool)
            {
                estimate.room += room;
            }
        }
        for estimate in pools.values_mut() {
            estimate.room /= CORE;
        }
        let term = self.term.number;
        Some(Estimate { term, pools })
    }

    /// Returns the pool of a run, and the capacity that runs like it free each second, in
    /// thousandths of a core.
    fn room_of(&self, key: RunKey) -> Option<(&str, u64)> {
        let run = &self.runs[key];
        let task = run.task?;
        let job = self.jobs.get(task.job)?;
        let step = self.step(task);
        if step.long_running {
            return None;
        }
        let run_ms = self.feasibility.mean_run_ms(&job.record.queue, step);
        let room = run.reserved.cpu.saturating_mul(1_000) / run_ms.max(1);
        Some((job.pool.as_str(), room))
    }
}
