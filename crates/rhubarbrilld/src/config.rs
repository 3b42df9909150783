//! The configuration in force at this entry host.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use rhubarbrill_core::fleet::{Fleet, QueueKey};

/// Shares the revision in force among tasks.
#[derive(Debug, Default)]
pub struct ActiveRevision {
    current: RwLock<Arc<Revision>>,
}

/// One configuration revision, ready to answer requests by.
#[derive(Clone, Debug, Default)]
pub struct Revision {
    /// The declarations.
    pub fleet: Fleet,
    paths: BTreeMap<String, QueueKey>,
}

impl Revision {
    /// Returns a revision with its index of paths.
    pub fn new(fleet: Fleet) -> Self {
        let paths = fleet
            .queues
            .iter()
            .map(|(key, _, queue)| (queue.path.clone(), key))
            .collect();
        Self { fleet, paths }
    }

    /// Returns the queue whose path is the longest that `path` lies under.
    pub fn queue_for_path(&self, path: &str) -> Option<QueueKey> {
        let mut rest = path;
        loop {
            if let Some(&key) = self.paths.get(rest) {
                return Some(key);
            }
            rest = parent(rest)?;
        }
    }
}

/// Returns the path one segment shorter; "/" after the last one.
fn parent(path: &str) -> Option<&str> {
    if path == "/" {
        return None;
    }
    let cut = path.rfind('/')?;
    Some(if cut == 0 { "/" } else { &path[..cut] })
}

impl ActiveRevision {
    /// Returns the revision in force.
    pub fn get(&self) -> Arc<Revision> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a newer revision in force; returns whether it was newer.
    pub fn advance(&self, revision: Arc<Revision>) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if revision.fleet.revision <= current.fleet.revision {
            return false;
        }
        *current = revision;
        true
    }
}
