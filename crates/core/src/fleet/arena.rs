//! An arena whose entries are found by a small `Copy` key or by name.

use std::collections::BTreeMap;

use slotmap::{Key, SlotMap};

/// Entries of one kind, each with a unique name and a stable key.
///
/// # Example
///
/// ```
/// use rhubarbrill_core::fleet::{Arena, Zone, ZoneKey};
///
/// let mut zones: Arena<ZoneKey, Zone> = Arena::default();
/// let key = zones.upsert("z1", Zone { region: "south".into() });
/// assert_eq!(zones.find("z1"), Some(key));
/// assert_eq!(zones.name(key), Some("z1"));
/// ```
#[derive(Clone, Debug)]
pub struct Arena<K: Key, V> {
    entries: SlotMap<K, Entry<V>>,
    names: BTreeMap<String, K>,
}

#[derive(Clone, Debug)]
struct Entry<V> {
    name: String,
    value: V,
}

impl<K: Key, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            names: BTreeMap::new(),
        }
    }
}

impl<K: Key, V> Arena<K, V> {
    /// Inserts an entry, or replaces the value of the entry with that name and keeps its
    /// key.
    pub fn upsert(&mut self, name: &str, value: V) -> K {
        if let Some(&key) = self.names.get(name) {
            self.entries[key].value = value;
            return key;
        }
        let key = self.entries.insert(Entry {
            name: name.to_owned(),
            value,
        });
        self.names.insert(name.to_owned(), key);
        key
    }

    /// Removes the entry with that name and returns its value.
    ///
    /// Its key becomes invalid, also when the name is inserted again.
    pub fn remove(&mut self, name: &str) -> Option<V> {
        let key = self.names.remove(name)?;
        self.entries.remove(key).map(|entry| entry.value)
    }

    /// Returns the key of the entry with that name.
    pub fn find(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    /// Returns the value of the entry with that key.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Returns the name of the entry with that key.
    pub fn name(&self, key: K) -> Option<&str> {
        self.entries.get(key).map(|entry| entry.name.as_str())
    }

    /// Returns the entries, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (K, &str, &V)> {
        self.names
            .values()
            .filter_map(|&key| Some((key, self.name(key)?, self.get(key)?)))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the arena has no entries.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
