//! Settings of the allowances, and the demand from which they are sized.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::fleet::WorkspaceKey;

/// Settings of the allowances, which must be equal on every entry host of a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceSettings {
    pub(super) floor_percent: u32,
    pub(super) hold_time: Duration,
    pub(super) longest_run: Duration,
    pub(super) longest_pause: Duration,
    pub(super) refresh: Duration,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self {
            floor_percent: 50,
            hold_time: Duration::from_secs(5),
            longest_run: Duration::from_secs(60),
            longest_pause: Duration::from_secs(2),
            refresh: Duration::from_secs(10),
        }
    }
}

impl AllowanceSettings {
    /// Sets the part of each limit that is divided into floors, in percent (at most 100,
    /// by default 50).
    pub fn floor_percent(mut self, percent: u32) -> Self {
        self.floor_percent = percent.min(100);
        self
    }

    /// Sets how long loaned units stay idle before they are returned (by default 5
    /// seconds).
    pub fn hold_time(mut self, hold_time: Duration) -> Self {
        self.hold_time = hold_time;
        self
    }

    /// Sets the longest time that one request may run at an endpoint (by default 60
    /// seconds).
    pub fn longest_run(mut self, span: Duration) -> Self {
        self.longest_run = span;
        self
    }

    /// Sets the longest pause of a process after which its units stay usable (by default
    /// 2 seconds).
    pub fn longest_pause(mut self, span: Duration) -> Self {
        self.longest_pause = span;
        self
    }

    /// Sets the longest time between two reads of a record (by default 10 seconds).
    pub fn refresh(mut self, span: Duration) -> Self {
        self.refresh = span;
        self
    }

    /// Returns how long to wait before the units of a lost process may be used again.
    ///
    /// Work that the process started may run until then.
    pub fn reuse_delay(&self) -> Duration {
        self.longest_run + self.longest_pause
    }
}

/// The number of requests that wait on one entry host, by workspace.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    waiting: SecondaryMap<WorkspaceKey, u32>,
}

impl Demand {
    /// Sets the number of requests of the workspace that wait for a unit.
    pub fn set(&mut self, workspace: WorkspaceKey, waiting: u32) {
        self.waiting.insert(workspace, waiting);
    }

    /// Returns the number of requests of the workspace that wait for a unit.
    pub fn waiting(&self, workspace: WorkspaceKey) -> u32 {
        self.waiting.get(workspace).copied().unwrap_or_default()
    }
}
