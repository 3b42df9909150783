//! Entries, leases and history of a store in memory.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::store::{Change, Entry, Lease, Listing};

/// Everything behind the lock of a store in memory.
#[derive(Debug)]
pub(super) struct State {
    revision: u64,
    compacted: u64,
    entries: BTreeMap<String, Stored>,
    leases: BTreeMap<Lease, Term>,
    last_lease: i64,
    history: VecDeque<Event>,
    history_bytes: usize,
    max_history_bytes: usize,
}

#[derive(Clone, Debug)]
struct Stored {
    entry: Entry,
    lease: Option<Lease>,
}

#[derive(Debug)]
struct Term {
    ttl: Duration,
    ends: Instant,
    keys: BTreeSet<String>,
}

#[derive(Debug)]
struct Event {
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
            compacted: 0,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
            history_bytes: 0,
            max_history_bytes,
        }
    }

    /// Returns the revision of the last change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the oldest revision whose changes are still kept.
    pub(super) fn oldest_revision(&self) -> u64 {
        self.compacted + 1
    }

    pub(super) fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| stored.entry.clone())
    }

    /// Reads the keys below `prefix` as they were at `revision`.
    pub(super) fn list(&self, prefix: &str, revision: u64) -> Listing {
        let revision = revision.clamp(self.compacted, self.revision);
        let mut entries: BTreeMap<&str, &Entry> = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| (key.as_str(), &stored.entry))
            .collect();
        let undone = self.history.iter().rev();
        for event in undone.take_while(|event| event.revision > revision) {
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

    /// Writes or deletes one key and returns the new revision.
    pub(super) fn set(
        &mut self,
        key: &str,
        value: Option<Vec<u8>>,
        lease: Option<Lease>,
    ) -> u64 {
        if value.is_some() || self.entries.contains_key(key) {
            self.revision += 1;
            self.record(key, value, lease);
        }
        self.revision
    }

    /// Returns the changes below `prefix` from revision `from` on.
    pub(super) fn changes(&self, prefix: &str, from: u64) -> Vec<Change> {
        let start = self.history.partition_point(|event| event.revision < from);
        self.history
            .range(start..)
            .filter(|event| event.key.starts_with(prefix))
            .map(Event::to_change)
            .collect()
    }

    /// Drops the history up to and including `revision`.
    pub(super) fn compact(&mut self, revision: u64) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let kept = self.compacted;
        let dropped = self.history.partition_point(|event| event.revision <= kept);
        let freed: usize = self.history.drain(..dropped).map(|e| e.bytes()).sum();
        self.history_bytes -= freed;
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> Lease {
        self.last_lease += 1;
        let lease = Lease(self.last_lease);
        let term = Term {
            ttl,
            ends: now + ttl,
            keys: BTreeSet::new(),
        };
        self.leases.insert(lease, term);
        lease
    }

    /// Renews a lease; returns false when there is none.
    pub(super) fn renew(&mut self, lease: Lease, now: Instant) -> bool {
        match self.leases.get_mut(&lease) {
            Some(term) => {
                term.ends = now + term.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and deletes its keys, all at one revision.
    pub(super) fn revoke(&mut self, lease: Lease) {
        let Some(term) = self.leases.remove(&lease) else {
            return;
        };
        if term.keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in term.keys {
            self.record(&key, None, None);
        }
    }

    pub(super) fn holds(&self, lease: Lease) -> bool {
        self.leases.contains_key(&lease)
    }

    pub(super) fn ttl(&self, lease: Lease) -> Option<Duration> {
        self.leases.get(&lease).map(|term| term.ttl)
    }

    /// Ends every lease that is due; returns whether any was.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let due: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, term)| term.ends <= now)
            .map(|(&lease, _)| lease)
            .collect();
        for &lease in &due {
            self.revoke(lease);
        }
        !due.is_empty()
    }

    /// Returns when the next lease ends.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|term| term.ends).min()
    }

    /// Changes one key at the present revision.
    fn record(&mut self, key: &str, value: Option<Vec<u8>>, lease: Option<Lease>) {
        let before = self.entries.remove(key);
        if let Some(old) = before.as_ref().and_then(|stored| stored.lease)
            && let Some(term) = self.leases.get_mut(&old)
        {
            term.keys.remove(key);
        }
        let after = value.map(|value| Entry {
            key: key.to_owned(),
            value,
            version: self.revision,
        });
        if let Some(entry) = &after {
            self.attach(entry.clone(), lease);
        }
        let event = Event {
            revision: self.revision,
            key: key.to_owned(),
            before: before.map(|stored| stored.entry),
            after,
        };
        self.history_bytes += event.bytes();
        self.history.push_back(event);
        self.trim();
    }

    fn attach(&mut self, entry: Entry, lease: Option<Lease>) {
        if let Some(lease) = lease
            && let Some(term) = self.leases.get_mut(&lease)
        {
            term.keys.insert(entry.key.clone());
        }
        self.entries
            .insert(entry.key.clone(), Stored { entry, lease });
    }

    fn trim(&mut self) {
        while self.history_bytes > self.max_history_bytes
            && let Some(event) = self.history.front()
        {
            self.compact(event.revision);
        }
    }
}

impl Event {
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
