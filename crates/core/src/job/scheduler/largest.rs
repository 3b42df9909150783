//! The largest tenth of each queue's jobs, and how often it begins on time.
//!
//! Dropping the job with the most work serves the most jobs, and would serve none of the
//! largest. The largest tenth of a queue's jobs therefore keeps at least half of its
//! proportional share of the queue's starts on time.

use std::collections::{BTreeMap, VecDeque};

use crate::job::JobKey;

/// Number of recent jobs of a queue among which the largest tenth is determined.
const RECENT_JOBS: usize = 100;

/// Number of arrivals after which the counts of a queue are halved, so that old ones lose
/// their weight.
const MAX_ARRIVALS: u64 = 200;

/// Share of the queue's rate of starts that the largest tenth keeps, in percent. It is
/// more than half, because some of the jobs that begin end late.
const MIN_SHARE_PERCENT: u64 = 65;

/// Sizes and starts of the jobs of each queue.
#[derive(Debug, Default)]
pub(super) struct LargestJobs {
    queues: BTreeMap<String, QueueSizes>,
    /// Whether each job in the last round had begun.
    seen: BTreeMap<JobKey, bool>,
}

/// Sizes and starts of the jobs of one queue.
#[derive(Debug, Default)]
struct QueueSizes {
    /// Work of recent jobs.
    recent: VecDeque<u64>,
    /// Smallest work of the largest tenth of `recent`.
    threshold: u64,
    all: Count,
    largest: Count,
}

/// Arrivals and starts on time of some jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    arrived: u64,
    started: u64,
}

/// A job as it is counted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sized {
    pub(super) key: JobKey,
    /// Work of the whole job, in thousandths of a core times milliseconds.
    pub(super) work: u64,
    pub(super) begun: bool,
}

impl LargestJobs {
    /// Counts the arrivals and starts since the last round. `jobs` holds all jobs that
    /// aren't late, with their queues.
    pub(super) fn update<'a>(&mut self, jobs: impl Iterator<Item = (&'a str, Sized)>) {
        let before = std::mem::take(&mut self.seen);
        for (queue, job) in jobs {
            self.seen.insert(job.key, job.begun);
            let known = before.get(&job.key);
            if known == Some(&job.begun) {
                continue;
            }
            let sizes = self.queues.entry(queue.to_owned()).or_default();
            if known.is_none() {
                sizes.record_arrival(job.work);
            }
            if job.begun {
                sizes.record_start(job.work);
            }
        }
    }

    /// Returns whether a job belongs to the largest tenth of its queue.
    pub(super) fn is_largest(&self, queue: &str, work: u64) -> bool {
        let sizes = self.queues.get(queue);
        sizes.is_some_and(|sizes| sizes.is_largest(work))
    }

    /// Returns how many of the largest jobs of each queue must begin for their share.
    pub(super) fn missing(&self) -> BTreeMap<&str, u64> {
        let queues = self.queues.iter();
        queues
            .map(|(name, sizes)| (name.as_str(), sizes.missing()))
            .collect()
    }
}

impl QueueSizes {
    fn record_arrival(&mut self, work: u64) {
        self.recent.push_back(work);
        if self.recent.len() > RECENT_JOBS {
            self.recent.pop_front();
        }
        let mut sorted: Vec<u64> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        self.threshold = sorted[sorted.len() - sorted.len().div_ceil(10)];
        if self.all.arrived >= MAX_ARRIVALS {
            self.all.halve();
            self.largest.halve();
        }
        self.all.arrived += 1;
        self.largest.arrived += u64::from(self.is_largest(work));
    }

    fn record_start(&mut self, work: u64) {
        self.all.started += 1;
        self.largest.started += u64::from(self.is_largest(work));
    }

    const fn is_largest(&self, work: u64) -> bool {
        work >= self.threshold
    }

    fn missing(&self) -> u64 {
        let share = self.all.started * self.largest.arrived * MIN_SHARE_PERCENT;
        let owed = share.div_ceil(100 * self.all.arrived.max(1));
        owed.saturating_sub(self.largest.started)
    }
}

impl Count {
    const fn halve(&mut self) {
        self.arrived /= 2;
        self.started /= 2;
    }
}
