//! Settings of the allowances, and the demand they are sized by.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::fleet::WorkspaceKey;

/// Settings that every entry host of a fleet must share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceSettings {
    pub(super) floor_percent: u32,
    pub(super) hold: Duration,
    pub(super) longest_run: Duration,
    pub(super) longest_pause: Duration,
    pub(super) refresh: Duration,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self {
            floor_percent: 50,
            hold: Duration::from_secs(5),
            longest_run: Duration::from_secs(60),
            longest_pause: Duration::from_secs(2),
            refresh: Duration::from_secs(10),
        }
    }
}

impl AllowanceSettings {
    /// Sets the part of each limit that is divided into floors, in percent.
    pub fn floor_percent(mut self, percent: u32) -> Self {
        self.floor_percent = percent.min(100);
        self
    }

    /// Sets how long loaned units stay idle before they are given back.
    pub fn hold(mut self, hold: Duration) -> Self {
        self.hold = hold;
        self
    }

    /// Sets the longest time that one request may run at an endpoint.
    pub fn longest_run(mut self, span: Duration) -> Self {
        self.longest_run = span;
        self
    }

    /// Sets the longest pause after which a process still trusts what it holds.
    pub fn longest_pause(mut self, span: Duration) -> Self {
        self.longest_pause = span;
        self
    }

    /// Sets the longest time between two readings of a record.
    pub fn refresh(mut self, span: Duration) -> Self {
        self.refresh = span;
        self
    }

    /// Returns how long work may go on that a lost process has started.
    pub fn outwait(&self) -> Duration {
        self.longest_run + self.longest_pause
    }
}

/// Requests that wait at one entry host, per workspace.
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
