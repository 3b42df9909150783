//! State that a new leader reads once: the progress of jobs and waves, and recent orders
//! for hosts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rhubarbrill_core::job::scheduler::WaveProgress;
use rhubarbrill_core::job::{Orphans, Progress};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::key::{self, Key};
use crate::node::Node;
use crate::platform::{Change, Content, Platform, Section};
use crate::sync;
use crate::view::decode;

/// Delay after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The stored progress of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct WaveRecord {
    /// Hosts whose maintenance has begun.
    pub(super) done: BTreeSet<String>,
    /// Whether the wave was reported as completed.
    pub(super) completed: bool,
    /// Age of the wave when the record was written, in milliseconds.
    #[serde(default)]
    age_ms: u64,
}

impl WaveRecord {
    pub(super) fn new(progress: WaveProgress, completed: bool) -> Self {
        Self {
            done: progress.done,
            completed,
            age_ms: clock::millis(progress.age),
        }
    }

    /// Returns the progress of the wave according to the record.
    pub(super) fn progress(&self) -> WaveProgress {
        WaveProgress {
            done: self.done.clone(),
            age: Duration::from_millis(self.age_ms),
        }
    }
}

/// The record of recent orders for hosts, which is written before each order is sent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct OrdersRecord {
    /// Hosts that the leader recently sent orders for, with the age of the last order
    /// when the record was written, in milliseconds.
    pub(super) hosts: BTreeMap<String, u64>,
}

/// State that earlier leaders stored.
#[derive(Debug, Default)]
pub(super) struct RecoveredState {
    /// Progress of each unfinished job, with the store revision of its record.
    pub(super) progress: HashMap<String, (Progress, u64)>,
    /// Runs of each finished job that may be executing.
    pub(super) orphans: BTreeMap<String, Orphans>,
    /// Hosts that recently received orders.
    pub(super) orders: OrdersRecord,
    /// Record of each wave, by wave number.
    pub(super) waves: BTreeMap<u64, WaveRecord>,
}

impl RecoveredState {
    /// Reads the state from the store, retrying until that succeeds. Returns `None` once
    /// `is_over` returns true.
    pub(super) async fn read<P: Platform>(
        node: &Node<P>,
        is_over: impl Fn() -> bool,
    ) -> Option<Self> {
        while !is_over() {
            // The tasks that watch the store have logged this failure.
            if let Ok(read) = sync::read(node, Section::Records(key::KEPT_PREFIX)).await {
                let mut recovered = Self::default();
                for change in read.changes {
                    recovered.apply(node, change);
                }
                return Some(recovered);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    fn apply<P>(&mut self, node: &Node<P>, change: Change) {
        let Some(Content::Record(value)) = change.content else {
            return;
        };
        let applied = match key::parse(&change.key) {
            Some(Key::Progress(id)) => decode(&value).map(|progress| {
                self.progress.insert(id, (progress, change.revision));
            }),
            Some(Key::Orphans(id)) => decode(&value).map(|orphans| {
                self.orphans.insert(id, orphans);
            }),
            Some(Key::Orders) => decode(&value).map(|orders| self.orders = orders),
            Some(Key::Wave(number)) => decode(&value).map(|record| {
                self.waves.insert(number, record);
            }),
            _ => Ok(()),
        };
        if let Err(reason) = applied {
            sync::log_unreadable(node, &change.key, &reason);
        }
    }
}
