//! Counts of runs, over all endpoints that share a tally.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts of runs by idempotency key and by workspace, over all endpoints that share the
/// tally.
///
/// Clones refer to the same counts.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    state: Arc<Mutex<TallyState>>,
}

/// Counts of the runs of one workspace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Runs in progress now.
    pub running: u32,
    /// Highest number of runs in progress at once, since the start or the last
    /// [`Tally::reset_max`].
    pub max_running: u32,
    /// Runs started, including those that have ended since.
    pub started: u64,
}

#[derive(Debug, Default)]
struct TallyState {
    workspaces: BTreeMap<String, Usage>,
    identities: BTreeMap<String, u32>,
}

/// Guard that counts a run as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    tally: Tally,
    workspace: String,
}

impl Tally {
    /// Returns the counts of a workspace, which are zero if it had no runs.
    pub fn usage(&self, workspace: &str) -> Usage {
        self.lock()
            .workspaces
            .get(workspace)
            .copied()
            .unwrap_or_default()
    }

    /// Resets [`Usage::max_running`] of every workspace to the number of runs in
    /// progress.
    pub fn reset_max(&self) {
        for usage in self.lock().workspaces.values_mut() {
            usage.max_running = usage.running;
        }
    }

    /// Returns the number of runs started for an idempotency key.
    pub fn runs(&self, identity: &str) -> u32 {
        self.lock().identities.get(identity).copied().unwrap_or(0)
    }

    /// Returns the idempotency keys for which more than one run was started.
    pub fn repeated(&self) -> Vec<String> {
        let state = self.lock();
        let repeated = state.identities.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(identity, _)| identity.clone()).collect()
    }

    /// Counts a run as started, and as in progress until the guard is dropped.
    pub(crate) fn start(&self, workspace: &str, identity: Option<&str>) -> RunGuard {
        let mut state = self.lock();
        let usage = state.workspaces.entry(workspace.to_owned()).or_default();
        usage.running += 1;
        usage.max_running = usage.max_running.max(usage.running);
        usage.started += 1;
        if let Some(identity) = identity {
            *state.identities.entry(identity.to_owned()).or_default() += 1;
        }
        RunGuard {
            tally: self.clone(),
            workspace: workspace.to_owned(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TallyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(usage) = self.tally.lock().workspaces.get_mut(&self.workspace) {
            usage.running -= 1;
        }
    }
}
