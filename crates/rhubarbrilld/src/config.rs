//! The configuration revision that this entry host currently answers requests by.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use rhubarbrill_core::fleet::{Fleet, QueueKey};

/// Shares the active configuration revision among tasks.
#[derive(Debug, Default)]
pub struct ActiveRevision {
    current: RwLock<Arc<Revision>>,
}

/// One configuration revision with an index of its queue paths.
#[derive(Clone, Debug, Default)]
pub struct Revision {
    /// The declarations of this revision.
    pub fleet: Fleet,
    paths: BTreeMap<String, QueueKey>,
}

impl Revision {
    /// Returns the revision of `fleet` and indexes the paths of its queues.
    pub fn new(fleet: Fleet) -> Self {
        let paths = fleet
            .queues
            .iter()
            .map(|(key, _, queue)| (queue.path.clone(), key))
            .collect();
        Self { fleet, paths }
    }

    /// Returns the queue with the longest declared path that is `path` or a parent of it.
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

/// Returns the path without its last segment: "/" for a path of one segment, and `None`
/// for "/".
fn parent(path: &str) -> Option<&str> {
    if path == "/" {
        return None;
    }
    let end = path.rfind('/')?;
    Some(if end == 0 { "/" } else { &path[..end] })
}

impl ActiveRevision {
    /// Returns the active revision.
    pub fn get(&self) -> Arc<Revision> {
        Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Activates `revision` if it is newer than the active one; returns whether it was.
    pub fn advance(&self, revision: Arc<Revision>) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if revision.fleet.revision <= current.fleet.revision {
            return false;
        }
        *current = revision;
        true
    }
}
