//! The record of a maintenance wave: the hosts it covers and those still pending.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, HostKey};
use crate::time::Timestamp;

/// A maintenance wave, in which each selected host is drained, rebooted and returned to
/// service once.
///
/// The set of hosts is fixed when the wave starts. Their order isn't recorded, as it
/// follows from estimates that change while the wave runs. The pending hosts are all that
/// another planner needs to continue the wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Wave {
    /// The selection from which the hosts were taken when the wave started.
    pub selection: Selection,
    /// Whether the wave is running, paused or done.
    pub phase: Phase,
    /// Deadline for the return of the last host, if there is one.
    pub finish_by: Option<Timestamp>,
    /// Number of hosts that have returned to service.
    pub finished: u32,
    pub(super) pending: BTreeSet<String>,
}

/// How the hosts of a wave are selected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Selection {
    /// Every host declared for the named pool, whichever pool it currently serves.
    Pool(String),
    /// The hosts with these names.
    Hosts(BTreeSet<String>),
}

/// The phase of a wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Further hosts may be drained.
    Running,
    /// No further host is drained; hosts that are out of service still return.
    Paused(Pause),
    /// No host is pending any more.
    Done,
}

/// The reason for which a wave is paused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pause {
    /// The budgets leave no room because of unplanned outages. The wave resumes by itself
    /// once they allow a drain again.
    Budget,
    /// An operator paused the wave, which stays paused until an operator resumes it.
    Operator,
}

impl Wave {
    /// Returns a running wave in which every selected host that is declared is pending.
    pub(super) fn new(
        fleet: &Fleet,
        selection: Selection,
        finish_by: Option<Timestamp>,
    ) -> Self {
        let pending = selection.hosts(fleet);
        Self {
            selection,
            phase: Phase::Running,
            finish_by,
            finished: 0,
            pending,
        }
    }

    /// Returns the number of pending hosts: those that have not yet returned to service.
    pub fn remaining(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the host is pending: covered by the wave and not yet returned.
    pub fn is_pending(&self, host: &str) -> bool {
        self.pending.contains(host)
    }

    /// Returns the pending hosts that are still declared, ordered by name.
    pub fn pending<'a>(
        &'a self,
        fleet: &'a Fleet,
    ) -> impl Iterator<Item = (HostKey, &'a str)> {
        self.pending
            .iter()
            .filter_map(|name| Some((fleet.hosts.find(name)?, name.as_str())))
    }

    /// Records that the host has returned to service.
    pub(super) fn finish(&mut self, host: &str) {
        if self.pending.remove(host) {
            self.finished += 1;
        }
    }

    /// Marks the wave as done and drops any pending hosts.
    pub(super) fn close(&mut self) {
        self.phase = Phase::Done;
        self.pending.clear();
    }
}

impl Selection {
    /// Returns the names of the selected hosts that are declared.
    fn hosts(&self, fleet: &Fleet) -> BTreeSet<String> {
        match self {
            Self::Hosts(hosts) => hosts
                .iter()
                .filter(|name| fleet.hosts.find(name).is_some())
                .cloned()
                .collect(),
            Self::Pool(pool) => {
                let pool = fleet.pools.find(pool);
                fleet
                    .hosts
                    .iter()
                    .filter(|(_, _, host)| Some(host.pool) == pool)
                    .map(|(_, name, _)| name.to_owned())
                    .collect()
            }
        }
    }
}
