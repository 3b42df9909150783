//! The store in memory, for the quick start and tests.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use self::state::State;
use super::{Change, Entry, Error, Expect, Lease, Listing, Store, Swap, Swapped};

mod state;

/// Bytes of past changes that a store keeps for watches.
const MAX_HISTORY_BYTES: usize = 16 << 20;

/// Time without a change after which a watch ends by default.
const WATCH_IDLE: Duration = Duration::from_secs(60);

/// A store in memory.
///
/// Clones are handles to the same store. Leases end by the monotonic clock.
///
/// # Example
///
/// ```
/// use rhubarbrill_edge::store::{Expect, Memory, Store, Swap, Swapped};
///
/// let store = Memory::new();
/// let swap = Swap {
///     key: "config/head".into(),
///     expect: Expect::Absent,
///     value: Some(b"1".to_vec()),
///     lease: None,
/// };
/// assert!(matches!(store.swap(swap.clone())?, Swapped::Done(_)));
/// assert!(matches!(store.swap(swap)?, Swapped::Conflict(Some(_))));
/// # Ok::<(), rhubarbrill_edge::store::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Memory {
    shared: Arc<Shared>,
    idle: Duration,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A watch on a [`Memory`].
#[derive(Debug)]
pub struct Watch {
    shared: Arc<Shared>,
    idle: Duration,
    prefix: String,
    next: u64,
    pending: std::vec::IntoIter<Change>,
    failed: bool,
}

impl Default for Memory {
    fn default() -> Self {
        Self::new()
    }
}

impl Memory {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(State::new(MAX_HISTORY_BYTES)),
                changed: Condvar::new(),
            }),
            idle: WATCH_IDLE,
        }
    }

    /// Returns a handle whose watches end after `idle` without a change.
    #[must_use]
    pub fn with_idle_timeout(mut self, idle: Duration) -> Self {
        self.idle = idle;
        self
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.shared.lock().revision()
    }

    /// Reads every key that starts with `prefix` as it was `lag` revisions ago.
    ///
    /// History that is no longer kept limits how far back the reading goes.
    pub fn list_stale(&self, prefix: &str, lag: u64) -> Listing {
        let state = self.shared.lock();
        let revision = state.revision().saturating_sub(lag);
        state.list(prefix, revision)
    }

    /// Drops the history up to and including `revision`.
    pub fn compact(&self, revision: u64) {
        self.shared.lock().compact(revision);
        self.shared.changed.notify_all();
    }

    /// Returns the time to live that a lease was granted for.
    pub fn ttl(&self, lease: Lease) -> Option<Duration> {
        self.shared.lock().ttl(lease)
    }

    /// Returns the oldest revision that a watch may start from.
    pub fn oldest_revision(&self) -> u64 {
        self.shared.lock().oldest_revision()
    }
}

impl Shared {
    /// Locks the state, with every lease that has ended removed.
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.expire(Instant::now()) {
            self.changed.notify_all();
        }
        state
    }
}

impl Store for Memory {
    type Watch = Watch;

    fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        Ok(self.shared.lock().get(key))
    }

    fn list(&self, prefix: &str) -> Result<Listing, Error> {
        Ok(self.list_stale(prefix, 0))
    }

    fn swap(&self, swap: Swap) -> Result<Swapped, Error> {
        swap.check()?;
        let mut state = self.shared.lock();
        let found = state.get(&swap.key);
        if !matches(swap.expect, found.as_ref()) {
            return Ok(Swapped::Conflict(found));
        }
        if let Some(lease) = swap.lease
            && !state.holds(lease)
        {
            return Err(Error::not_found(format!("{}", lease.0)));
        }
        let revision = state.set(&swap.key, swap.value, swap.lease);
        self.shared.changed.notify_all();
        Ok(Swapped::Done(revision))
    }

    fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        Ok(self.shared.lock().grant(ttl, Instant::now()))
    }

    fn renew(&self, lease: Lease) -> Result<bool, Error> {
        Ok(self.shared.lock().renew(lease, Instant::now()))
    }

    fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.shared.lock().revoke(lease);
        self.shared.changed.notify_all();
        Ok(())
    }

    fn watch(&self, prefix: &str, from: u64) -> Result<Watch, Error> {
        let oldest = self.shared.lock().oldest_revision();
        if from.max(1) < oldest {
            return Err(Error::compacted(format!("oldest kept is {oldest}")));
        }
        Ok(Watch {
            shared: Arc::clone(&self.shared),
            idle: self.idle,
            prefix: prefix.to_owned(),
            next: from.max(1),
            pending: Vec::new().into_iter(),
            failed: false,
        })
    }
}

impl Iterator for Watch {
    type Item = Result<Change, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.failed {
            return None;
        }
        if let Some(change) = self.pending.next() {
            return Some(Ok(change));
        }
        match self.wait() {
            Ok(changes) => {
                self.pending = changes.into_iter();
                self.pending.next().map(Ok)
            }
            Err(error) => {
                self.failed = true;
                Some(Err(error))
            }
        }
    }
}

impl Watch {
    /// Waits for the next changes; returns none after the idle bound.
    ///
    /// # Errors
    ///
    /// Fails when the store has dropped the revision that the watch has come to.
    pub fn wait(&mut self) -> Result<Vec<Change>, Error> {
        let deadline = Instant::now() + self.idle;
        loop {
            let state = self.shared.lock();
            let oldest = state.oldest_revision();
            if self.next < oldest {
                return Err(Error::compacted(format!("oldest kept is {oldest}")));
            }
            let changes = state.changes(&self.prefix, self.next);
            self.next = self.next.max(state.revision() + 1);
            let now = Instant::now();
            if !changes.is_empty() || now >= deadline {
                return Ok(changes);
            }
            let until = state.next_expiry().map_or(deadline, |at| at.min(deadline));
            let span = until.saturating_duration_since(now);
            drop(self.shared.changed.wait_timeout(state, span));
        }
    }
}

fn matches(expect: Expect, found: Option<&Entry>) -> bool {
    match expect {
        Expect::Absent => found.is_none(),
        Expect::Version(version) => found.is_some_and(|entry| entry.version == version),
    }
}
