//! Entries, leases and change history of an in-memory store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::store::{Change, Entry, Lease, Listing};

/// State of an in-memory store, protected by its lock.
#[derive(Debug)]
pub(super) struct State {
    revision: u64,
    compacted_revision: u64,
    entries: BTreeMap<String, StoredEntry>,
    leases: BTreeMap<Lease, LeaseState>,
    last_lease_id: i64,
    history: VecDeque<HistoryEvent>,
    history_bytes: usize,
    max_history_bytes: usize,
}

#[derive(Clone, Debug)]
struct StoredEntry {
    entry: Entry,
    lease: Option<Lease>,
}

#[derive(Debug)]
struct LeaseState {
    ttl: Duration,
    expires_at: Instant,
    keys: BTreeSet<String>,
}

#[derive(Debug)]
struct HistoryEvent {
    revision: u64,
    key: String,
    before: Option<Entry>,
    after: Option<Entry>,
}

impl State {
    /// Creates an empty state that keeps up to `max_history_bytes` of changes.
    pub(super) fn new(max_history_bytes: usize) -> Self {
        Self {
            revision: 1,
            compacted_revision: 0,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease_id: 0,
            history: VecDeque::new(),
            history_bytes: 0,
            max_history_bytes,
        }
    }

    /// Returns the revision of the last change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the oldest revision whose changes are still available.
    pub(super) fn oldest_revision(&self) -> u64 {
        self.compacted_revision + 1
    }

    pub(super) fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| stored.entry.clone())
    }

    /// Reads the keys that start with `prefix` as they were at `revision`, by undoing the
    /// later changes.
    ///
    /// The revision is clamped to the range that the history still covers.
    pub(super) fn list(&self, prefix: &str, revision: u64) -> Listing {
        let revision = revision.clamp(self.compacted_revision, self.revision);
        let mut entries: BTreeMap<&str, &Entry> = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| (key.as_str(), &stored.entry))
            .collect();
        let newest_first = self.history.iter().rev();
        for event in newest_first.take_while(|event| event.revision > revision) {
            if !event.key.starts_with(prefix) {
                continue;
            }
            match &event.before {
                Some(before) => entries.insert(&event.key, before),
                None => entries.remove(event.key.as_str()),
            };
        }
        Listing {
            entries: entries.into_values().cloned().collect(),
            revision,
        }
    }

    /// Writes or deletes one key and returns the store's revision afterwards.
    ///
    /// Deleting an absent key changes nothing.
    pub(super) fn set(
        &mut self,
        key: &str,
        value: Option<Vec<u8>>,
        lease: Option<Lease>,
    ) -> u64 {
        if value.is_some() || self.entries.contains_key(key) {
            self.revision += 1;
            self.apply(key, value, lease);
        }
        self.revision
    }

    /// Returns the changes to keys that start with `prefix`, from revision `from` on.
    pub(super) fn changes(&self, prefix: &str, from: u64) -> Vec<Change> {
        let start = self.history.partition_point(|event| event.revision < from);
        self.history
            .range(start..)
            .filter(|event| event.key.starts_with(prefix))
            .map(HistoryEvent::to_change)
            .collect()
    }

    /// Drops the history up to and including `revision`.
    pub(super) fn compact(&mut self, revision: u64) {
        self.compacted_revision =
            self.compacted_revision.max(revision.min(self.revision));
        let kept = self.compacted_revision;
        let dropped = self.history.partition_point(|event| event.revision <= kept);
        let freed_bytes: usize = self.history.drain(..dropped).map(|e| e.bytes()).sum();
        self.history_bytes -= freed_bytes;
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> Lease {
        self.last_lease_id += 1;
        let lease = Lease(self.last_lease_id);
        let state = LeaseState {
            ttl,
            expires_at: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(lease, state);
        lease
    }

    /// Renews a lease; returns false if it doesn't exist.
    pub(super) fn renew(&mut self, lease: Lease, now: Instant) -> bool {
        match self.leases.get_mut(&lease) {
            Some(state) => {
                state.expires_at = now + state.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and deletes its keys, all at the same revision.
    pub(super) fn revoke(&mut self, lease: Lease) {
        let Some(state) = self.leases.remove(&lease) else {
            return;
        };
        if state.keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in state.keys {
            self.apply(&key, None, None);
        }
    }

    pub(super) fn has_lease(&self, lease: Lease) -> bool {
        self.leases.contains_key(&lease)
    }

    pub(super) fn ttl(&self, lease: Lease) -> Option<Duration> {
        self.leases.get(&lease).map(|state| state.ttl)
    }

    /// Ends every expired lease; returns whether there was one.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let due: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, state)| state.expires_at <= now)
            .map(|(&lease, _)| lease)
            .collect();
        for &lease in &due {
            self.revoke(lease);
        }
        !due.is_empty()
    }

    /// Returns when the next lease expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|state| state.expires_at).min()
    }

    /// Changes one key at the current revision and records the change in the history.
    fn apply(&mut self, key: &str, value: Option<Vec<u8>>, lease: Option<Lease>) {
        let before = self.entries.remove(key);
        if let Some(old) = before.as_ref().and_then(|stored| stored.lease)
            && let Some(state) = self.leases.get_mut(&old)
        {
            state.keys.remove(key);
        }
        let after = value.map(|value| Entry {
            key: key.to_owned(),
            value,
            version: self.revision,
        });
        if let Some(entry) = &after {
            self.insert_entry(entry.clone(), lease);
        }
        let event = HistoryEvent {
            revision: self.revision,
            key: key.to_owned(),
            before: before.map(|stored| stored.entry),
            after,
        };
        self.history_bytes += event.bytes();
        self.history.push_back(event);
        self.trim_history();
    }

    fn insert_entry(&mut self, entry: Entry, lease: Option<Lease>) {
        if let Some(lease) = lease
            && let Some(state) = self.leases.get_mut(&lease)
        {
            state.keys.insert(entry.key.clone());
        }
        self.entries
            .insert(entry.key.clone(), StoredEntry { entry, lease });
    }

    fn trim_history(&mut self) {
        while self.history_bytes > self.max_history_bytes
            && let Some(event) = self.history.front()
        {
            self.compact(event.revision);
        }
    }
}

impl HistoryEvent {
    fn bytes(&self) -> usize {
        let entries = self.before.iter().chain(&self.after);
        let values: usize = entries.map(|entry| entry.value.len()).sum();
        size_of::<Self>() + self.key.len() + values
    }

    fn to_change(&self) -> Change {
        match &self.after {
            Some(entry) => Change::Put(entry.clone()),
            None => Change::Delete {
                key: self.key.clone(),
                revision: self.revision,
            },
        }
    }
}
