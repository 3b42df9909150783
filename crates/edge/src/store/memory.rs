//! In-memory store, for the quick start and tests.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use self::state::State;
use super::{Change, Entry, Error, Expect, Lease, Listing, Store, Swap, Swapped};

mod state;

/// Maximum size of the change history that a store keeps for watches, in bytes.
const MAX_HISTORY_BYTES: usize = 16 << 20;

/// Default time without a change after which a watch ends.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// An in-memory store.
///
/// Clones are handles to the same store. Leases expire by the monotonic clock.
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
    idle_timeout: Duration,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// An open watch on a [`Memory`].
#[derive(Debug)]
pub struct Watch {
    shared: Arc<Shared>,
    idle_timeout: Duration,
    prefix: String,
    next_revision: u64,
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
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }

    /// Returns a handle whose watches end after `idle_timeout` without a change.
    ///
    /// The default is 60 s.
    #[must_use]
    pub fn with_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Returns the store revision of the last change.
    pub fn revision(&self) -> u64 {
        self.shared.lock().revision()
    }

    /// Reads every key that starts with `prefix` as it was `lag` revisions ago.
    ///
    /// If that revision has been compacted, the oldest available state is read instead.
    pub fn list_stale(&self, prefix: &str, lag: u64) -> Listing {
        let state = self.shared.lock();
        let revision = state.revision().saturating_sub(lag);
        state.list(prefix, revision)
    }

    /// Compacts the history up to and including `revision`.
    ///
    /// Watches that still need one of these revisions fail.
    pub fn compact(&self, revision: u64) {
        self.shared.lock().compact(revision);
        self.shared.changed.notify_all();
    }

    /// Returns the time to live that a lease was granted with; `None` if it has ended.
    pub fn ttl(&self, lease: Lease) -> Option<Duration> {
        self.shared.lock().ttl(lease)
    }

    /// Returns the oldest revision that a watch may start from.
    pub fn oldest_revision(&self) -> u64 {
        self.shared.lock().oldest_revision()
    }
}

impl Shared {
    /// Locks the state after ending every expired lease; wakes the watches if any
    /// expired.
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
        swap.validate()?;
        let mut state = self.shared.lock();
        let found = state.get(&swap.key);
        if !is_met(swap.expect, found.as_ref()) {
            return Ok(Swapped::Conflict(found));
        }
        if let Some(lease) = swap.lease
            && !state.has_lease(lease)
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

    fn watch(&self, prefix: &str, start_revision: u64) -> Result<Watch, Error> {
        let oldest = self.shared.lock().oldest_revision();
        if start_revision.max(1) < oldest {
            return Err(Error::compacted(format!(
                "the oldest available revision is {oldest}"
            )));
        }
        Ok(Watch {
            shared: Arc::clone(&self.shared),
            idle_timeout: self.idle_timeout,
            prefix: prefix.to_owned(),
            next_revision: start_revision.max(1),
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
    /// Waits for the next changes; returns an empty list after the idle timeout.
    ///
    /// # Errors
    ///
    /// Fails when the store has compacted the next revision that the watch needs.
    pub fn wait(&mut self) -> Result<Vec<Change>, Error> {
        let deadline = Instant::now() + self.idle_timeout;
        loop {
            let state = self.shared.lock();
            let oldest = state.oldest_revision();
            if self.next_revision < oldest {
                return Err(Error::compacted(format!(
                    "the oldest available revision is {oldest}"
                )));
            }
            let changes = state.changes(&self.prefix, self.next_revision);
            self.next_revision = self.next_revision.max(state.revision() + 1);
            let now = Instant::now();
            if !changes.is_empty() || now >= deadline {
                return Ok(changes);
            }
            let wake_at = state.next_expiry().map_or(deadline, |at| at.min(deadline));
            let timeout = wake_at.saturating_duration_since(now);
            drop(self.shared.changed.wait_timeout(state, timeout));
        }
    }
}

fn is_met(expect: Expect, found: Option<&Entry>) -> bool {
    match expect {
        Expect::Absent => found.is_none(),
        Expect::Version(version) => found.is_some_and(|entry| entry.version == version),
    }
}
