//! What ran, counted over every endpoint that shares the tally.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Runs by identity and by workspace, over every endpoint that shares it.
///
/// Clones are handles to the same tally.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counts: Arc<Mutex<Counts>>,
}

/// Runs of one workspace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Runs that are going on.
    pub running: u32,
    /// Most runs that went on at once.
    pub max_running: u32,
    /// Runs that were started.
    pub started: u64,
}

#[derive(Debug, Default)]
struct Counts {
    workspaces: BTreeMap<String, Usage>,
    identities: BTreeMap<String, u32>,
}

/// A run that is going on; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    tally: Tally,
    workspace: String,
}

impl Tally {
    /// Returns the runs of a workspace.
    pub fn usage(&self, workspace: &str) -> Usage {
        self.lock()
            .workspaces
            .get(workspace)
            .copied()
            .unwrap_or_default()
    }

    /// Counts the most runs that go on at once anew, from those that go on now.
    pub fn reset_max(&self) {
        for usage in self.lock().workspaces.values_mut() {
            usage.max_running = usage.running;
        }
    }

    /// Returns how many runs were started under a request identity.
    pub fn runs(&self, identity: &str) -> u32 {
        self.lock().identities.get(identity).copied().unwrap_or(0)
    }

    /// Returns the request identities under which more than one run was started.
    pub fn repeated(&self) -> Vec<String> {
        let counts = self.lock();
        let repeated = counts.identities.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(identity, _)| identity.clone()).collect()
    }

    /// Counts a run as started.
    pub(crate) fn start(&self, workspace: &str, identity: Option<&str>) -> Running {
        let mut counts = self.lock();
        let usage = counts.workspaces.entry(workspace.to_owned()).or_default();
        usage.running += 1;
        usage.max_running = usage.max_running.max(usage.running);
        usage.started += 1;
        if let Some(identity) = identity {
            *counts.identities.entry(identity.to_owned()).or_default() += 1;
        }
        Running {
            tally: self.clone(),
            workspace: workspace.to_owned(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(usage) = self.tally.lock().workspaces.get_mut(&self.workspace) {
            usage.running -= 1;
        }
    }
}
