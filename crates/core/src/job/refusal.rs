//! Spreads the returns of callers that an entry host refuses because of the store.
//!
//! Callers that are all told to return after the same time return together, often at the
//! moment at which the store is back and the leader has a backlog to start.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::hash::{fnv1a, mix};
use crate::time::Instant;

/// Shortest delay, in seconds. `Retry-After` has no smaller unit.
const MIN_DELAY_S: u64 = 1;

/// Number of delays, in steps of a second, over which callers are spread that are refused
/// for the first time.
const FIRST_DELAYS: u64 = 3;

/// Like [`FIRST_DELAYS`], for callers that were refused before. Their jobs are the oldest,
/// so they return sooner.
const REPEATED_DELAYS: u64 = 2;

/// Time for which a refused job is remembered. Callers retry up to four times, after at
/// most 3 s each.
const MEMORY: Duration = Duration::from_secs(15);

/// Maximum number of remembered jobs, which bounds the memory in a long outage.
const MAX_REMEMBERED: usize = 4_096;

/// The jobs that an entry host has refused lately.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Hashes of job IDs in order of their refusals.
    recent: VecDeque<(Instant, u64)>,
    known: BTreeSet<u64>,
}

impl Refusals {
    /// Records that a job is refused now, and returns the delay after which its caller
    /// should retry.
    ///
    /// The delay follows from the job's ID, so that callers of the same moment return over
    /// several seconds.
    pub fn refuse(&mut self, now: Instant, job: &str) -> Duration {
        self.forget_old(now);
        let hash = mix(fnv1a(job.as_bytes()));
        let is_first = self.known.insert(hash);
        if is_first {
            self.recent.push_back((now, hash));
        }
        let delays = if is_first {
            FIRST_DELAYS
        } else {
            REPEATED_DELAYS
        };
        Duration::from_secs(MIN_DELAY_S + hash % delays)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(&(at, hash)) = self.recent.front() {
            let is_old = now.saturating_since(at) >= MEMORY;
            if !is_old && self.recent.len() < MAX_REMEMBERED {
                return;
            }
            self.recent.pop_front();
            self.known.remove(&hash);
        }
    }
}
