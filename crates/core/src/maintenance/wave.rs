//! A wave's record: which hosts it covers and which are done.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, HostKey};
use crate::time::Timestamp;

/// A maintenance wave: each selected host leaves, reboots and returns once.
///
/// The hosts are those selected when the wave starts. The order isn't recorded: it follows
/// from estimates that change while the wave runs, and the hosts still to do are enough
/// to go on after a change of planner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Wave {
    /// The hosts that the wave covers.
    pub selection: Selection,
    /// Whether the wave goes on.
    pub phase: Phase,
    /// When the last host should be back.
    pub finish_by: Option<Timestamp>,
    /// Number of hosts that are back.
    pub finished: u32,
    pub(super) pending: BTreeSet<String>,
}

/// The hosts that a wave covers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Selection {
    /// Every host declared for the named pool, wherever it serves.
    Pool(String),
    /// The named hosts.
    Hosts(BTreeSet<String>),
}

/// Whether a wave goes on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Further hosts may leave.
    Running,
    /// No further host leaves; those that left come back.
    Paused(Pause),
    /// Every host is back.
    Done,
}

/// Who paused a wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pause {
    /// Unplanned outages have spent the budgets; the wave resumes when they are back.
    Budget,
    /// An operator; the wave waits for an operator.
    Operator,
}

impl Wave {
    /// Returns a running wave with every selected host to do.
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

    /// Returns the number of hosts that the wave still has to bring back.
    pub fn remaining(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the wave still has to bring the host back.
    pub fn is_pending(&self, host: &str) -> bool {
        self.pending.contains(host)
    }

    /// Returns the declared hosts that the wave still has to bring back.
    pub fn pending<'a>(
        &'a self,
        fleet: &'a Fleet,
    ) -> impl Iterator<Item = (HostKey, &'a str)> {
        self.pending
            .iter()
            .filter_map(|name| Some((fleet.hosts.find(name)?, name.as_str())))
    }

    /// Records that the host is back.
    pub(super) fn finish(&mut self, host: &str) {
        if self.pending.remove(host) {
            self.finished += 1;
        }
    }

    /// Ends the wave.
    pub(super) fn close(&mut self) {
        self.phase = Phase::Done;
        self.pending.clear();
    }
}

impl Selection {
    /// Returns the names of the declared hosts that are selected.
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
