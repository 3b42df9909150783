//! Tombstones: records of jobs that were cancelled before they were accepted.
//!
//! A caller may cancel a job whose submission got no answer. The write that accepts the job may
//! still be executed, or made again by the entry host that received the submission. The
//! tombstone is stored under the key of the job, which that write requires not to exist.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rate_limit::{Bucket, Rate};
use crate::time::Instant;

/// Part of the store's writes that tombstones may take. The others are needed for jobs.
const STORE_SHARE_DIVISOR: u64 = 20;

/// Writes per second that the store is assumed to take if its settings don't tell.
const DEFAULT_STORE_WRITES: u32 = 400;

/// Number of entry hosts that is assumed while none is known.
const DEFAULT_ENTRY_HOSTS: u64 = 8;

/// Part of an entry host's tombstones that one workspace may write.
const WORKSPACE_SHARE_DIVISOR: u64 = 2;

/// Time over which unused tombstones accumulate. Callers cancel together after an outage.
const BURST: Duration = Duration::from_secs(10);

/// A tombstone in the store.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Tombstone {
    /// Identity of the job.
    pub id: String,
    /// Store revision of the tombstone.
    pub revision: u64,
}

/// Limit on the tombstones that an entry host writes.
#[derive(Debug)]
pub struct Budget {
    /// Rate of all entry hosts together, in thousandths of a tombstone per second.
    permille: u64,
    all: Bucket,
    workspaces: BTreeMap<Option<String>, Bucket>,
}

impl Budget {
    /// Returns the limit for a store that takes `store_writes` per second; `None` if its settings
    /// don't tell.
    pub fn new(store_writes: Option<u32>) -> Self {
        let writes = u64::from(store_writes.unwrap_or(DEFAULT_STORE_WRITES));
        Self {
            permille: writes * 1_000 / STORE_SHARE_DIVISOR,
            all: Bucket::new(Instant::ZERO),
            workspaces: BTreeMap::new(),
        }
    }

    /// Returns whether a workspace may write a tombstone now, and counts it if so. The rate is
    /// divided among `entry_hosts`, the number of those that are known.
    pub fn take(
        &mut self,
        now: Instant,
        entry_hosts: usize,
        workspace: Option<&str>,
    ) -> bool {
        let hosts = match u64::try_from(entry_hosts).unwrap_or(u64::MAX) {
            0 => DEFAULT_ENTRY_HOSTS,
            known => known,
        };
        let rate = Rate {
            permille: self.permille / hosts,
            burst: BURST,
        };
        let workspace_rate = Rate {
            permille: rate.permille / WORKSPACE_SHARE_DIVISOR,
            burst: BURST,
        };
        let bucket = self
            .workspaces
            .entry(workspace.map(str::to_owned))
            .or_insert(Bucket::new(now));
        let is_within =
            self.all.has_room(now, rate) && bucket.has_room(now, workspace_rate);
        if is_within {
            self.all.add();
            bucket.add();
        }
        is_within
    }
}
