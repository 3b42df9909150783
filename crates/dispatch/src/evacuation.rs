//! The zones that operators want to be evacuated, as far as the store has been read.

use std::collections::{BTreeMap, BTreeSet};

use rhubarbrill_core::job::scheduler::EvacuationProgress;
use serde::{Deserialize, Serialize};

use crate::key;

/// State of an evacuation, as reported to operators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EvacuationState {
    /// Tasks may still be executing in the zone.
    Evacuating,
    /// No task is left in the zone.
    Evacuated,
}

impl EvacuationState {
    /// Returns the name used in records and output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Evacuating => "evacuating",
            Self::Evacuated => "evacuated",
        }
    }
}

/// The record of the progress of an evacuation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationRecord {
    /// State of the evacuation.
    pub state: EvacuationState,
    /// Number of tasks that may be executing in the zone.
    pub tasks: usize,
    /// Number of long-running tasks among them.
    pub long_running: usize,
}

impl From<EvacuationProgress> for EvacuationRecord {
    fn from(progress: EvacuationProgress) -> Self {
        let state = if progress.is_complete() {
            EvacuationState::Evacuated
        } else {
            EvacuationState::Evacuating
        };
        Self {
            state,
            tasks: progress.tasks,
            long_running: progress.long_running,
        }
    }
}

/// Returns the store key of the progress of an evacuation.
pub fn report_key(zone: &str) -> String {
    key::evacuation(zone)
}

/// The zones that operators want to be evacuated.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Zone by the store key of the request.
    requests: BTreeMap<String, String>,
    /// Zones that a new leader read before the watch delivered them.
    ahead: Option<Ahead>,
    /// Zones on which the store holds a report.
    reports: BTreeSet<String>,
}

/// A complete list of evacuated zones that is newer than what the watch has delivered.
#[derive(Debug)]
struct Ahead {
    zones: BTreeSet<String>,
    as_of: u64,
}

impl Evacuations {
    /// Returns the zones that are to be evacuated.
    pub fn zones(&self) -> BTreeSet<String> {
        let ahead = self.ahead.iter().flat_map(|ahead| &ahead.zones);
        self.requests.values().chain(ahead).cloned().collect()
    }

    /// Returns the zones on which the store holds a report.
    pub fn reported(&self) -> impl Iterator<Item = &str> {
        self.reports.iter().map(String::as_str)
    }

    /// Adds zones that were listed at the store revision `as_of`, which a watch that has
    /// got to `followed` may not have delivered yet. A zone that was listed counts as
    /// evacuated until the watch has got to that revision.
    pub(crate) fn read_ahead(
        &mut self,
        zones: BTreeSet<String>,
        as_of: u64,
        followed: u64,
    ) {
        if as_of > followed {
            self.ahead = Some(Ahead { zones, as_of });
        }
    }

    /// Records how far the watch has got. Returns whether the zones that were read ahead
    /// of it were dropped.
    pub(crate) fn reached(&mut self, as_of: u64) -> bool {
        self.ahead.take_if(|ahead| ahead.as_of <= as_of).is_some()
    }

    /// Adds the request with the given store key.
    pub(crate) fn insert(&mut self, key: &str, zone: &str) {
        self.requests.insert(key.to_owned(), zone.to_owned());
    }

    /// Removes the request with the given store key. Returns whether there was one.
    pub(crate) fn remove(&mut self, key: &str) -> bool {
        self.requests.remove(key).is_some()
    }

    /// Records that the store holds a report on a zone.
    pub(crate) fn add_report(&mut self, zone: String) {
        self.reports.insert(zone);
    }

    /// Records that the store no longer holds a report on a zone.
    pub(crate) fn remove_report(&mut self, zone: &str) {
        self.reports.remove(zone);
    }
}
